//! The open channels between the store and the gateway that runs a batch job go silent, and new ones
//! work. Later than `contactMs` after that, the consumer ends the job at another gateway. Later than
//! `cancelMs` after the ack no item of the job may run any more.

use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use bytes::Bytes;
use http::Method;
use tokio::time::sleep;

use crate::record::Record;
use crate::site::Site;
use crate::site::TENANTS;
use crate::site::config;
use crate::site::item;
use crate::site::job;
use crate::site::routes;

const JOB: &str = "b000000000000004";
const ITEMS: usize = 100;

/// `contactMs`, and as much again as two ticks of the slowest timer.
const CONTACT_TIME: Duration = Duration::from_millis(3_500);

/// `cancelMs`.
const CANCEL_TIME: Duration = Duration::from_millis(3_000);

/// Time after the ack for which arrivals are watched.
const WATCH_TIME: Duration = Duration::from_secs(15);

pub async fn play(record: Record, trouble: bool) -> anyhow::Result<Vec<String>> {
    let site = Site::start(record, 4, 2, 4, &config(1, &routes())).await?;
    for engine in &site.engines {
        engine.set_pace(28, Duration::from_millis(90));
    }
    let key = TENANTS[0].1;
    let items = (0..ITEMS).map(|n| item(&format!("a{n:015}"), &format!("g{}", n / 4), &[]));
    if !site.submit(JOB, key, &job(0, items.collect()), 0).await {
        bail!("the job was not accepted");
    }
    sleep(Duration::from_millis(1_000)).await;
    let runner = site.runner(JOB)?;
    if trouble {
        let name = &site.gateways[runner].name;
        site.record.line(&format!(
            "the open channels between {name} and the store go silent"
        ));
        site.gateways[runner].path.silence();
    }
    sleep(CONTACT_TIME).await;
    let other = (runner + 1) % site.gateways.len();
    let path = format!("/lots/{JOB}");
    let end = site.call(other, Method::DELETE, &path, "end", key, &[], Bytes::new());
    if end.await.is_none_or(|answer| answer.status != 200) {
        bail!("the job was not ended");
    }
    let ack = Instant::now();
    sleep(WATCH_TIME).await;
    let mut faults = Vec::new();
    for arrival in site.engines.iter().flat_map(|engine| engine.arrivals()) {
        let late = arrival.at.saturating_duration_since(ack);
        if arrival.status == 200 && late > CANCEL_TIME {
            faults.push(format!(
                "UNASKED: {} runs {} ms after the ack of its job's end",
                arrival.id,
                late.as_millis()
            ));
        }
    }
    Ok(faults)
}
