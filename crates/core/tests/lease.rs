//! Simulates leases under lost answers, outages, pauses, restarts and clocks of different speeds.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use sardinepath_core::domain::ids::Fence;

use crate::support::CallOutcome;
use crate::support::FakeStore;
use crate::support::lease::CallPlan;
use crate::support::lease::LeaseState;
use crate::support::lease::Process;
use crate::support::lease::TICK;
use crate::support::lease::write;

#[derive(Clone, Debug)]
enum Event {
    Run { plans: [CallPlan; 2], ticks: u64 },
    Restart { process: usize },
    Arrive,
}

fn any_plan() -> impl Strategy<Value = CallPlan> {
    let outcome = prop_oneof![
        3 => Just(Some(CallOutcome::Done)),
        1 => Just(Some(CallOutcome::AnswerLost)),
        1 => Just(Some(CallOutcome::CallLost)),
        2 => Just(Some(CallOutcome::Late)),
        1 => Just(Some(CallOutcome::Down)),
        2 => Just(None),
    ];
    let delay = prop_oneof![2 => Just(0), 1 => 0..5_000u64];
    (outcome, delay).prop_map(|(outcome, delay)| CallPlan { outcome, delay })
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => ([any_plan(), any_plan()], prop_oneof![1..20u64, 20..200u64])
            .prop_map(|(plans, ticks)| Event::Run { plans, ticks }),
        1 => (0..2usize).prop_map(|process| Event::Restart { process }),
        3 => Just(Event::Arrive),
    ]
}

fn any_speed() -> impl Strategy<Value = u64> {
    prop_oneof![Just(80), Just(120), 80..=120u64]
}

/// Runs the events and returns the fencing tokens in the order in which their holders acted. Fails
/// with the time at which two processes could act.
fn simulate(speeds: [u64; 2], events: &[Event]) -> Result<Vec<Fence>, u64> {
    let mut store = FakeStore::default();
    let mut processes = [Process::new(1, speeds[0]), Process::new(2, speeds[1])];
    let (mut real, mut acted) = (0, Vec::new());
    for event in events {
        let (plans, ticks) = match event {
            Event::Run { plans, ticks } => (plans, *ticks),
            Event::Restart { process } => {
                processes[*process].restart();
                continue;
            }
            Event::Arrive => {
                store.arrive();
                continue;
            }
        };
        for _ in 0..ticks {
            real += TICK;
            for (process, plan) in processes.iter_mut().zip(plans) {
                process.tick(real, &mut store, *plan);
            }
            let acting: Vec<_> = processes.iter().filter_map(|p| p.acts(real)).collect();
            if acting.len() > 1 {
                return Err(real);
            }
            acted.extend(acting);
        }
    }
    Ok(acted)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against two concurrent holders, and against a decreasing fencing token.
    #[test]
    fn at_most_one_process_may_act(
        first in any_speed(),
        second in any_speed(),
        events in prop::collection::vec(any_event(), 1..40),
    ) {
        let acted = simulate([first, second], &events);
        prop_assert!(acted.is_ok(), "two holders at {:?} ms", acted);
        prop_assert!(acted.unwrap().is_sorted());
    }
}

/// Guards against a lease that cannot be acquired after a crash, or that is acquired too early.
#[test]
fn a_dead_holder_is_followed_after_length_and_margin() {
    let mut store = FakeStore::default();
    let mut first = Process::new(1, 100);
    let mut second = Process::new(2, 100);
    for real in (0..1_000).step_by(100) {
        first.step(real, &mut store, CallOutcome::Done, 0);
    }
    let taken = (1_000..60_000).step_by(100).find(|real| {
        second.step(*real, &mut store, CallOutcome::Done, 0);
        second.acts(*real).is_some()
    });
    assert_eq!(taken, Some(13_000));
    assert_eq!(second.acts(13_000), Some(Fence(2)));
}

/// Guards against a holder that loses its lease because one answer was lost.
#[test]
fn a_renewal_with_a_lost_answer_is_read_back() {
    let mut store = FakeStore::default();
    let mut holder = Process::new(1, 100);
    holder.step(0, &mut store, CallOutcome::Done, 0);
    holder.step(0, &mut store, CallOutcome::Done, 0);
    assert_eq!(holder.acts(7_999), Some(Fence(1)));
    holder.step(3_000, &mut store, CallOutcome::AnswerLost, 0);
    holder.step(3_500, &mut store, CallOutcome::Done, 0);
    assert_eq!(holder.acts(10_999), Some(Fence(1)));
    assert_eq!(holder.acts(11_000), None);
}

/// Guards against a challenger that waits for the full lease length after a release.
#[test]
fn a_released_lease_is_free_at_once() {
    let mut store = FakeStore::default();
    let mut first = Process::new(1, 100);
    first.step(0, &mut store, CallOutcome::Done, 0);
    first.step(0, &mut store, CallOutcome::Done, 0);
    let Some(LeaseState::Held(lease)) = first.state.take() else {
        panic!("not held")
    };
    let (lapsed, w) = lease.release();
    write(&mut store, &w, CallOutcome::Done).unwrap();
    let mut second = Process::new(2, 100);
    second.step(100, &mut store, CallOutcome::Done, 0);
    second.step(200, &mut store, CallOutcome::Done, 0);
    assert_eq!(lapsed.fence(), Fence(1));
    assert_eq!(second.acts(200), Some(Fence(2)));
}

/// Guards against an expiry that is computed from the last renewal although the one that took
/// effect was sent earlier.
#[test]
fn a_late_renewal_counts_from_before_it_took_effect() {
    let mut store = FakeStore::default();
    let mut holder = Process::new(1, 100);
    holder.step(0, &mut store, CallOutcome::Done, 0);
    holder.step(0, &mut store, CallOutcome::Done, 0);
    holder.step(3_000, &mut store, CallOutcome::Late, 0);
    holder.step(3_100, &mut store, CallOutcome::Done, 0);
    store.arrive();
    holder.step(7_000, &mut store, CallOutcome::Done, 0);
    holder.step(7_100, &mut store, CallOutcome::Done, 0);
    assert_eq!(holder.acts(11_099), Some(Fence(1)));
    assert_eq!(holder.acts(11_100), None);
}

/// Guards against an expiry that is computed from the last acquisition although the one that took
/// effect was sent earlier.
#[test]
fn a_late_acquisition_counts_from_before_it_took_effect() {
    let mut store = FakeStore::default();
    let mut process = Process::new(1, 100);
    process.step(0, &mut store, CallOutcome::Done, 0);
    process.step(0, &mut store, CallOutcome::Late, 0);
    process.step(100, &mut store, CallOutcome::Done, 0);
    store.arrive();
    process.step(5_000, &mut store, CallOutcome::Done, 0);
    process.step(5_100, &mut store, CallOutcome::Done, 0);
    assert_eq!(process.acts(8_099), Some(Fence(1)));
    assert_eq!(process.acts(8_100), None);
}
