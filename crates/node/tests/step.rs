//! Steps of trainers on running entries: delivery without faults, access, and repeated posts.

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
use crate::step_support::WAIT_TIMEOUT;
use crate::step_support::check_samples;
use crate::step_support::count_executions;
use crate::step_support::count_stored;
use crate::step_support::groups;
use crate::step_support::new_trainer;
use crate::step_support::poll_until_done;
use crate::step_support::read_counter;
use crate::step_support::start_fleet;
use crate::step_support::wait_until;

/// Sends a request with a key to an entry and returns the status and body.
fn send(fleet: &Fleet, request: minreq::Request, key: &str) -> (i32, String) {
    assert!(!fleet.addresses.is_empty());
    let request = request.with_header("x-api-key", key).with_timeout(60);
    let answer = request.send().unwrap();
    let status = answer.status_code.into();
    (status, answer.as_str().unwrap().to_owned())
}

/// Returns the URL of a path of the team at the first entry.
fn url(fleet: &Fleet, path: &str) -> String {
    format!("http://{}/print/{path}", fleet.addresses[0])
}

/// Returns the body of a post of step 1.
fn step_body(groups: &[GroupOrder]) -> String {
    json!({"trainer": "t1", "step": 1, "version": 1, "staleness": 1, "groups": groups}).to_string()
}

/// Guards against samples that are lost, duplicated, not scored or labelled with wrong versions
/// although nothing fails.
#[test]
fn step_is_delivered_completely() {
    let fleet = start_fleet(&Setup::default());
    let mut trainer = new_trainer(&fleet, &[0], 1);

    trainer
        .run_step(1, &groups(1, 12, 20), WAIT_TIMEOUT)
        .unwrap();

    check_samples(&fleet, &trainer);
    assert_eq!(trainer.samples().len(), 24);
    let delivered = "sardinepath_step_groups_total{state=\"delivered\"}";
    assert_eq!(read_counter(&fleet, 0, delivered), 12);
    let recorded = "sardinepath_step_groups_total{state=\"recorded\"}";
    assert_eq!(read_counter(&fleet, 0, recorded), 12);
}

/// Guards against a trainer of another workspace that reads a step, posts into it or learns that it
/// exists, and against access without a key, which an open route must not allow either.
#[test]
fn step_is_closed_to_other_workspaces() {
    let fleet = start_fleet(&Setup::default());
    let mut trainer = new_trainer(&fleet, &[0], 1);
    trainer.run_step(1, &groups(1, 1, 5), WAIT_TIMEOUT).unwrap();
    let poll = |route: &str| url(&fleet, &format!("{route}/steps/t1/1?after=0&version=1"));
    let post = |route: &str| minreq::post(url(&fleet, &format!("{route}/steps")));
    let other = step_body(&groups(7, 1, 5));

    let foreign_read = send(&fleet, minreq::get(poll("train")), OTHER_KEY);
    let foreign_post = send(&fleet, post("train").with_body(other.as_str()), OTHER_KEY);
    let keyless = minreq::get(poll("train")).send().unwrap().status_code;
    let open = minreq::get(poll("open")).send().unwrap().status_code;
    let open_post = post("open").with_body(other.as_str()).send().unwrap();
    let (status, own) = send(&fleet, minreq::get(poll("train")), KEY);

    assert_eq!(foreign_read.0, 404, "{}", foreign_read.1);
    assert!(foreign_read.1.contains("no_step"));
    assert_eq!(
        foreign_post.0, 202,
        "a step of the same name in another workspace is separate"
    );
    assert_eq!((keyless, open, open_post.status_code), (401, 401, 401));
    assert_eq!(status, 200);
    assert!(own.contains("s1-g0") && !own.contains("s7-g0"), "{own}");
}

/// Guards against a repeated post that generates the samples again, and against a post that changes
/// a step which was posted before.
#[test]
fn repeated_post_is_safe() {
    let fleet = start_fleet(&Setup::default());
    let mut trainer = new_trainer(&fleet, &[0], 1);
    let order = groups(1, 4, 10);
    for _ in 0..3 {
        trainer.post_step(1, &order).unwrap();
    }
    poll_until_done(&mut trainer, 1);
    trainer.post_step(1, &order).unwrap();

    let changed = minreq::post(url(&fleet, "train/steps")).with_body(step_body(&groups(2, 4, 10)));
    let changed = send(&fleet, changed, KEY);

    assert_eq!(changed.0, 409, "{}", changed.1);
    check_samples(&fleet, &trainer);
    assert_eq!(count_stored(&fleet, 1, "delivered"), 4);
    assert_eq!(count_executions(&fleet, 1), 8);
}

/// Guards against malformed steps that are accepted although they cannot be run, and against calls
/// under `steps` that are passed on to a target.
#[test]
fn malformed_steps_are_refused() {
    let fleet = start_fleet(&Setup::default());
    let post = |body: String| {
        let request = minreq::post(url(&fleet, "train/steps")).with_body(body);
        send(&fleet, request, KEY).0
    };
    let mut twice = groups(1, 2, 5);
    twice[1].group = twice[0].group.clone();
    let dots = step_body(&groups(1, 1, 5)).replace("\"t1\"", "\"..\"");
    let path = step_body(&groups(1, 1, 5)).replace("\"t1\"", "\"a/b\"");

    let refused = [
        step_body(&[]),
        step_body(&twice),
        dots,
        path,
        "{}".to_owned(),
    ]
    .map(post);
    let unknown = minreq::get(url(&fleet, "train/steps/t1/9?after=0&version=1"));
    let without = minreq::get(url(&fleet, "train/steps/t1/9?after=0"));

    assert_eq!(refused, [400; 5]);
    assert_eq!(send(&fleet, unknown, KEY).0, 404);
    assert_eq!(send(&fleet, without, KEY).0, 400);
}

/// Guards against polls that return at once without a group, so that the trainer polls in a busy
/// loop.
#[test]
fn poll_waits_for_a_group() {
    let fleet = start_fleet(&Setup::default());
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.delay = Duration::from_secs(3));
    }
    let mut trainer = new_trainer(&fleet, &[0], 1);
    trainer.post_step(1, &groups(1, 1, 5)).unwrap();
    let start = Instant::now();

    let first = trainer.poll(1).unwrap();

    assert_eq!(first, Polled::Done);
    assert!(start.elapsed() >= Duration::from_millis(1500));
    check_samples(&fleet, &trainer);
}

/// Guards against samples that are generated with a withdrawn key (promise P6): neither queued nor
/// running ones may continue.
#[test]
fn withdrawn_key_stops_the_samples() {
    let fleet = start_fleet(&Setup {
        token_time: Duration::from_millis(20),
        ..Setup::default()
    });
    let mut trainer = new_trainer(&fleet, &[0], 1);
    trainer.post_step(1, &groups(1, 80, 100)).unwrap();
    wait_until("samples run", || count_executions(&fleet, 1) > 10);
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
    let before = count_executions(&fleet, 1);
    std::thread::sleep(Duration::from_secs(2));

    assert_eq!(running, 0);
    assert!(before < 160, "the step was over before the withdrawal");
    assert_eq!(count_executions(&fleet, 1), before);
    assert!(trainer.poll(1).unwrap_err().contains("bad_key"));
}
