//! The cases, one in each file.

mod early_runner;
mod foreign_entry;
mod item_headers;
mod memory;
mod removed_route;
mod same_ids;
mod silent_channels;

use anyhow::bail;

use crate::record::Record;

/// Plays a case and returns how its rule was broken.
pub async fn play(case: &str, record: Record, trouble: bool) -> anyhow::Result<Vec<String>> {
    match case {
        "same-ids" => same_ids::play(record, trouble).await,
        "item-headers" => item_headers::play(record, trouble).await,
        "early-runner" => early_runner::play(record, trouble).await,
        "silent-channels" => silent_channels::play(record, trouble).await,
        "foreign-entry" => foreign_entry::play(record, trouble).await,
        "memory" => memory::play(record, trouble).await,
        "removed-route" => removed_route::play(record, trouble).await,
        _ => bail!("there is no case {case}"),
    }
}
