//! Gateways are stopped and started in turn while a step holds items that can never be done.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::consumer;
use crate::gateway::Gateway;
use crate::gateway::Site;
use crate::http;
use crate::http::Next;
use crate::record::Record;
use crate::replica::Course;
use crate::replica::Replica;
use crate::replica::Runs;
use crate::store::Store;

/// Name of the batch job.
const JOB: &str = "7c41e09b52d6a3f8";

/// Item that each replica answers 422.
const IMPOSSIBLE: &str = "e5b290-1";

/// Item that each replica answers 500.
const FAILING: &str = "e5b290-2";

/// Answers of 422 after which the item must not reach a replica again.
const MAX_IMPOSSIBLE: usize = 3;

/// Answers of 500 after which the item must not reach a replica again: three times `maxAttempts`.
const MAX_FAILURES: usize = 9;

/// Time between two stops.
const GAP: Duration = Duration::from_millis(1_300);

/// Number of gateways, and of those that are stopped.
const GATEWAYS: u8 = 4;
const STOPPED: usize = 3;

pub fn play(folder: &Path, record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("config", "main", consumer::config(2));
    let cloud = http::serve([127, 0, 0, 1].into(), |_, _| {
        Next::Answer(200, vec![], vec![])
    });
    let runs: Runs = Arc::default();
    for index in 0..9 {
        let rule = |request: &http::Message| match request.header("x-attempt-id") {
            IMPOSSIBLE => Course::Fail(422),
            FAILING => Course::Fail(500),
            _ => Course::Stream(150, Duration::from_millis(38)),
        };
        let name = format!("i-{index}");
        let replica = Replica::start(&name, "model-pool", 8, &runs, record, Arc::new(rule));
        store.put("servers", &name, replica.entry("ready"));
    }
    let site = Site {
        store: store.address,
        cloud,
        fencing: true,
    };
    let mut gateways: Vec<Gateway> = (1..=GATEWAYS)
        .map(|index| Gateway::start(folder, index, site))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("a gateway did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let items: Vec<(String, String)> = (0..8)
        .map(|item| {
            (
                format!("e5b29{}-{}", item / 4, item % 4),
                format!("9c2e4{}", item / 4),
            )
        })
        .collect();
    let body = consumer::step(&items, 2);
    let answer = consumer::submit(gateways[0].front, JOB, &body, Duration::from_secs(3));
    let status = answer.map_or(0, |answer| answer.status);
    record.say(format!("submission: {status}"));
    if status != 202 {
        return Verdict::NotRun("the step was not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let mut stopped: Vec<(String, Instant)> = Vec::new();
    if trouble {
        stop_runners(&mut gateways, &store, record, &mut stopped);
    }
    thread::sleep(Duration::from_millis(1_500));
    let runner = runner(&store);
    record.say(format!("the step is run by {runner}"));
    for (at, line) in store.log() {
        record.add_at(at, format!("store {line}"));
    }
    if stopped.iter().any(|(name, _)| *name == runner) {
        return Verdict::NotRun(
            "the last runner was stopped before, so it is not in touch".to_owned(),
        );
    }
    judge(&runs, record, stopped.last().map(|(_, at)| *at))
}

/// Returns the gateway that runs the step, or an empty text if none does.
fn runner(store: &Store) -> String {
    let head = store.get("sardinepath-batches", JOB);
    head.map_or(String::new(), |head| {
        head.get("runner").get("host").str().to_owned()
    })
}

/// Stops the gateway that runs the step and starts it again, some times in turn.
fn stop_runners(
    gateways: &mut [Gateway],
    store: &Store,
    record: &Record,
    stopped: &mut Vec<(String, Instant)>,
) {
    thread::scope(|scope| {
        let mut left: Vec<&mut Gateway> = gateways.iter_mut().collect();
        for turn in 0..STOPPED {
            if turn > 0 {
                thread::sleep(GAP);
            }
            let name = runner(store);
            let Some(index) = left.iter().position(|gateway| gateway.name == name) else {
                record.say(format!("the runner {name:?} has been stopped before"));
                return;
            };
            let gateway = left.remove(index);
            record.say(format!("SIGTERM for {name}, which runs the step"));
            gateway.signal("TERM");
            stopped.push((name, Instant::now()));
            scope.spawn(move || {
                gateway.wait_end(Duration::from_secs(8));
                thread::sleep(Duration::from_millis(100));
                gateway.spawn();
            });
        }
    });
}

/// The rule: an item that fails at each run does not reach a replica again, from a machine in touch, after
/// three answers of 422 or three times `maxAttempts` answers of 500.
fn judge(runs: &Runs, record: &Record, last_stop: Option<Instant>) -> Verdict {
    let runs = runs.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let mut broken = false;
    for (item, limit) in [(IMPOSSIBLE, MAX_IMPOSSIBLE), (FAILING, MAX_FAILURES)] {
        let sent: Vec<Instant> = runs
            .iter()
            .filter(|run| run.id == item)
            .map(|run| run.start)
            .collect();
        // Runs after the last stop come from the gateway that was not stopped.
        let from = last_stop.unwrap_or(record.start);
        let counted = sent.iter().skip(limit).filter(|at| **at > from).count();
        record.say(format!(
            "item {item} reached replicas {} times; {counted} times after {limit} failures and from a \
             gateway in touch",
            sent.len()
        ));
        broken |= counted > 0;
    }
    match broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
