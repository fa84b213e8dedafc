//! Replicas send a second copy of some answers, late, on a route whose requests may run once.
//!
//! A busy replica refuses a request, and the second copy of the refusal arrives at the point where the
//! next answer of the channel is expected.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::Write;
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

/// Time for which answers are doubled, and the number of times that this happens.
const DOUBLING_TIME: Duration = Duration::from_secs(5);
const DOUBLING_COUNT: usize = 6;

/// Time between two of them.
const PAUSE: Duration = Duration::from_secs(2);

/// One in so many answers of a replica that doubles is doubled: 3 in 100.
const DOUBLING_INTERVAL: usize = 34;

/// Requests that a replica processes at the same time, and those that it queues.
const SLOTS: usize = 6;
const QUEUE: usize = 2;

/// Time that a replica works on a request.
const WORK_TIME: Duration = Duration::from_millis(25);

/// Number of callers. Their requests come in clumps, one request of each caller in a clump.
const CALLERS: u8 = 80;

/// Time between two clumps.
const CLUMP_INTERVAL: Duration = Duration::from_millis(120);

/// What the replicas have run, by request.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// Places of a replica.
#[derive(Default)]
struct Places {
    taken: AtomicUsize,
    working: Mutex<usize>,
    freed: std::sync::Condvar,
}

impl Places {
    /// Works on a request once a slot is free. Returns `false` if the queue is full.
    fn work(&self) -> bool {
        if self.taken.fetch_add(1, Ordering::AcqRel) >= SLOTS + QUEUE {
            self.taken.fetch_sub(1, Ordering::AcqRel);
            return false;
        }
        let mut working = self.working.lock().unwrap();
        while *working >= SLOTS {
            working = self.freed.wait(working).unwrap();
        }
        *working += 1;
        true
    }

    fn release(&self) {
        *self.working.lock().unwrap() -= 1;
        self.taken.fetch_sub(1, Ordering::AcqRel);
        self.freed.notify_one();
    }
}

pub fn run(record: &str, trouble: bool) -> Result<Verdict, Box<dyn Error>> {
    let mut fleet = Fleet::start(record, &[])?;
    fleet.store.put(
        "config",
        "main",
        &format!(
            "{{\"version\": 7, \"routes\": [{{\"name\": \"r-dispatch\", \"host\": \"{HOST}\", \"pathPrefix\": \"/lohu930/\", \"kind\": \"unsafe\",
 \"timeoutMs\": 2000, \"targetLatencyMs\": 400, \"priority\": 2, \"service\": \"works\", \"maxAttempts\": 2, \"public\": false}}],
 \"services\": [{{\"name\": \"works\", \"healthPath\": \"/health\", \"maxConnections\": 96, \"protocol\": \"h1\", \"tls\": false}}],
 \"limits\": {{\"headerBytes\": 16384, \"bodyBytes\": 33554432, \"headerTimeoutMs\": 3000, \"idleTimeoutMs\": 15000}},
 \"tenants\": [{{\"name\": \"kaje80\", \"apiKeys\": [\"{KEY}\"], \"priority\": 1}}]}}"
        ),
    );
    let runs = Runs::default();
    let doubling: Arc<Mutex<Option<Instant>>> = Arc::default();
    for host in 101..=104 {
        // Half of the replicas double answers.
        let doubles = host % 2 == 0;
        start_replica(&fleet, host, &runs, doubles.then(|| doubling.clone()))?;
    }
    for gateway in 1..=4 {
        fleet.start_gateway(gateway)?;
    }
    if !fleet.wait_ready(&[1, 2, 3, 4]) {
        return Err("the gateways are not ready".into());
    }
    thread::sleep(Duration::from_millis(3_500));
    let mut statuses = BTreeMap::new();
    for round in 0..DOUBLING_COUNT {
        let until = Instant::now() + DOUBLING_TIME;
        if trouble {
            fleet
                .record
                .line("half of the replicas double 3 in 100 answers for 5 s");
            *doubling.lock().unwrap() = Some(until);
        }
        statuses.extend(call(&fleet, round, until));
        thread::sleep(PAUSE);
    }
    let runs = runs.lock().unwrap();
    let mut broken = 0;
    for (id, names) in runs.iter().filter(|(_, names)| names.len() > 1) {
        broken += 1;
        fleet.record.line(&format!(
            "TWICE: {id} ran {} times, on {}",
            names.len(),
            names.join(", ")
        ));
    }
    for (id, status) in &statuses {
        if [408, 421, 429, 503].contains(status) && runs.contains_key(id) {
            broken += 1;
            fleet
                .record
                .line(&format!("REFUSED: {id} was answered {status} and has run"));
        }
    }
    let summary = format!(
        "{} requests sent, {} ran, {broken} broke a rule",
        statuses.len(),
        runs.len()
    );
    fleet.record.line(&summary);
    println!("{summary}");
    Ok(match broken > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Starts a replica that refuses requests while it is full. `doubling` holds the time until which it
/// doubles answers, or `None` if it never does.
fn start_replica(
    fleet: &Fleet,
    host: u8,
    runs: &Runs,
    doubling: Option<Arc<Mutex<Option<Instant>>>>,
) -> std::io::Result<()> {
    let (runs, record) = (runs.clone(), fleet.record.clone());
    let places = Places::default();
    let answers = AtomicUsize::new(0);
    // Second copies that wait for the next request of their channel.
    let copies: Mutex<BTreeMap<String, Vec<u8>>> = Mutex::default();
    let behave = move |arrival: fleet::Arrival<'_>| {
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
        let text = if places.work() {
            runs.lock()
                .unwrap()
                .entry(id.clone())
                .or_default()
                .push(name.clone());
            thread::sleep(WORK_TIME);
            places.release();
            record.line(&format!("{name} ran {id} on {channel}"));
            format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: 3e1b.{id}\r\nContent-Length: 4\r\n\r\ndone"
            )
        } else {
            record.line(&format!("{name} is full and refused {id} on {channel}"));
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            )
        };
        let until = doubling
            .as_ref()
            .and_then(|doubling| *doubling.lock().unwrap());
        let doubles = until.is_some_and(|until| Instant::now() < until);
        if doubles
            && answers.fetch_add(1, Ordering::Relaxed) % DOUBLING_INTERVAL == DOUBLING_INTERVAL - 1
        {
            record.line(&format!(
                "{name} will send its answer to {id} twice on {channel}"
            ));
            copies
                .lock()
                .unwrap()
                .insert(channel, text.clone().into_bytes());
        }
        arrival.stream.write_all(text.as_bytes()).is_ok()
    };
    fleet.start_replica(host, "works", SLOTS as u32, behave)?;
    Ok(())
}

/// Sends requests until a time. Returns their statuses by id, 0 without an answer.
fn call(fleet: &Fleet, round: usize, until: Instant) -> BTreeMap<String, u16> {
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let address = fleet.front(1 + caller % 4);
            let record = fleet.record.clone();
            thread::spawn(move || {
                let mut statuses = Vec::new();
                while Instant::now() < until {
                    let id = format!("{round:02x}{caller:02x}{:012x}", statuses.len());
                    let request = format!(
                        "POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 2000\r\nX-Key: {KEY}\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
                    );
                    let answer = http::call(address, &request, b"body", Duration::from_millis(2_200));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("caller sent {id} to {address}: {status}"));
                    statuses.push((id, status));
                    let clumps = start.elapsed().as_millis() / CLUMP_INTERVAL.as_millis() + 1;
                    let next = start + CLUMP_INTERVAL * clumps as u32;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
                statuses
            })
        })
        .collect();
    let statuses = callers.into_iter().filter_map(|caller| caller.join().ok());
    statuses.flatten().collect()
}
