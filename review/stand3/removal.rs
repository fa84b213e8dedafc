//! A replica of a plain service leaves some seconds after a waiting watch of the store was cut off.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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

/// Time from the cut of the watches to the removal of the entry.
const CALM: Duration = Duration::from_millis(4_500);

/// `drainMs` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time from the removal to the second cut of the watches.
const SECOND_CUT: Duration = Duration::from_secs(1);

/// `contactMs` of the deployment.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which the replica serves after its entry is gone.
const SERVE_TIME: Duration = Duration::from_secs(10);

/// Time that a request takes, within what the sheet of the deployment gives.
const WORK: Duration = Duration::from_millis(190);

/// Interval between the requests to each gateway.
const INTERVAL: Duration = Duration::from_millis(60);

/// Time between the starts of two gateways. All machines start within 0.3 s of each other.
const STAGGER: Duration = Duration::from_millis(90);

/// Number of gateways.
const GATEWAYS: u8 = 4;

pub fn play(folder: &Path, record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("config", "main", consumer::config(2));
    let cloud = http::serve([127, 0, 0, 1].into(), |_, _| {
        Next::Answer(200, vec![], vec![])
    });
    let runs: Runs = Arc::default();
    let mut replicas = Vec::new();
    for index in 0..3 {
        let rule = |_: &http::Message| Course::Plain(WORK);
        let name = format!("w-{index}");
        let replica = Replica::start(&name, "works-app", 6, &runs, record, Arc::new(rule));
        store.put("servers", &name, replica.entry("ready"));
        replicas.push(replica);
    }
    let site = Site {
        store: store.address,
        cloud,
        fencing: true,
    };
    let mut gateways = Vec::new();
    for index in 1..=GATEWAYS {
        gateways.push(Gateway::start(folder, index, site));
        thread::sleep(STAGGER);
    }
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("a gateway did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let stop = AtomicBool::new(false);
    let lost: Mutex<Vec<(String, u16)>> = Mutex::default();
    let (removed, in_touch) = thread::scope(|scope| {
        for (number, gateway) in gateways.iter().enumerate() {
            let (stop, lost) = (&stop, &lost);
            scope.spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("9c41d0{number:x}{count:08x}");
                    let (front, name) = (gateway.front, &gateway.name);
                    scope.spawn(move || {
                        let limit = Duration::from_secs(2);
                        // Every other request is one that must not be repeated.
                        let path = if count % 2 == 0 {
                            "/lohu930/2f"
                        } else {
                            "/dise118/2f"
                        };
                        let answer = consumer::plain(front, path, &id, limit);
                        let status = answer.map_or(0, |answer| answer.status);
                        record.add(format!(
                            "request {id} {path} to {name} was answered {status}"
                        ));
                        if status != 200 {
                            let mut lost = lost.lock().unwrap_or_else(|e| e.into_inner());
                            lost.push((format!("{id} {path}"), status));
                        }
                    });
                    thread::sleep(INTERVAL);
                }
            });
        }
        thread::sleep(Duration::from_secs(1));
        if trouble {
            record.say("the store cuts off the waiting watches of the replicas' entries");
            store.cut_watches("servers");
        }
        thread::sleep(CALM);
        let removed = store.remove("servers", "w-0");
        record.say("the store acknowledges that the entry of w-0 is removed");
        thread::sleep(SECOND_CUT);
        if trouble {
            record.say("the store cuts off the waiting watches of the replicas' entries again");
            store.cut_watches("servers");
        }
        let cut = Instant::now();
        thread::sleep(SERVE_TIME - SECOND_CUT);
        replicas[0].exit();
        record.say("w-0 ends");
        thread::sleep(Duration::from_secs(1));
        stop.store(true, Ordering::Relaxed);
        (removed, cut + CONTACT)
    });
    let lost = lost.lock().unwrap_or_else(|e| e.into_inner()).clone();
    record.say(format!("requests that were not answered 200: {lost:?}"));
    for gateway in &gateways {
        for line in gateway
            .log_text()
            .lines()
            .filter(|line| !line.contains("request_answered"))
        {
            record.add(format!("log of {}: {line}", gateway.name));
        }
    }
    judge(&runs, record, removed, in_touch)
}

/// The rule: no request that machines in touch send on reaches a replica later than `drainMs` after the
/// ack that it is gone.
fn judge(runs: &Runs, record: &Record, removed: Instant, in_touch: Instant) -> Verdict {
    let runs = runs.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let after: Vec<Duration> = runs
        .iter()
        .filter(|run| run.replica == "w-0" && run.start > removed)
        .map(|run| run.start.duration_since(removed))
        .collect();
    let contact = in_touch.duration_since(removed);
    let late = after.iter().filter(|time| **time > DRAIN).count();
    let counted = after
        .iter()
        .filter(|time| **time > DRAIN.max(contact))
        .count();
    record.say(format!(
        "{} requests reached w-0 after the ack, {late} of them over {DRAIN:?} later; {counted} of these came \
         {CONTACT:?} or more after the second cut; the last came {:?} after the ack",
        after.len(),
        after.iter().max().unwrap_or(&Duration::ZERO),
    ));
    match counted {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
