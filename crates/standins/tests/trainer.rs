//! Tests of the trainer and its faults against a service that delivers scripted groups.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_standins::http::ReceivedRequest;
use sardinepath_standins::service::Protocol;
use sardinepath_standins::service::Reply;
use sardinepath_standins::service::Service;
use sardinepath_standins::trainer::GroupOrder;
use sardinepath_standins::trainer::Polled;
use sardinepath_standins::trainer::Trainer;
use sardinepath_standins::trainer::TrainerSettings;
use sardinepath_standins::weights::WeightState;
use sardinepath_standins::weights::Weights;
use serde_json::Value;
use serde_json::json;

const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// Service that delivers the groups whose revision is above the cursor, one group per poll.
#[derive(Default)]
struct Deliveries {
    groups: Vec<(u64, Value)>,
    seen: Vec<ReceivedRequest>,
}

impl Protocol for Deliveries {
    fn handle(&mut self, request: &ReceivedRequest, _now: Instant) -> Reply {
        self.seen.push(request.clone());
        let after: u64 = request.parameter("after").map_or(0, |n| n.parse().unwrap());
        let newer = self.groups.iter().find(|(revision, _)| *revision > after);
        let next = newer.map_or(after, |(revision, _)| *revision);
        let done = self.groups.iter().all(|(revision, _)| *revision <= next);
        let groups: Vec<_> = newer.map(|(_, group)| group).into_iter().collect();
        Reply::Json(200, json!({"groups": groups, "next": next, "done": done}))
    }
}

fn group(name: &str, revision: u64, indexes: &[u32], version: u64) -> (u64, Value) {
    let samples: Vec<_> = indexes
        .iter()
        .map(|i| json!({"index": i, "text": "x", "tokens": 5, "score": 0.5, "versions": [version]}))
        .collect();
    let value = json!({"group": name, "revision": revision, "samples": samples});
    (revision, value)
}

fn entry(groups: Vec<(u64, Value)>) -> Service<Deliveries> {
    let seen = Vec::new();
    Service::serve(Deliveries { groups, seen }).unwrap()
}

fn trainer(entries: Vec<SocketAddr>, store: SocketAddr) -> Trainer {
    let settings = TrainerSettings {
        name: "t1".into(),
        team: "print".into(),
        route: "train".into(),
        key: "key-of-trainer".to_owned(),
        entries,
        store,
        model: "small".into(),
        staleness: 1,
    };
    Trainer::new(settings, WeightVersion(3))
}

fn orders(names: &[&str]) -> Vec<GroupOrder> {
    let order = |name: &&str| GroupOrder {
        group: (*name).to_owned(),
        prompt: "a pump".to_owned(),
        samples: 2,
        max_tokens: 8,
    };
    names.iter().map(order).collect()
}

/// Returns an address on which no server listens.
fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Guards against a lost answer that moves the cursor, so that its samples are never delivered.
#[test]
fn lost_poll_is_repeated_with_the_old_cursor() {
    let entry = entry(vec![group("g1", 4, &[0, 1], 3), group("g2", 9, &[0, 1], 3)]);
    let mut trainer = trainer(vec![entry.address], unused_address());
    trainer.lose_polls = 1;

    trainer
        .run_step(1, &orders(&["g1", "g2"]), STEP_TIMEOUT)
        .unwrap();

    assert_eq!(trainer.faults(), Default::default());
    let paths = entry.ask(|state| {
        state
            .seen
            .iter()
            .map(|s| s.path.clone())
            .collect::<Vec<_>>()
    });
    let poll = |after| format!("/print/train/steps/t1/1?after={after}&version=3");
    let expected = ["/print/train/steps".to_owned(), poll(0), poll(0), poll(4)];
    assert_eq!(paths, expected);
}

/// Guards against repeated, stale, missing or foreign samples that the trainer does not report.
#[test]
fn log_shows_every_kind_of_wrong_delivery() {
    let groups = vec![
        group("g1", 1, &[0, 0], 3),
        group("g2", 2, &[0, 1], 1),
        group("g3", 3, &[0], 3),
    ];
    let entry = entry(groups);
    let mut trainer = trainer(vec![entry.address], unused_address());

    trainer
        .run_step(1, &orders(&["g1", "g2"]), STEP_TIMEOUT)
        .unwrap();

    let faults = trainer.faults();
    let key = |group: &str, index| (1, group.to_owned(), index);
    assert_eq!(faults.repeated, [key("g1", 0)]);
    assert_eq!(faults.missing, [key("g1", 1)]);
    assert_eq!(faults.stale, [key("g2", 0), key("g2", 1)]);
    assert_eq!(faults.foreign, [key("g3", 0)]);
}

/// Guards against a trainer that keeps calling an entry that is down.
#[test]
fn step_goes_on_at_another_entry() {
    let entry = entry(vec![group("g1", 4, &[0, 1], 3)]);
    let mut trainer = trainer(vec![unused_address(), entry.address], unused_address());

    trainer.run_step(1, &orders(&["g1"]), STEP_TIMEOUT).unwrap();

    assert_eq!(trainer.samples().len(), 2);
    let fields = entry.ask(|state| state.seen[0].headers.clone());
    assert!(fields.contains(&"authorization: Bearer key-of-trainer".to_owned()));
}

/// Guards against polls with an outdated version after new weights were published.
#[test]
fn published_weights_raise_the_version_of_polls() {
    let store = Weights::serve(WeightState::new(0, 1)).unwrap();
    let entry = entry(Vec::new());
    let mut trainer = trainer(vec![entry.address], store.address);
    store.set_faults(|faults| faults.lose = 1);

    let lost = trainer.publish();
    let published = trainer.publish();
    let polled = trainer.poll(1);

    assert!(lost.is_err());
    assert_eq!(
        (published, polled),
        (Ok(WeightVersion(4)), Ok(Polled::Done))
    );
    assert_eq!(
        store.ask(|state| state.latest("small")),
        Some(WeightVersion(4))
    );
    assert!(entry.ask(|state| state.seen[0].path.ends_with("version=4")));
}
