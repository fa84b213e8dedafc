//! Two gateways are stopped and started in turn while some answers of the store are lost.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
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
use crate::json::Json;
use crate::record::Record;
use crate::replica::Course;
use crate::replica::End;
use crate::replica::Replica;
use crate::replica::Runs;
use crate::store::Fault;
use crate::store::Store;

/// Kind of the objects by which gateways find each other.
const MEMBERS: &str = "sardinepath-gateways";

/// Time between the two stops.
const GAP: Duration = Duration::from_millis(1_300);

/// Time after which a write whose answer is lost is carried out.
const LATE: Duration = Duration::from_millis(5_900);

/// Length of the time in which answers are lost.
const LOSS_TIME: Duration = Duration::from_millis(4_500);

/// Time that the trainer allows a step.
const BUDGET: Duration = Duration::from_secs(12);

/// Time for which an item of a step must not be at no replica.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Shortest run that counts if its sender ends it.
const SHORTEST_RUN: Duration = Duration::from_secs(1);

/// Number of gateways, as in the deployment `bortolini-sonhos`.
const GATEWAYS: u8 = 4;

/// Number of groups of a step, each with four items.
const GROUPS: usize = 2;

/// Number of model replicas and slots of each.
const REPLICAS: usize = 9;
const SLOTS: usize = 8;

pub fn play(folder: &Path, record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("config", "main", consumer::config(2));
    let cloud = http::serve([127, 0, 0, 1].into(), |_, _| {
        Next::Answer(200, vec![], vec![])
    });
    let runs: Runs = Arc::default();
    for index in 0..REPLICAS {
        // The first item of each group is short, as some texts are.
        let rule = |request: &http::Message| {
            let short = request.header("x-attempt-id").ends_with("-0");
            Course::Stream(if short { 2 } else { 28 }, Duration::from_millis(38))
        };
        let name = format!("i-{index}");
        let replica = Replica::start(
            &name,
            "model-pool",
            SLOTS as u32,
            &runs,
            record,
            Arc::new(rule),
        );
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
    thread::sleep(Duration::from_secs(3));
    if trouble {
        lose_answers(&store, record);
    }
    let lost_until = Instant::now() + LOSS_TIME;
    thread::sleep(Duration::from_millis(100));
    roll(&mut gateways, record, &store, trouble, lost_until);
    thread::sleep(Duration::from_secs(6));
    let members = store.names(MEMBERS);
    record.say(format!("members in the store: {members:?}"));
    let verdict = train(&gateways, &runs, record);
    for (at, line) in store.log() {
        record.add_at(at, format!("store {line}"));
    }
    for gateway in &gateways {
        for line in gateway
            .log_text()
            .lines()
            .filter(|line| !line.contains("item_sent"))
        {
            record.add(format!("log of {}: {line}", gateway.name));
        }
    }
    verdict
}

/// Loses the answer to the first call of each gateway that deletes its entry.
fn lose_answers(store: &Store, record: &Record) {
    let until = Instant::now() + LOSS_TIME;
    let seen: Mutex<BTreeMap<String, u32>> = Mutex::default();
    let record = record.clone();
    let writes = AtomicU64::new(0);
    store.set_rule(move |request| {
        if request.method == "GET" || Instant::now() > until {
            return Fault::None;
        }
        let writes = 1 + writes.fetch_add(1, Ordering::Relaxed);
        if request.method == "DELETE" && request.path.contains(MEMBERS) {
            let mut seen = seen.lock().unwrap_or_else(|e| e.into_inner());
            let count = seen.entry(request.path.clone()).or_default();
            *count += 1;
            if *count == 1 {
                record.say(format!(
                    "the answer to DELETE {} is lost (write {writes})",
                    request.path
                ));
                return Fault::Late(LATE);
            }
        }
        Fault::None
    });
}

/// Stops and starts the gateways in turn.
fn roll(
    gateways: &mut [Gateway],
    record: &Record,
    store: &Store,
    trouble: bool,
    lost_until: Instant,
) {
    thread::scope(|scope| {
        for gateway in gateways.iter_mut() {
            record.say(format!("SIGTERM for {}", gateway.name));
            gateway.signal("TERM");
            scope.spawn(move || {
                gateway.wait_end(Duration::from_secs(8));
                record.say(format!("{} has ended", gateway.name));
                thread::sleep(Duration::from_millis(100));
                gateway.spawn();
                let ready = gateway.wait_ready();
                record.say(format!("{} is back, ready: {ready}", gateway.name));
            });
            thread::sleep(GAP);
        }
    });
    thread::sleep(lost_until.saturating_duration_since(Instant::now()));
    if trouble {
        let (writes, lost) = store.counts();
        record.say(format!(
            "{lost} of {writes} writes since the start were not answered"
        ));
    }
}

/// Submits a step in calm and judges the rule LOST at the end of its time.
fn train(gateways: &[Gateway], runs: &Runs, record: &Record) -> Verdict {
    let mut items = Vec::new();
    for group in 0..GROUPS {
        for member in 0..4 {
            items.push((
                format!("e5b29{group:x}-{member}"),
                format!("9c2e4{group:x}"),
            ));
        }
    }
    let body = consumer::step(&items, GROUPS);
    let start = Instant::now();
    let mut accepted = false;
    for gateway in gateways.iter().cycle().take(8) {
        let answer = consumer::submit(
            gateway.front,
            "7c41e09b52d6a3f8",
            &body,
            Duration::from_secs(3),
        );
        let status = answer.map_or(0, |answer| answer.status);
        record.say(format!("submission to {}: {status}", gateway.name));
        accepted = status == 202;
        if accepted {
            break;
        }
    }
    if !accepted {
        return Verdict::NotRun("the step was not accepted".to_owned());
    }
    let mut listed: Vec<String> = Vec::new();
    let mut turn = 0;
    while start.elapsed() < BUDGET && listed.len() < items.len() {
        let gateway = &gateways[turn % gateways.len()];
        turn += 1;
        let path = format!("/lots/7c41e09b52d6a3f8?after={}", listed.len());
        let answer = consumer::job_call(gateway.front, "GET", &path, 500);
        if let Some(answer) = answer.filter(|answer| answer.status == 200) {
            let page = Json::parse(&answer.text()).unwrap_or(Json::Null);
            let new: Vec<String> = page
                .get("results")
                .list()
                .iter()
                .map(|result| format!("{} {}", result.get("id").str(), result.get("state").str()))
                .collect();
            if !new.is_empty() {
                record.say(format!("{} lists {} more", gateway.name, new.len()));
                new.iter()
                    .for_each(|line| record.add(format!("listed {line}")));
            }
            listed.extend(new);
        }
        thread::sleep(Duration::from_millis(20));
    }
    let end = Instant::now();
    record.say(format!(
        "{} of {} items are listed after {:?}",
        listed.len(),
        items.len(),
        start.elapsed()
    ));
    if listed.len() == items.len() {
        return Verdict::Held;
    }
    judge_lost(&items, runs, record, start, end)
}

/// The rule: a step runs out of time while an item that no replica has finished has been at no replica
/// for 5 s, others had begun, and the replicas were under half full.
pub fn judge_lost(
    items: &[(String, String)],
    runs: &Runs,
    record: &Record,
    start: Instant,
    end: Instant,
) -> Verdict {
    let runs = runs.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let from = end - IDLE_LIMIT;
    let counts = |run: &&crate::replica::Run| {
        let last = run.end.unwrap_or(end).min(end);
        let cut = run.how == End::Left || run.end.is_none();
        !cut || last.duration_since(run.start) >= SHORTEST_RUN
    };
    let begun = runs
        .iter()
        .filter(|run| run.start >= start)
        .filter(counts)
        .count();
    let mut stuck = 0;
    for (id, _) in items {
        let own: Vec<_> = runs
            .iter()
            .filter(|run| run.id == *id && run.start >= start)
            .collect();
        let finished = own
            .iter()
            .any(|run| matches!(run.how, End::Whole | End::Failed));
        let lately = own
            .iter()
            .filter(|run| counts(run))
            .any(|run| run.end.is_none_or(|at| at > from));
        let longest = own
            .iter()
            .map(|run| run.end.unwrap_or(end).duration_since(run.start))
            .max();
        record.add(format!(
            "item {id}: {} runs, finished {finished}, longest {longest:?}",
            own.len()
        ));
        stuck += usize::from(!finished && !lately);
    }
    // Runs at the same moment, sampled each 10 ms.
    let mut fullest = 0;
    let mut at = from;
    while at < end {
        let open = runs
            .iter()
            .filter(|run| run.start <= at && run.end.is_none_or(|end| end > at))
            .count();
        fullest = fullest.max(open);
        at += Duration::from_millis(10);
    }
    record.say(format!(
        "{stuck} items unfinished and at no replica for 5 s, {begun} runs of the step count, at most \
         {fullest} of {} places taken",
        REPLICAS * SLOTS
    ));
    match stuck > 0 && begun > 0 && fullest * 2 < REPLICAS * SLOTS {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
