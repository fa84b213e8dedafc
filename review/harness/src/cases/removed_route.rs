//! The operator removes the route of a batch job whose results have been read. The job must stay
//! readable at all gateways until `statusS` after its submission.

use std::time::Duration;

use anyhow::bail;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::record::Record;
use crate::site::Site;
use crate::site::TENANTS;
use crate::site::config;
use crate::site::item;
use crate::site::job;
use crate::site::routes;

const JOB: &str = "b000000000000005";
const ITEMS: usize = 8;

/// `configApplyMs` and `settleMs`, and as much again.
const SETTLE_TIME: Duration = Duration::from_millis(6_000);

pub async fn play(record: Record, trouble: bool) -> anyhow::Result<Vec<String>> {
    let site = Site::start(record, 4, 9, 4, &config(1, &routes())).await?;
    let key = TENANTS[0].1;
    let items = (0..ITEMS).map(|n| item(&format!("a{n:015}"), &format!("g{}", n / 4), &[]));
    if !site.submit(JOB, key, &job(0, items.collect()), 0).await {
        bail!("the job was not accepted");
    }
    let found = site.collect(JOB, key, ITEMS, Duration::from_secs(12)).await;
    if found.len() < ITEMS {
        bail!("only {} of {ITEMS} results came", found.len());
    }
    let mut changed = routes();
    if trouble {
        changed.retain(|route| route["kind"] != "rollout");
        site.record
            .line("operator: version 2 removes the route of the batch job");
    } else {
        changed[1]["timeoutMs"] = json!(1_200);
        site.record.line("operator: version 2 changes a time-out");
    }
    site.store.put("config", "main", &config(2, &changed));
    sleep(SETTLE_TIME).await;
    let mut faults = Vec::new();
    for gateway in 0..site.gateways.len() {
        let (status, body) = site.read(gateway, JOB, key, 0).await;
        let name = &site.gateways[gateway].name;
        if status == 404 || status == 410 {
            faults.push(format!(
                "LOST: {name} answers {status} for {JOB}, whose results were read"
            ));
        }
        let results = body["results"].as_array().cloned().unwrap_or_default();
        let again = results.iter().filter(|r| known(&found, r)).count();
        if status == 200 && again < ITEMS {
            faults.push(format!(
                "LOST: {name} has only {again} of {ITEMS} results again"
            ));
        }
    }
    Ok(faults)
}

fn known(found: &std::collections::BTreeMap<String, Value>, result: &Value) -> bool {
    result["id"].as_str().and_then(|id| found.get(id)) == Some(result)
}
