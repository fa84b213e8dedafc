//! Replicas run requests and lose their answers, on a route whose requests may reach one replica.

use std::collections::BTreeMap;
use std::error::Error;
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
use crate::http;

/// Time for which answers are lost.
const LOSS_TIME: Duration = Duration::from_secs(4);

/// One in so many answers of half of the replicas is lost: 5 in 100.
const LOSS_INTERVAL: usize = 20;

/// Number of requests that may run on more replicas than their route allows.
const ALLOWED: usize = 3;

pub fn run(record: &str, trouble: bool) -> Result<Verdict, Box<dyn Error>> {
    let mut fleet = Fleet::start(record, &[])?;
    fleet.store.put(
        "config",
        "main",
        &format!(
            "{{\"version\": 7, \"routes\": [{{\"name\": \"r-lookup\", \"host\": \"{HOST}\", \"pathPrefix\": \"/lohu930/\", \"kind\": \"safe\",
 \"timeoutMs\": 2000, \"targetLatencyMs\": 400, \"priority\": 2, \"service\": \"works\", \"maxAttempts\": 1, \"public\": false}}],
 \"services\": [{{\"name\": \"works\", \"healthPath\": \"/health\", \"maxConnections\": 96, \"protocol\": \"h1\", \"tls\": false}}],
 \"limits\": {{\"headerBytes\": 16384, \"bodyBytes\": 33554432, \"headerTimeoutMs\": 3000, \"idleTimeoutMs\": 15000}},
 \"tenants\": [{{\"name\": \"kaje80\", \"apiKeys\": [\"{KEY}\"], \"priority\": 1}}]}}"
        ),
    );
    let losing: Arc<Mutex<Option<Instant>>> = Arc::default();
    let mut replicas = Vec::new();
    for host in 101..=104 {
        let (losing, record) = (losing.clone(), fleet.record.clone());
        let count = AtomicUsize::new(0);
        let behave = move |mut arrival: fleet::Arrival<'_>| {
            let id = arrival
                .request
                .header("x-attempt-id")
                .unwrap_or("")
                .to_owned();
            arrival.replica.record_run(&id);
            thread::sleep(Duration::from_millis(25));
            let lossy = host % 2 == 0
                && losing
                    .lock()
                    .unwrap()
                    .is_some_and(|until| Instant::now() < until);
            let lost =
                lossy && count.fetch_add(1, Ordering::Relaxed) % LOSS_INTERVAL == LOSS_INTERVAL - 1;
            record.line(&format!(
                "{} ran {id} as request {} of its channel{}",
                arrival.replica.name,
                arrival.number,
                if lost {
                    ", and its answer is lost by a reset"
                } else {
                    ""
                },
            ));
            if lost {
                http::reset(arrival.stream);
                return false;
            }
            fleet::answer(&mut arrival, b"job card")
        };
        replicas.push(fleet.start_replica(host, "works", 6, behave)?);
    }
    for gateway in [1, 2] {
        fleet.start_gateway(gateway)?;
    }
    if !fleet.wait_ready(&[1, 2]) {
        return Err("the gateways are not ready".into());
    }
    // The machines are in touch from contactMs after their start on.
    thread::sleep(Duration::from_millis(3_500));
    if trouble {
        fleet
            .record
            .line("half of the replicas lose 5 in 100 answers from now on");
        *losing.lock().unwrap() = Some(Instant::now() + LOSS_TIME);
    }
    let until = Instant::now() + LOSS_TIME;
    let mut callers = Vec::new();
    for caller in 0..6_u8 {
        let address = fleet.front(1 + caller % 2);
        let record = fleet.record.clone();
        callers.push(thread::spawn(move || {
            let mut number = 0;
            while Instant::now() < until {
                let id = format!("{caller:02x}{number:014x}");
                let request = format!(
                    "POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 2000\r\nX-Key: {KEY}\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
                );
                let answer = http::call(address, &request, b"body", Duration::from_millis(2_200));
                let status = answer.map_or("none".to_owned(), |answer| answer.status().to_string());
                record.line(&format!("caller sent {id} to {address}: {status}"));
                number += 1;
                thread::sleep(Duration::from_millis(25));
            }
            number
        }));
    }
    let sent: usize = callers
        .into_iter()
        .map(|caller| caller.join().unwrap_or(0))
        .sum();
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for replica in &replicas {
        for (_, id) in replica.runs.lock().unwrap().iter() {
            runs.entry(id.clone())
                .or_default()
                .push(replica.name.clone());
        }
    }
    let mut over = 0;
    for (id, names) in &runs {
        let mut different = names.clone();
        different.sort();
        different.dedup();
        if different.len() > 1 {
            over += 1;
            fleet.record.line(&format!(
                "{id} ran on {}, its route allows 1",
                different.join(", ")
            ));
        }
    }
    fleet.record.line(&format!(
        "{sent} requests sent, {over} ran on more than 1 replica, allowed are {ALLOWED}"
    ));
    println!("{sent} requests sent, {over} ran on more than 1 replica");
    Ok(match over > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
