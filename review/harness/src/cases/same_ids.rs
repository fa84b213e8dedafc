//! A trainer of one tenant ends its step while some of its groups are not complete. A trainer of
//! another tenant then submits a step whose items happen to have the same ids, and other prompts. Each
//! item must get the text that a replica made for its own prompt.

use std::time::Duration;

use anyhow::bail;
use bytes::Bytes;
use http::Method;
use serde_json::Value;
use tokio::time::sleep;

use crate::engine::digest;
use crate::engine::event_data;
use crate::record::Record;
use crate::site::Site;
use crate::site::TENANTS;
use crate::site::config;
use crate::site::item_of;
use crate::site::job;
use crate::site::routes;

const FIRST_JOB: &str = "b00000000000001a";
const SECOND_JOB: &str = "b00000000000001b";
const ITEMS: usize = 16;
const EVENTS: u64 = 28;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Time after which the first trainer ends its step. Its texts are about half made then.
const STEP_TIME: Duration = Duration::from_millis(700);

pub async fn play(record: Record, trouble: bool) -> anyhow::Result<Vec<String>> {
    let site = Site::start(record, 4, 9, 4, &config(1, &routes())).await?;
    for engine in &site.engines {
        engine.set_pace(EVENTS, EVENT_INTERVAL);
    }
    let [(first, first_key), (second, second_key)] = TENANTS;
    let same = |n: usize| format!("step0-group{}-item{}", n / 4, n % 4);
    let apart = |n: usize| format!("{second}-step0-group{}-item{}", n / 4, n % 4);
    let named: &dyn Fn(usize) -> String = if trouble { &same } else { &apart };
    if !site
        .submit(FIRST_JOB, first_key, &step(first, &same), 0)
        .await
    {
        bail!("the first job was not accepted");
    }
    sleep(STEP_TIME).await;
    let path = format!("/lots/{FIRST_JOB}");
    let end = site.call(
        1,
        Method::DELETE,
        &path,
        "end-of-the-first",
        first_key,
        &[],
        Bytes::new(),
    );
    if end.await.is_none_or(|answer| answer.status != 200) {
        bail!("the first job was not ended");
    }
    sleep(Duration::from_millis(1_000)).await;
    if !site
        .submit(SECOND_JOB, second_key, &step(second, named), 2)
        .await
    {
        bail!("the second job was not accepted");
    }
    let found = site
        .collect(SECOND_JOB, second_key, ITEMS, Duration::from_secs(15))
        .await;
    let mut faults = Vec::new();
    for n in 0..ITEMS {
        let Some(result) = found.get(&named(n)) else {
            bail!("the result of {} did not come", named(n));
        };
        let text = result["text"].as_str().unwrap_or("");
        let own = events(second, n);
        let foreign = events(first, n);
        if result["state"] == "completed" && text != own.join("\n") {
            let lines: Vec<&str> = text.lines().collect();
            let stolen = lines
                .iter()
                .filter(|line| foreign.iter().any(|f| f == *line))
                .count();
            faults.push(format!(
                "MIXED: {stolen} of the {} events in the result of {second}'s item {} were made for {first}",
                lines.len(),
                named(n)
            ));
        }
    }
    Ok(faults)
}

fn prompt(tenant: &str, n: usize) -> String {
    format!("prompt {n} of {tenant}")
}

fn step(tenant: &str, id: &dyn Fn(usize) -> String) -> Value {
    let items = (0..ITEMS).map(|n| {
        let group = format!("step0-group{}", n / 4);
        item_of(&id(n), &group, prompt(tenant, n).as_bytes(), &[])
    });
    job(0, items.collect())
}

/// Returns the events that a replica makes for the prompt of an item.
fn events(tenant: &str, n: usize) -> Vec<String> {
    let prompt = digest(prompt(tenant, n).as_bytes());
    (1..=EVENTS)
        .map(|event| event_data(&prompt, event))
        .collect()
}
