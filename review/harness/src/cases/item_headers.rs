//! The items of a batch job carry the headers `X-Key` and `X-Tenant`, as the consumer's other requests
//! may do. A replica must see the tenant of the key that came with the job, and no key.

use std::time::Duration;

use anyhow::bail;

use crate::record::Record;
use crate::site::Site;
use crate::site::TENANTS;
use crate::site::config;
use crate::site::item;
use crate::site::job;
use crate::site::routes;

const JOB: &str = "b000000000000002";
const ITEMS: usize = 8;

pub async fn play(record: Record, trouble: bool) -> anyhow::Result<Vec<String>> {
    let site = Site::start(record, 4, 9, 4, &config(1, &routes())).await?;
    let [(tenant, key), (other, _)] = TENANTS;
    let extra = [("X-Key", key), ("X-Tenant", other)];
    let headers = if trouble { &extra[..] } else { &[] };
    let items = (0..ITEMS).map(|n| item(&format!("a{n:015}"), &format!("g{}", n / 4), headers));
    if !site.submit(JOB, key, &job(0, items.collect()), 0).await {
        bail!("the job was not accepted");
    }
    let found = site.collect(JOB, key, ITEMS, Duration::from_secs(12)).await;
    if found.len() < ITEMS {
        bail!("only {} of {ITEMS} results came", found.len());
    }
    let mut faults = Vec::new();
    let arrivals = site.engines.iter().flat_map(|engine| engine.arrivals());
    for arrival in arrivals.filter(|arrival| arrival.status == 200) {
        if arrival.tenants != [tenant] {
            faults.push(format!(
                "UNASKED: {} of tenant {tenant} runs with X-Tenant {:?}",
                arrival.id, arrival.tenants
            ));
        }
        if !arrival.keys.is_empty() {
            faults.push(format!(
                "UNASKED: {} runs with the key {:?}",
                arrival.id, arrival.keys
            ));
        }
    }
    Ok(faults)
}
