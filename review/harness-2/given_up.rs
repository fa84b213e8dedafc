//! Replicas send a second copy of some answers, late, to items of batch jobs.
//!
//! Some items fail once and succeed when they come again. While all other places are taken, such an item
//! comes again to its replica over the same channel, where the copy of its failure arrives in place of
//! the second answer.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::KEY;
use crate::fleet::MODEL;
use crate::http;
use crate::json;

/// Time for which answers are doubled, and the pause before the next time.
const DOUBLING_TIME: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(1);

/// Time for which batch jobs are submitted.
const RUN_TIME: Duration = Duration::from_secs(72);

/// One in so many answers of a replica that doubles is doubled: 3 in 100.
const DOUBLING_INTERVAL: usize = 34;

/// Answers of 500 after which an item may be given up: `maxAttempts` of its route.
const MAX_ATTEMPTS: usize = 2;

/// Trainers, each with a route, a service and one batch job at a time.
const TRAINERS: u8 = 3;

/// Replicas of a service, and their slots. A batch job has as many items as there are slots.
const REPLICAS: u8 = 4;
const SLOTS: usize = 6;
const ITEMS: usize = REPLICAS as usize * SLOTS;

/// One in so many items fails at its first run.
const FAILURE_INTERVAL: usize = 4;

/// Time between the failures of two items of a job, so that one place is free at a time.
const FAILURE_SPACING: Duration = Duration::from_millis(150);

/// Events of a text, and the time between two of them.
const EVENTS: usize = 28;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

const GATEWAYS: [u8; 4] = [1, 2, 3, 4];

/// Number of answers of 500 that the replicas gave, by the id of the item.
type Failures = Arc<Mutex<BTreeMap<String, usize>>>;

pub fn run(record: &str, trouble: bool) -> Result<Verdict, Box<dyn Error>> {
    let mut fleet = Fleet::start(record, &[])?;
    let routes: Vec<String> = (0..TRAINERS)
        .map(|trainer| {
            format!(
                "{{\"name\": \"r-draft-{trainer}\", \"host\": \"{HOST}\", \"pathPrefix\": \"/pule25{trainer}/\", \"kind\": \"rollout\", \"timeoutMs\": 10000, \"targetLatencyMs\": 400, \"resultDeadlineMs\": 7500, \"retentionS\": 110, \"priority\": 0, \"service\": \"pool-{trainer}\", \"maxAttempts\": {MAX_ATTEMPTS}, \"public\": false}}"
            )
        })
        .collect();
    let services: Vec<String> = (0..TRAINERS)
        .map(|trainer| {
            format!(
                "{{\"name\": \"pool-{trainer}\", \"healthPath\": \"/health\", \"maxConnections\": 150, \"protocol\": \"h1\", \"tls\": false}}"
            )
        })
        .collect();
    fleet.store.put(
        "config",
        "main",
        &format!(
            "{{\"version\": 7, \"routes\": [{}], \"services\": [{}],
 \"limits\": {{\"headerBytes\": 16384, \"bodyBytes\": 33554432, \"headerTimeoutMs\": 3000, \"idleTimeoutMs\": 15000}},
 \"tenants\": [{{\"name\": \"kaje80\", \"apiKeys\": [\"{KEY}\"], \"priority\": 1}}]}}",
            routes.join(", "),
            services.join(", "),
        ),
    );
    let failures = Failures::default();
    let start = Instant::now() + Duration::from_secs(4);
    for trainer in 0..TRAINERS {
        for index in 0..REPLICAS {
            // Half of the replicas double answers, for 5 s in each 6 s.
            let doubling = (trouble && index % 2 == 0).then_some(start);
            let host = 101 + trainer * REPLICAS + index;
            let service = format!("pool-{trainer}");
            start_replica(&fleet, host, &service, &failures, doubling)?;
        }
    }
    for gateway in GATEWAYS {
        fleet.start_gateway(gateway)?;
    }
    if !fleet.wait_ready(&GATEWAYS) {
        return Err("the gateways are not ready".into());
    }
    thread::sleep(start.saturating_duration_since(Instant::now()));
    let trainers: Vec<_> = (0..TRAINERS)
        .map(|trainer| {
            let fronts = GATEWAYS.map(|gateway| fleet.front(gateway));
            let (record, failures) = (fleet.record.clone(), failures.clone());
            thread::spawn(move || train(trainer, &fronts, &record, &failures, start + RUN_TIME))
        })
        .collect();
    let (mut listed, mut early) = (0, 0);
    for trainer in trainers {
        let (own_listed, own_early) = trainer.join().map_err(|_| "a trainer failed")?;
        listed += own_listed;
        early += own_early;
    }
    let summary =
        format!("{listed} results, {early} items given up before {MAX_ATTEMPTS} answers of 500");
    fleet.record.line(&summary);
    println!("{summary}");
    match (listed, early) {
        (0, _) => Err("no result was listed".into()),
        (_, 0) => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken),
    }
}

/// Starts a replica. `doubling` is the time from which on it doubles answers.
fn start_replica(
    fleet: &Fleet,
    host: u8,
    service: &str,
    failures: &Failures,
    doubling: Option<Instant>,
) -> std::io::Result<()> {
    let (failures, record) = (failures.clone(), fleet.record.clone());
    let answers = AtomicUsize::new(0);
    // Second copies that wait for the next request of their channel.
    let copies: Mutex<BTreeMap<String, Vec<u8>>> = Mutex::default();
    let behave = move |mut arrival: fleet::Arrival<'_>| {
        let id = arrival
            .request
            .header("x-attempt-id")
            .unwrap_or("")
            .to_owned();
        let name = &arrival.replica.name;
        let channel = arrival
            .stream
            .peer_addr()
            .map_or(String::new(), |peer| peer.to_string());
        let copy = copies.lock().unwrap().remove(&channel);
        if let Some(copy) = copy {
            record.line(&format!(
                "{name} sends the second copy of an answer on {channel}, where {id} has arrived"
            ));
            if arrival.stream.write_all(&copy).is_err() {
                return false;
            }
        }
        let number = usize::from_str_radix(id.get(2..).unwrap_or(""), 16).unwrap_or(1) % ITEMS;
        let first = !failures.lock().unwrap().contains_key(&id);
        let text = if number % FAILURE_INTERVAL == 0 && first {
            let order = number / FAILURE_INTERVAL + 1;
            thread::sleep(FAILURE_SPACING * order as u32);
            failures.lock().unwrap().insert(id.clone(), 1);
            record.line(&format!("{name} answers {id} with 500 on {channel}"));
            let text = format!(
                "HTTP/1.1 500 Failed\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: 3e1b.{id}.500\r\nContent-Length: 0\r\n\r\n"
            );
            arrival.stream.write_all(text.as_bytes()).map(|()| text)
        } else {
            record.line(&format!("{name} runs {id} on {channel}"));
            generate(&mut arrival, &id)
        };
        // The channel ended if the answer can't be written.
        let Ok(text) = text else {
            return false;
        };
        let period = DOUBLING_TIME + PAUSE;
        let doubles = doubling.is_some_and(|start| {
            let since = Instant::now().saturating_duration_since(start).as_millis();
            since > 0 && since % period.as_millis() < DOUBLING_TIME.as_millis()
        });
        let nth = || answers.fetch_add(1, Ordering::Relaxed) % DOUBLING_INTERVAL;
        if doubles && nth() == DOUBLING_INTERVAL - 1 {
            record.line(&format!(
                "{name} will send its answer to {id} twice on {channel}"
            ));
            copies.lock().unwrap().insert(channel, text.into_bytes());
        }
        true
    };
    fleet.start_replica(host, service, SLOTS as u32, behave)?;
    Ok(())
}

/// Generates an item, each event as it is made. Returns the whole answer.
fn generate(arrival: &mut fleet::Arrival<'_>, id: &str) -> std::io::Result<String> {
    let from = arrival.request.header("last-event-id");
    let from: usize = from.and_then(|id| id.parse().ok()).unwrap_or(0);
    let events: Vec<String> = (from + 1..=EVENTS)
        .map(|number| format!("id: {number}\ndata: {id}-{number}\n\n"))
        .collect();
    let length: usize = events.iter().map(String::len).sum();
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: 3e1b.{id}\r\nX-Weight-Versions: 1\r\nContent-Length: {length}\r\n\r\n"
    );
    arrival.stream.write_all(text.as_bytes())?;
    for event in events {
        thread::sleep(EVENT_INTERVAL);
        arrival.stream.write_all(event.as_bytes())?;
        text.push_str(&event);
    }
    Ok(text)
}

/// Submits batch jobs until a time and reads their results. Returns the number of results, and of
/// items that were given up too early.
fn train(
    trainer: u8,
    fronts: &[SocketAddr],
    record: &fleet::Record,
    failures: &Failures,
    until: Instant,
) -> (usize, usize) {
    let (mut listed, mut early, mut step) = (0, 0, 0);
    while Instant::now() < until {
        step += 1;
        let front = fronts[(usize::from(trainer) + step) % fronts.len()];
        let job = format!("{trainer:02x}{step:014x}");
        let items: Vec<String> = (0..ITEMS)
            .map(|index| {
                let item = format!("{trainer:02x}{:014x}", step * ITEMS + index);
                format!(
                    "{{\"id\": \"{item}\", \"path\": \"/pule25{trainer}/3/{index}\", \"headers\": {{\"X-Model\": \"{MODEL}\", \"X-Token-Counts\": \"271,28\"}}, \"body\": \"q83vEjRWeJA=\", \"tokenCount\": 299, \"group\": \"g{step}-{}\"}}",
                    index / 4
                )
            })
            .collect();
        let body = format!(
            "{{\"step\": {step}, \"model\": \"{MODEL}\", \"minVersion\": 1, \"desiredCount\": 5, \"items\": [{}]}}",
            items.join(",")
        );
        let request = format!(
            "POST /pule25{trainer}/{job} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Attempt-Id: {job}\r\nX-Deadline-Ms: 10000\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let answer = http::call(front, &request, body.as_bytes(), Duration::from_secs(10));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("the batch job {job} was answered {status}"));
        if status != 202 {
            continue;
        }
        let (mut have, deadline) = (0, Instant::now() + Duration::from_secs(12));
        while have < ITEMS && Instant::now() < deadline {
            let request = format!(
                "GET /lots/{job}?after={have} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Wait-Ms: 500\r\nConnection: close\r\n\r\n"
            );
            let answer = http::call(front, &request, b"", Duration::from_secs(3));
            let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
            let Some(page) = text.as_deref().and_then(json::parse) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            for result in page.get("results").list() {
                have += 1;
                let item = result.get("id").text().unwrap_or("");
                if result.get("state").text() != Some("terminated") {
                    continue;
                }
                let known = failures.lock().unwrap();
                let count = known.get(item).copied().unwrap_or(0);
                record.line(&format!(
                    "{item} of {job} is listed as terminated after {count} answers of 500"
                ));
                early += usize::from(count < MAX_ATTEMPTS);
            }
        }
        listed += have;
        record.line(&format!("{have} results of {job} were read"));
        let request = format!(
            "DELETE /lots/{job} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nConnection: close\r\n\r\n"
        );
        let _ = http::call(front, &request, b"", Duration::from_secs(4));
    }
    (listed, early)
}
