//! Drain of an agent.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod fixture;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use sardinepath_adapters::runtime::Runtime;
use sardinepath_adapters::target::HttpTarget;
use sardinepath_core::decision::agent::AgentState;
use sardinepath_core::decision::process::DrainEnd;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::target::ServingState;
use sardinepath_core::port::front::AgentFront;
use sardinepath_node::agent::control::Control;
use sardinepath_node::agent::control::Message;
use sardinepath_node::agent::drain::DrainSignal;
use sardinepath_node::agent::service::AgentService;
use sardinepath_node::metrics::Metrics;

use crate::common::loopback;
use crate::fixture::WAIT_TIMEOUT;
use crate::fixture::drain_agent;
use crate::fixture::get;
use crate::fixture::set_delay;
use crate::fixture::start_fleet;
use crate::fixture::wait_for_slow_calls;

/// Duration of slow calls. It is longer than the time for which a draining agent sends reports.
const SLOW_DELAY: Duration = Duration::from_secs(5);

/// Guards against a drain that aborts running attempts, and against a draining agent that accepts
/// new ones.
#[test]
fn drain_finishes_running_attempts_and_refuses_new_ones() {
    let fleet = start_fleet(1);
    set_delay(&fleet, SLOW_DELAY);

    let (slow, late, end) = thread::scope(|scope| {
        let slow = scope.spawn(|| get(&fleet, "slow/1").unwrap());
        wait_for_slow_calls(&fleet, 1);
        let drain = scope.spawn(|| drain_agent(&fleet, 0, WAIT_TIMEOUT));
        thread::sleep(Duration::from_secs(1));
        let late = get(&fleet, "late").unwrap();
        (slow.join().unwrap(), late, drain.join().unwrap())
    });

    assert_eq!(slow, (200, "executed GET /slow/1".to_owned()));
    assert_eq!(late.0, 503);
    assert!(late.1.contains("\"not_run\""), "{}", late.1);
    let executed = fleet.services[0].executed();
    assert!(executed.iter().all(|call| call.path != "/late"));
    assert_eq!(end, DrainEnd::Finished);
}

/// Guards against failed calls while one of two targets is drained. They fail if the entry chooses
/// the target after its agent has stopped, or if the drain aborts running calls.
#[test]
fn load_moves_to_the_other_target() {
    let fleet = start_fleet(2);
    set_delay(&fleet, SLOW_DELAY);
    let drained = AtomicBool::new(false);

    let (answers, slow) = thread::scope(|scope| {
        let caller = || {
            let mut answers = Vec::new();
            while !drained.load(Ordering::Relaxed) && answers.len() < 20_000 {
                answers.push(get(&fleet, "load").map(|answer| answer.0));
                thread::sleep(Duration::from_millis(2));
            }
            answers
        };
        let slow: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| get(&fleet, "slow/1").unwrap().0))
            .collect();
        wait_for_slow_calls(&fleet, 4);
        set_delay(&fleet, Duration::ZERO);
        let callers: Vec<_> = (0..4).map(|_| scope.spawn(caller)).collect();
        thread::sleep(Duration::from_millis(300));
        let end = drain_agent(&fleet, 0, WAIT_TIMEOUT);
        drained.store(true, Ordering::Relaxed);
        assert_eq!(end, DrainEnd::Finished);
        let answers = callers.into_iter().flat_map(|c| c.join().unwrap());
        let slow = slow.into_iter().map(|call| call.join().unwrap());
        (answers.collect::<Vec<_>>(), slow.collect::<Vec<_>>())
    });

    let cut: Vec<_> = answers.iter().filter(|a| !matches!(a, Ok(200))).collect();
    assert!(
        cut.is_empty(),
        "{} of {}: {cut:?}",
        cut.len(),
        answers.len()
    );
    assert_eq!(slow, [200; 4]);
}

/// Guards against entries that learn of a drain only with the next periodic report, because the
/// agent sends none when the drain starts.
#[test]
fn leaving_is_reported_at_once() {
    let runtime = Runtime::start(1).unwrap();
    let (control, queue) = flume::bounded(16);
    let (signal, leaving) = DrainSignal::new();
    let (loads, _) = flume::bounded(1);
    let state = AgentState::new(Incarnation(1));
    let state = Control::new(state, "orders-1".into(), loads, signal);
    thread::spawn(move || state.run(&queue));
    let spawner = runtime.spawner();
    let target = Arc::new(HttpTarget::new(spawner.clone(), loopback()));
    let metrics = Arc::new(Metrics::new().unwrap());
    let service = AgentService::new(spawner, control.clone(), target, leaving, metrics);
    let (sender, reports) = flume::bounded(4);
    let interval = Duration::from_secs(3_600);
    let _guard = service.reports(interval, sender);
    let before = reports.recv_timeout(WAIT_TIMEOUT).unwrap();

    let (idle, _finished) = flume::bounded(0);
    control.send(Message::Drain(idle)).unwrap();
    let after = reports.recv_timeout(WAIT_TIMEOUT).unwrap();

    assert_eq!(before.state, ServingState::Starting);
    assert_eq!(after.state, ServingState::Leaving);
}
