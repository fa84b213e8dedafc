//! All gateways are killed and start again, and one connection of the first one back is reset: the one
//! on which it lists the configuration. It takes its batch job back before it knows the configuration.
//! Items must still get the attempts that their route allows.

use std::time::Duration;

use anyhow::bail;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::record::Record;
use crate::site::MAX_ATTEMPTS;
use crate::site::Site;
use crate::site::TENANTS;
use crate::site::config;
use crate::site::item;
use crate::site::job;
use crate::site::routes;

const JOB: &str = "b000000000000003";
const ITEMS: usize = 100;
const GATEWAYS: usize = 4;

/// Time from the kill to the start of the first process.
const DOWN_TIME: Duration = Duration::from_millis(600);

/// Time from the start of the first process to that of the others.
const START_SPREAD: Duration = Duration::from_millis(300);

pub async fn play(record: Record, trouble: bool) -> anyhow::Result<Vec<String>> {
    let mut site = Site::start(record, GATEWAYS, 9, 4, &config(1, &routes())).await?;
    let key = TENANTS[0].1;
    for engine in &site.engines {
        engine.set_pace(28, Duration::from_millis(60));
    }
    // One of nine replicas fails two of five requests.
    site.engines[0].set_grey();
    let items = (0..ITEMS).map(|n| item(&format!("a{n:015}"), &format!("g{}", n / 4), &[]));
    if !site.submit(JOB, key, &job(0, items.collect()), 0).await {
        bail!("the job was not accepted");
    }
    sleep(Duration::from_millis(600)).await;
    let runner = site.runner(JOB)?;
    if trouble {
        for index in 0..GATEWAYS {
            site.signal(index, Signal::KILL);
        }
        sleep(DOWN_TIME).await;
        site.gateways[runner].path.reset_config(1);
        site.spawn(runner)?;
        sleep(START_SPREAD).await;
        for index in (0..GATEWAYS).filter(|index| *index != runner) {
            site.spawn(index)?;
        }
    }
    let found = site.collect(JOB, key, ITEMS, Duration::from_secs(35)).await;
    if trouble && site.gateways[runner].path.resets_left() > 0 {
        bail!("no connection was reset");
    }
    let mut faults = Vec::new();
    for (item, result) in &found {
        let arrivals = site.engines.iter().flat_map(|engine| engine.arrivals());
        let failed = arrivals
            .filter(|a| a.id == *item && a.status == 500)
            .count();
        if result["state"] == "terminated" && failed < MAX_ATTEMPTS {
            faults.push(format!(
                "MIXED: {item} is terminated after {failed} answers of 500, and maxAttempts is {MAX_ATTEMPTS}"
            ));
        }
    }
    if found.len() < ITEMS && faults.is_empty() {
        bail!("only {} of {ITEMS} results came", found.len());
    }
    Ok(faults)
}
