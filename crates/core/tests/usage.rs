//! Simulates usage reports under crashes, lost answers, outages, two holders and clock jumps.
//! Checks the reports that the fake interface accepted. Direct reporting is the baseline and runs
//! under the same failures.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time::Duration;

use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use sardinepath_core::decision::usage::Counters;
use sardinepath_core::decision::usage::Tally;
use sardinepath_core::decision::usage::WindowClock;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::time::Time;
use sardinepath_core::domain::time::WallTime;

use crate::support::CallOutcome;
use crate::support::reporters::Direct;
use crate::support::reporters::Outbox;
use crate::support::reporters::Reporter;
use crate::support::usage::Simulation;
use crate::support::usage::workspace;

/// Number of random event lists in the comparison.
const EVENT_LISTS: u32 = 300;

#[derive(Clone, Debug)]
enum Event {
    /// An agent completes an answer, and an entry receives its counter.
    Answer {
        agent: usize,
        entry: usize,
        tokens: u64,
    },
    AgentRestart(usize),
    EntryRestart(usize),
    /// One reporter makes one call. `reach` tells which entries and agents it reaches.
    Step {
        reporter: usize,
        outcome: CallOutcome,
        reach: [bool; 4],
    },
    /// One reporter's process is replaced.
    TakeOver(usize),
    Pass {
        seconds: u64,
    },
    Jump {
        seconds: i64,
    },
    Arrive,
}

fn any_event() -> impl Strategy<Value = Event> {
    let outcome = prop_oneof![
        5 => Just(CallOutcome::Done),
        1 => Just(CallOutcome::AnswerLost),
        1 => Just(CallOutcome::CallLost),
        1 => Just(CallOutcome::Late),
        1 => Just(CallOutcome::Down),
    ];
    prop_oneof![
        6 => (0..2usize, 0..2usize, 1..100u64)
            .prop_map(|(agent, entry, tokens)| Event::Answer { agent, entry, tokens }),
        1 => (0..2usize).prop_map(Event::AgentRestart),
        1 => (0..2usize).prop_map(Event::EntryRestart),
        24 => (prop_oneof![3 => Just(0usize), 1 => Just(1)], outcome, any::<[bool; 4]>())
            .prop_map(|(reporter, outcome, reach)| Event::Step { reporter, outcome, reach }),
        1 => (0..2usize).prop_map(Event::TakeOver),
        6 => (10..90u64).prop_map(|seconds| Event::Pass { seconds }),
        1 => (-200..200i64).prop_map(|seconds| Event::Jump { seconds }),
        2 => Just(Event::Arrive),
    ]
}

fn any_events() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(any_event(), 1..250)
}

/// Runs the events with two reporters, then runs the first one to completion without failures.
fn simulate<R: Reporter>(events: &[Event]) -> Simulation {
    let mut sim = Simulation::default();
    let mut reporters = [R::start(), R::start()];
    for event in events {
        match *event {
            Event::Answer {
                agent,
                entry,
                tokens,
            } => sim.answer(agent, entry, tokens),
            Event::AgentRestart(agent) => sim.restart_agent(agent),
            Event::EntryRestart(entry) => sim.restart_entry(entry),
            Event::Step {
                reporter,
                outcome,
                reach,
            } => reporters[reporter].step(&mut sim, outcome, reach),
            Event::TakeOver(reporter) => reporters[reporter] = R::start(),
            Event::Pass { seconds } => sim.wall += seconds,
            Event::Jump { seconds } => sim.wall = sim.wall.saturating_add_signed(seconds),
            Event::Arrive => sim.store.arrive(),
        }
    }
    sim.store.arrive();
    for _ in 0..400 {
        sim.wall += 20;
        reporters[0].step(&mut sim, CallOutcome::Done, [true; 4]);
    }
    sim
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Guards against tokens that are lost or billed twice, and against a window that is reported
    /// with two token counts.
    #[test]
    fn frozen_windows_bill_every_token_once(events in any_events()) {
        let sim = simulate::<Outbox>(&events);
        prop_assert_eq!(sim.contradictions, 0);
        prop_assert_eq!(sim.billed(), sim.truth);
    }
}

/// Compares frozen windows with direct reports under the same random event lists, and counts the
/// runs with wrong bills. Run with `--nocapture` to print the counts.
#[test]
fn direct_reporting_is_wrong_where_frozen_windows_are_exact() {
    let mut runner = TestRunner::deterministic();
    let (mut outbox, mut direct) = (BillingErrors::default(), BillingErrors::default());
    for _ in 0..EVENT_LISTS {
        let events = any_events().new_tree(&mut runner).unwrap().current();
        outbox.add(&simulate::<Outbox>(&events));
        direct.add(&simulate::<Direct>(&events));
    }
    println!("frozen windows: {outbox:?}");
    println!("direct reports: {direct:?}");
    assert_eq!(outbox.contradicted + outbox.under + outbox.over, 0);
    assert!(direct.contradicted > 0 && direct.over > 0);
}

/// Number of runs with each kind of fault, and of the tokens affected.
#[derive(Debug, Default)]
struct BillingErrors {
    truth: u64,
    contradicted: u64,
    under: u64,
    over: u64,
    lost: u64,
    doubled: u64,
}

impl BillingErrors {
    fn add(&mut self, sim: &Simulation) {
        let (truth, billed) = (sim.truth, sim.billed());
        self.truth += truth;
        self.contradicted += u64::from(sim.contradictions > 0);
        self.under += u64::from(billed < truth);
        self.over += u64::from(billed > truth);
        self.lost += truth.saturating_sub(billed);
        self.doubled += billed.saturating_sub(truth);
    }
}

/// Guards against windows that are closed because of a short jump of the wall clock.
#[test]
fn a_jump_is_adopted_only_after_it_has_lasted() {
    let mut clock = WindowClock::new(Time(0), WallTime(1_000_000));
    assert_eq!(
        clock.read(Time(1_000), WallTime(1_001_500)),
        WallTime(1_001_500)
    );
    assert_eq!(
        clock.read(Time(2_000), WallTime(9_002_500)),
        WallTime(1_002_500)
    );
    assert_eq!(
        clock.read(Time(3_000), WallTime(1_003_500)),
        WallTime(1_003_500)
    );
    assert_eq!(
        clock.read(Time(4_000), WallTime(504_500)),
        WallTime(1_004_500)
    );
    assert_eq!(
        clock.read(Time(300_000), WallTime(800_500)),
        WallTime(1_300_500)
    );
    assert_eq!(
        clock.read(Time(604_000), WallTime(1_104_500)),
        WallTime(1_104_500)
    );
    assert_eq!(WallTime(7_200_000).window(Duration::from_secs(3_600)), 2);
}

/// Guards against a counter that is billed again when an entry reconnects with an old copy.
#[test]
fn an_old_copy_that_returns_is_not_billed_again() {
    let mut sim = Simulation::default();
    let mut reporter = Outbox::start();
    let mut close = |sim: &mut Simulation, reach| {
        sim.wall += 120;
        (0..20).for_each(|_| reporter.step(sim, CallOutcome::Done, reach));
    };
    close(&mut sim, [true; 4]);
    sim.answer(0, 0, 50);
    close(&mut sim, [false, false, true, true]);
    sim.restart_agent(0);
    close(&mut sim, [false, false, true, true]);
    close(&mut sim, [true; 4]);
    assert_eq!((sim.billed(), sim.truth), (50, 50));
}

/// Guards against a window that is lost because the object API is unavailable when it ends.
#[test]
fn a_window_that_ends_in_an_outage_is_closed_after_it() {
    let mut sim = Simulation::default();
    let mut reporter = Outbox::start();
    (0..4).for_each(|_| reporter.step(&mut sim, CallOutcome::Done, [true; 4]));
    sim.answer(0, 0, 50);
    sim.wall += 190;
    (0..20).for_each(|_| reporter.step(&mut sim, CallOutcome::Down, [true; 4]));
    assert_eq!(sim.billed(), 0);
    sim.answer(1, 1, 7);
    (0..20).for_each(|_| reporter.step(&mut sim, CallOutcome::Done, [true; 4]));
    assert_eq!((sim.billed(), sim.reports()), (57, 2));
}

/// Guards against an incorrect baseline: without failures, both kinds of reports must be exact.
#[test]
fn both_ways_are_exact_without_failures() {
    let step = Event::Step {
        reporter: 0,
        outcome: CallOutcome::Done,
        reach: [true; 4],
    };
    let answer = Event::Answer {
        agent: 0,
        entry: 1,
        tokens: 9,
    };
    let round = [
        answer,
        Event::Pass { seconds: 30 },
        step.clone(),
        step.clone(),
        step,
    ];
    let events: Vec<_> = (0..50).flat_map(|_| round.clone()).collect();
    let (outbox, direct) = (simulate::<Outbox>(&events), simulate::<Direct>(&events));
    assert_eq!((outbox.billed(), outbox.contradictions), (450, 0));
    assert_eq!((direct.billed(), direct.contradictions), (450, 0));
}

/// Guards against a counter that decreases when an outdated copy arrives.
#[test]
fn a_late_copy_does_not_lower_a_counter() {
    let mut tally = Tally::default();
    for tokens in [5, 9, 7] {
        let incarnation = Incarnation(1);
        let workspace = workspace();
        tally.merge(&Counter {
            incarnation,
            workspace,
            tokens,
        });
    }
    let counters = tally.counters(&workspace());
    assert_eq!(counters, Counters::from([(Incarnation(1), 9)]));
}
