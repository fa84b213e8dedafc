//! Steps of trainers on running entries: the plain path, access, and repeated posts.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod step_support;

use std::time::Duration;
use std::time::Instant;

use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_standins::trainer::GroupOrder;
use sardinepath_standins::trainer::Polled;
use serde_json::json;

use crate::step_support::Fleet;
use crate::step_support::KEY;
use crate::step_support::OTHER_KEY;
use crate::step_support::Setup;
use crate::step_support::WAIT_LIMIT;
use crate::step_support::await_true;
use crate::step_support::check;
use crate::step_support::counter;
use crate::step_support::executions;
use crate::step_support::groups;
use crate::step_support::poll_until_done;
use crate::step_support::start_fleet;
use crate::step_support::stored;
use crate::step_support::trainer;

/// Calls an entry with a key and returns status and body.
fn call(fleet: &Fleet, request: minreq::Request, key: &str) -> (i32, String) {
    assert!(!fleet.addresses.is_empty());
    let request = request.with_header("x-api-key", key).with_timeout(60);
    let answer = request.send().unwrap();
    let status = answer.status_code.into();
    (status, answer.as_str().unwrap().to_owned())
}

fn url(fleet: &Fleet, path: &str) -> String {
    format!("http://{}/print/{path}", fleet.addresses[0])
}

fn body(groups: &[GroupOrder]) -> String {
    json!({"trainer": "t1", "step": 1, "version": 1, "staleness": 1, "groups": groups}).to_string()
}

/// Guards against samples that are lost, doubled, unscored or wrongly labelled without any fault.
#[test]
fn step_is_delivered_whole() {
    let fleet = start_fleet(&Setup::default());
    let mut trainer = trainer(&fleet, &[0], 1);

    trainer.run_step(1, &groups(1, 12, 20), WAIT_LIMIT).unwrap();

    check(&fleet, &trainer);
    assert_eq!(trainer.book().len(), 24);
    let delivered = "sardinepath_step_groups_total{state=\"delivered\"}";
    assert_eq!(counter(&fleet, 0, delivered), 12);
    let recorded = "sardinepath_step_groups_total{state=\"recorded\"}";
    assert_eq!(counter(&fleet, 0, recorded), 12);
}

/// Guards against a trainer of another workspace that reads, posts into or learns of a step, and
/// against access without a key, also on an open route.
#[test]
fn step_is_closed_to_other_workspaces() {
    let fleet = start_fleet(&Setup::default());
    let mut trainer = trainer(&fleet, &[0], 1);
    trainer.run_step(1, &groups(1, 1, 5), WAIT_LIMIT).unwrap();
    let poll = |route: &str| url(&fleet, &format!("{route}/steps/t1/1?after=0&version=1"));
    let post = |route: &str| minreq::post(url(&fleet, &format!("{route}/steps")));
    let other = body(&groups(7, 1, 5));

    let foreign_read = call(&fleet, minreq::get(poll("train")), OTHER_KEY);
    let foreign_post = call(&fleet, post("train").with_body(other.as_str()), OTHER_KEY);
    let keyless = minreq::get(poll("train")).send().unwrap().status_code;
    let open = minreq::get(poll("open")).send().unwrap().status_code;
    let open_post = post("open").with_body(other.as_str()).send().unwrap();
    let (status, own) = call(&fleet, minreq::get(poll("train")), KEY);

    assert_eq!(foreign_read.0, 404, "{}", foreign_read.1);
    assert!(foreign_read.1.contains("no_step"));
    assert_eq!(
        foreign_post.0, 202,
        "its own step of that name is another one"
    );
    assert_eq!((keyless, open, open_post.status_code), (401, 401, 401));
    assert_eq!(status, 200);
    assert!(own.contains("s1-g0") && !own.contains("s7-g0"), "{own}");
}

/// Guards against a repeated post that generates again, and one that changes a posted step.
#[test]
fn repeated_post_is_safe() {
    let fleet = start_fleet(&Setup::default());
    let mut trainer = trainer(&fleet, &[0], 1);
    let order = groups(1, 4, 10);
    for _ in 0..3 {
        trainer.post_step(1, &order).unwrap();
    }
    poll_until_done(&mut trainer, 1);
    trainer.post_step(1, &order).unwrap();

    let changed = minreq::post(url(&fleet, "train/steps")).with_body(body(&groups(2, 4, 10)));
    let changed = call(&fleet, changed, KEY);

    assert_eq!(changed.0, 409, "{}", changed.1);
    check(&fleet, &trainer);
    assert_eq!(stored(&fleet, 1, "delivered"), 4);
    assert_eq!(executions(&fleet, 1), 8);
}

/// Guards against steps that cannot be run, and against calls that are taken for the target's.
#[test]
fn malformed_steps_are_refused() {
    let fleet = start_fleet(&Setup::default());
    let post = |body: String| {
        let request = minreq::post(url(&fleet, "train/steps")).with_body(body);
        call(&fleet, request, KEY).0
    };
    let mut twice = groups(1, 2, 5);
    twice[1].group = twice[0].group.clone();
    let dots = body(&groups(1, 1, 5)).replace("\"t1\"", "\"..\"");
    let path = body(&groups(1, 1, 5)).replace("\"t1\"", "\"a/b\"");

    let refused = [body(&[]), body(&twice), dots, path, "{}".to_owned()].map(post);
    let unknown = minreq::get(url(&fleet, "train/steps/t1/9?after=0&version=1"));
    let without = minreq::get(url(&fleet, "train/steps/t1/9?after=0"));

    assert_eq!(refused, [400; 5]);
    assert_eq!(call(&fleet, unknown, KEY).0, 404);
    assert_eq!(call(&fleet, without, KEY).0, 400);
}

/// Guards against a trainer that has to poll in a busy loop: a poll waits for the first group.
#[test]
fn poll_waits_for_a_group() {
    let fleet = start_fleet(&Setup::default());
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.delay = Duration::from_secs(3));
    }
    let mut trainer = trainer(&fleet, &[0], 1);
    trainer.post_step(1, &groups(1, 1, 5)).unwrap();
    let start = Instant::now();

    let first = trainer.poll(1).unwrap();

    assert_eq!(first, Polled::Done);
    assert!(start.elapsed() >= Duration::from_millis(1500));
    check(&fleet, &trainer);
}

/// Guards against samples that go on for a withdrawn key (promise P6), also those that run.
#[test]
fn withdrawn_key_stops_the_samples() {
    let fleet = start_fleet(&Setup {
        token_time: Duration::from_millis(20),
        ..Setup::default()
    });
    let mut trainer = trainer(&fleet, &[0], 1);
    trainer.post_step(1, &groups(1, 80, 100)).unwrap();
    await_true("samples run", || executions(&fleet, 1) > 10);
    let object = fleet.api.objects.get("config/print").unwrap().unwrap();
    let mut tree: serde_json::Value = serde_json::from_str(&object.value).unwrap();
    tree["keys"]["trainer"]["withdrawn"] = true.into();
    let (text, expect) = (tree.to_string(), Precondition::At(object.revision));

    fleet
        .api
        .objects
        .put("config/print", &text, expect)
        .unwrap();
    std::thread::sleep(Duration::from_secs(5));
    let running: usize = fleet.engines.iter().map(|engine| engine.load().0).sum();
    let before = executions(&fleet, 1);
    std::thread::sleep(Duration::from_secs(2));

    assert_eq!(running, 0);
    assert!(before < 160, "the step was over before the withdrawal");
    assert_eq!(executions(&fleet, 1), before);
    assert!(trainer.poll(1).unwrap_err().contains("bad_key"));
}
