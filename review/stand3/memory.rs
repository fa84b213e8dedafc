//! A batch job of legal size with very many small items.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::consumer;
use crate::gateway::Gateway;
use crate::gateway::Site;
use crate::http;
use crate::http::Next;
use crate::record::Record;
use crate::replica::Course;
use crate::replica::MODEL;
use crate::replica::Replica;
use crate::replica::Runs;
use crate::store::Store;

/// `memoryMb` of a `front` machine, in bytes. The platform kills a process that uses more.
const MEMORY: u64 = 260 << 20;

/// `bodyBytes` of the configuration.
const BODY: usize = 33_554_432;

/// Size of an ordinary job, in bytes.
const ORDINARY_BODY: usize = 64 << 10;

/// Number of gateways.
const GATEWAYS: u8 = 4;

/// Number of batch jobs, and the time between them.
const STEPS: usize = 6;
const STEP_INTERVAL: Duration = Duration::from_secs(4);

/// Time after the last submission for which the processes are watched.
const WATCH: Duration = Duration::from_secs(10);

/// Delay after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Number of ends of one process, and of processes that end so often, from which on the day counts 0.
const MAX_ENDS: usize = 3;
const MAX_PROCESSES: usize = 2;

pub fn play(folder: &Path, record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("config", "main", consumer::config(2));
    let cloud = http::serve([127, 0, 0, 1].into(), |_, _| {
        Next::Answer(200, vec![], vec![])
    });
    let runs: Runs = Arc::default();
    for index in 0..9 {
        let rule = |_: &http::Message| Course::Stream(2, Duration::from_millis(38));
        let name = format!("i-{index}");
        let replica = Replica::start(&name, "model-pool", 8, &runs, record, Arc::new(rule));
        store.put("servers", &name, replica.entry("ready"));
    }
    let site = Site {
        store: store.address,
        cloud,
        fencing: true,
    };
    let gateways: Vec<Gateway> = (1..=GATEWAYS)
        .map(|index| Gateway::start(folder, index, site))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("a gateway did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let (body, items) = job(if trouble { BODY } else { ORDINARY_BODY });
    record.say(format!(
        "the job has {items} items and {} bytes",
        body.len()
    ));
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let stop = AtomicBool::new(false);
    let ends = thread::scope(|scope| {
        let watched = gateways
            .into_iter()
            .map(|gateway| scope.spawn(|| watch(gateway, record, &stop)));
        let watched: Vec<_> = watched.collect();
        for step in 0..STEPS {
            // The consumer retries once, at another node, as its sheet says.
            for attempt in 0..2 {
                let front = fronts[(step + attempt) % fronts.len()];
                let id = format!("7c41e09b52d6a3f{step}");
                let limit = Duration::from_secs(10);
                let answer = consumer::submit_text(front, &id, &body, limit);
                let status = answer.map_or(0, |answer| answer.status);
                record.say(format!("submission {id} to {front}: {status}"));
                if status == 202 {
                    break;
                }
            }
            thread::sleep(STEP_INTERVAL);
        }
        thread::sleep(WATCH);
        stop.store(true, Ordering::Relaxed);
        let ends = watched
            .into_iter()
            .map(|thread| thread.join().unwrap_or_default());
        ends.collect::<Vec<usize>>()
    });
    record.say(format!("ends of each process: {ends:?}"));
    match ends.iter().filter(|ends| **ends >= MAX_ENDS).count() >= MAX_PROCESSES {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Does what the platform does: kills a process that uses more than its machine has, and starts a process
/// that has ended again. Returns the number of ends.
fn watch(mut gateway: Gateway, record: &Record, stop: &AtomicBool) -> usize {
    let (mut ends, mut peak) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        let used = gateway.memory();
        peak = peak.max(used);
        if used > MEMORY || gateway.has_ended() {
            ends += 1;
            record.say(format!(
                "{} uses {used} bytes and is killed (end {ends})",
                gateway.name
            ));
            gateway.kill();
            thread::sleep(RESTART_DELAY);
            gateway.spawn();
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.say(format!(
        "{}: most memory {peak} of {MEMORY} bytes",
        gateway.name
    ));
    for line in gateway
        .log_text()
        .lines()
        .filter(|line| !line.contains("item_"))
    {
        record.add(format!("log of {}: {line}", gateway.name));
    }
    ends
}

/// Returns a submission of at most this many bytes with as many small items as fit, and their number.
fn job(bytes: usize) -> (String, usize) {
    let mut text = format!(
        "{{\"step\":0,\"model\":\"{MODEL}\",\"minVersion\":1,\"desiredCount\":1,\"items\":["
    );
    let mut item = 0;
    loop {
        let comma = if item > 0 { "," } else { "" };
        let mut next = String::new();
        let _ = write!(
            next,
            "{comma}{{\"id\":\"e{item:x}\",\"path\":\"/pule252/3/{item:x}\",\"headers\":{{\"X-Model\":\"{MODEL}\",\
             \"X-Token-Counts\":\"17,2\",\"X-Prompt-Prefix\":\"9c:16\"}},\"body\":\"q80=\",\
             \"tokenCount\":19,\"group\":\"g{:x}\"}}",
            item / 4
        );
        if text.len() + next.len() + 2 > bytes {
            break;
        }
        text.push_str(&next);
        item += 1;
    }
    text.push_str("]}");
    (text, item)
}

impl Gateway {
    /// Returns the memory that the process uses now, in bytes.
    fn memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        kilobytes.unwrap_or(0) * 1024
    }
}
