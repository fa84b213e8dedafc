//! Simulates sample groups under two runners, lost answers, late writes, version changes and
//! trainer restarts. Checks the groups that the trainer received.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time::Duration;

use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use sardinepath_core::decision::sample::Group;
use sardinepath_core::decision::sample::GroupState;
use sardinepath_core::decision::sample::Plan;
use sardinepath_core::decision::sample::PlanStep;
use sardinepath_core::decision::sample::RecordError;
use sardinepath_core::decision::sample::Recording;
use sardinepath_core::decision::sample::Run;
use sardinepath_core::decision::sample::StalenessLimit;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::time::Time;

use crate::support::CallOutcome;
use crate::support::sample::BOUND;
use crate::support::sample::GROUPS;
use crate::support::sample::Runner;
use crate::support::sample::Simulation;
use crate::support::sample::id;
use crate::support::sample::run;
use crate::support::sample::samples;

#[derive(Clone, Debug)]
enum Event {
    Run {
        runner: usize,
        group: u32,
        outcome: CallOutcome,
    },
    RunnerRestart(usize),
    Deliver(CallOutcome),
    Answer {
        lost: bool,
    },
    NewVersion,
    Lag(u64),
    /// The trainer restarts from a checkpoint and loses the groups that it received since.
    TrainerRestart,
    Arrive,
}

fn any_event() -> impl Strategy<Value = Event> {
    let outcome = || {
        prop_oneof![
            3 => Just(CallOutcome::Done),
            1 => Just(CallOutcome::AnswerLost),
            1 => Just(CallOutcome::CallLost),
            1 => Just(CallOutcome::Late),
            1 => Just(CallOutcome::Down),
        ]
    };
    prop_oneof![
        10 => (0..2usize, 0..GROUPS, outcome())
            .prop_map(|(runner, group, outcome)| Event::Run { runner, group, outcome }),
        1 => (0..2usize).prop_map(Event::RunnerRestart),
        3 => outcome().prop_map(Event::Deliver),
        3 => any::<bool>().prop_map(|lost| Event::Answer { lost }),
        1 => Just(Event::NewVersion),
        1 => (0..3u64).prop_map(Event::Lag),
        1 => Just(Event::TrainerRestart),
        2 => Just(Event::Arrive),
    ]
}

fn idle() -> [[Runner; 2]; 2] {
    [[Runner::Idle, Runner::Idle], [Runner::Idle, Runner::Idle]]
}

fn simulate(events: &[Event]) -> Simulation {
    let mut sim = Simulation {
        trainer: 5,
        ..Simulation::default()
    };
    let mut runners = idle();
    for event in events {
        match *event {
            Event::Run {
                runner,
                group,
                outcome,
            } => {
                let slot = &mut runners[runner][group as usize];
                *slot = run(
                    std::mem::replace(slot, Runner::Idle),
                    group,
                    &mut sim,
                    outcome,
                );
            }
            Event::RunnerRestart(runner) => runners[runner] = [Runner::Idle, Runner::Idle],
            Event::Deliver(outcome) => sim.deliver(outcome),
            Event::Answer { lost: true } => drop(sim.reply()),
            Event::Answer { lost: false } => {
                let reply = sim.reply();
                sim.receive(reply);
            }
            Event::NewVersion => sim.trainer += 1,
            Event::Lag(lag) => sim.lag = lag,
            Event::TrainerRestart => {
                sim.cursor = Revision(0);
                sim.received.clear();
                sim.withheld.clear();
            }
            Event::Arrive => sim.store.arrive(),
        }
    }
    finish(&mut sim, &mut runners[0]);
    sim
}

/// Runs one runner and the trainer to completion without failures.
fn finish(sim: &mut Simulation, runners: &mut [Runner; 2]) {
    sim.store.arrive();
    sim.lag = 0;
    for _ in 0..8 {
        for (index, slot) in runners.iter_mut().enumerate() {
            let old = std::mem::replace(slot, Runner::Idle);
            *slot = run(old, index as u32, sim, CallOutcome::Done);
        }
        sim.deliver(CallOutcome::Done);
    }
    let reply = sim.reply();
    sim.receive(reply);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against a group that the trainer receives twice, never, beyond the staleness bound or
    /// with wrong versions.
    #[test]
    fn each_group_reaches_its_trainer_once_and_fresh(
        events in prop::collection::vec(any_event(), 1..80),
    ) {
        let sim = simulate(&events);
        prop_assert!(sim.fault.is_none(), "{:?}", sim.fault);
        prop_assert_eq!(sim.received.len() + sim.withheld.len(), GROUPS as usize);
    }
}

/// Guards against groups with a missing or duplicate member, or with a sample without a version.
#[test]
fn an_incomplete_or_unlabelled_group_is_refused() {
    let generated = |samples| Group::first(id(0), 2).generated(samples).map(drop);
    let mut unlabelled = samples(5);
    unlabelled[0].versions.clear();
    let mut duplicate = samples(5);
    duplicate[0].index = 0;
    assert_eq!(generated(samples(5)), Ok(()));
    assert_eq!(generated(unlabelled), Err(RecordError::Unlabelled));
    assert_eq!(generated(duplicate), Err(RecordError::Incomplete));
    assert_eq!(
        generated(samples(5)[..1].to_vec()),
        Err(RecordError::Incomplete)
    );
}

/// Guards against a bound that is applied to the newest version of a sample, and against starting a
/// sample that will be stale when it completes.
#[test]
fn freshness_counts_the_lowest_version_and_the_running_time() {
    let limit = StalenessLimit {
        trainer: WeightVersion(9),
        bound: 2,
    };
    let minutes = |n: u64| Duration::from_secs(n * 60);
    assert!(limit.allows(&[WeightVersion(7), WeightVersion(9)]));
    assert!(!limit.allows(&[WeightVersion(9), WeightVersion(6)]));
    assert!(!limit.allows(&[]));
    assert!(limit.allows_start(WeightVersion(9), minutes(6), minutes(3)));
    assert!(!limit.allows_start(WeightVersion(9), minutes(7), minutes(3)));
}

/// Guards against a step that starts its longest members last, or that waits for one straggler.
#[test]
fn a_plan_starts_the_longest_first_and_sends_stragglers_again() {
    let limit = Duration::from_secs(10);
    let lengths = [((0, 0), 10), ((1, 0), 30), ((2, 0), 20)];
    let mut plan = Plan::new(lengths, 2, 1, limit);
    assert_eq!(plan.next(Time(0)), PlanStep::Start((1, 0), Run(1)));
    assert_eq!(plan.next(Time(0)), PlanStep::Start((2, 0), Run(2)));
    assert_eq!(plan.next(Time(0)), PlanStep::Wait(Time(10_000)));
    assert!(plan.answered((2, 0), Run(2)));
    assert_eq!(plan.next(Time(5_000)), PlanStep::Start((0, 0), Run(3)));
    assert!(plan.answered((0, 0), Run(3)));
    // A free slot is used for one duplicate run of the straggler.
    assert_eq!(plan.next(Time(6_000)), PlanStep::Start((1, 0), Run(4)));
    assert_eq!(plan.next(Time(10_000)), PlanStep::Cancel((1, 0), Run(1)));
    assert_eq!(plan.next(Time(10_000)), PlanStep::Wait(Time(16_000)));
    plan.failed((1, 0), Run(4));
    assert_eq!(plan.next(Time(11_000)), PlanStep::Start((1, 0), Run(5)));
    assert!(plan.answered((1, 0), Run(5)));
    assert!(!plan.answered((1, 0), Run(4)));
    assert_eq!(plan.next(Time(12_000)), PlanStep::Complete);
}

/// Guards against a group that is recorded although it is stale, that is withheld forever instead
/// of generated again, or whose next round cannot be distinguished from the previous one.
#[test]
fn a_stale_group_is_refused_at_recording_and_expired_at_the_poll() {
    let limit = |trainer| StalenessLimit {
        trainer: WeightVersion(trainer),
        bound: BOUND,
    };
    let generated = Group::first(id(0), 2).generated(samples(5)).unwrap();
    assert_eq!(generated.record(limit(7)), Err(RecordError::Stale));
    let recorded = generated.record(limit(6)).unwrap().record;
    let expired = Group::recorded(id(0), Revision(3), recorded)
        .deliver(limit(7))
        .record;
    assert_eq!((expired.state, expired.round), (GroupState::Expired, 0));
    let next = Group::next_round(id(0), 2, Revision(4), &expired)
        .generated(samples(7))
        .unwrap();
    assert_eq!(next.record(limit(7)).unwrap().record.round, 1);
    let found = next.read(Ok(Some((Revision(4), expired))));
    assert!(matches!(found, Recording::Retry(_)));
}
