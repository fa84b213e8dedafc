//! Another writer puts an entry among those of the replicas, one field of which holds a byte that is no
//! character. All gateways are then killed and start again, in the control too. The entry names no
//! replica to use; the others hold, and the batch job must go on at them.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use bytes::Bytes;
use http::Method;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::path::UNREADABLE;
use crate::record::Record;
use crate::site::Site;
use crate::site::TENANTS;
use crate::site::config;
use crate::site::item;
use crate::site::job;
use crate::site::routes;

const JOB: &str = "b000000000000006";
const ITEMS: usize = 100;
const GATEWAYS: usize = 4;

/// Time from the submission to the kill of the gateways.
const KILL_TIME: Duration = Duration::from_millis(1_500);

/// Time from the kill to the start of the processes.
const DOWN_TIME: Duration = Duration::from_millis(600);

/// Time budget of the trainer, as the sheet states it.
const TIME_BUDGET: Duration = Duration::from_secs(12);

/// Time at the end of the step in which an item that has not run must have been at a replica. The
/// gateways are in touch all the while.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

pub async fn play(record: Record, trouble: bool) -> anyhow::Result<Vec<String>> {
    let mut site = Site::start(record, GATEWAYS, 9, 4, &config(1, &routes())).await?;
    let key = TENANTS[0].1;
    for engine in &site.engines {
        engine.set_pace(28, Duration::from_millis(80));
    }
    if trouble {
        site.record
            .line("another writer puts the entry servers/i-other");
        let entry = json!({
            "service": "engines", "address": "127.0.0.1:9", "zone": UNREADABLE, "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
        });
        site.store.put("servers", "i-other", &entry);
        sleep(Duration::from_secs(1)).await;
    }
    let names: Vec<String> = (0..ITEMS).map(|n| format!("a{n:015}")).collect();
    let items = names.iter().enumerate();
    let items = items.map(|(n, id)| item(id, &format!("g{}", n / 4), &[]));
    let start = Instant::now();
    if !site.submit(JOB, key, &job(0, items.collect()), 0).await {
        bail!("the job was not accepted");
    }
    sleep(KILL_TIME).await;
    for index in 0..GATEWAYS {
        site.signal(index, Signal::KILL);
    }
    sleep(DOWN_TIME).await;
    for index in 0..GATEWAYS {
        site.spawn(index)?;
    }
    let left = (start + TIME_BUDGET).saturating_duration_since(Instant::now());
    let found = site.collect(JOB, key, ITEMS, left).await;
    let end = Instant::now();
    let mut served = 0;
    for index in 0..GATEWAYS {
        let id = format!("plain-{index}");
        let answer = site.call(index, Method::POST, "/page/x", &id, key, &[], Bytes::new());
        served += usize::from(answer.await.is_some_and(|answer| answer.status == 200));
    }
    site.record.line(&format!(
        "{served} of {GATEWAYS} plain requests are answered by a replica"
    ));
    let arrivals: Vec<_> = site
        .engines
        .iter()
        .flat_map(|engine| engine.arrivals())
        .collect();
    let begun: BTreeSet<&str> = arrivals.iter().map(|a| a.id.as_str()).collect();
    let mut faults = Vec::new();
    for name in names.iter().filter(|name| !found.contains_key(*name)) {
        let last = arrivals
            .iter()
            .filter(|a| a.id == *name)
            .map(|a| a.at)
            .max();
        let idle = last.is_none_or(|at| end.saturating_duration_since(at) > IDLE_LIMIT);
        if idle && !begun.is_empty() {
            faults.push(format!(
                "LOST: the step ran out of time, and {name} had been at no replica for {IDLE_LIMIT:?}"
            ));
        }
    }
    if found.len() < ITEMS && faults.is_empty() {
        bail!("only {} of {ITEMS} results came", found.len());
    }
    Ok(faults)
}
