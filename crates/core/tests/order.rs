//! Target orders of two holders under lost answers, late calls, pauses and outages. The book of
//! the fake interface is the judge.
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
use sardinepath_core::decision::order::Pacer;
use sardinepath_core::decision::order::WAIT;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::order::TargetOrder;

use crate::support::FakeStore;
use crate::support::Fate;
use crate::support::order::Checks;
use crate::support::order::FakeInterface;
use crate::support::order::Lot;
use crate::support::order::Wish;
use crate::support::order::World;
use crate::support::order::opened;
use crate::support::order::step;
use crate::support::order::target;
use crate::support::order::wish;

const TICK: u64 = 100;

/// End of the first holder's permit and earliest acquisition by the second, the worst case that
/// the lease allows.
const CHANGE: u64 = 10_000;

/// A call without a failure, after late writes have taken effect.
const CALM: Lot = Lot {
    fate: Fate::Done,
    delay: 0,
    arrive: true,
};

/// Runs two tenures. Returns the book, and whether the second holder settled everything.
fn simulate(
    checks: Checks,
    first: &[(Lot, Wish)],
    second: &[(Lot, Wish)],
) -> (Vec<TargetOrder>, bool) {
    let (store, interface) = (FakeStore::default(), FakeInterface::new(checks));
    let mut world = World { store, interface };
    let mut old = opened(1, 0, WAIT.as_millis() as u64, &world).unwrap();
    let (mut new, mut paused) = (None, 0);
    let (mut moves, mut later) = (first.iter(), second.iter());
    let mut idle = false;
    let begin = CHANGE - first.len() as u64 * TICK;
    for now in (begin..CHANGE + 120_000).step_by(TICK as usize) {
        world.interface.arrive(now);
        // The first holder's process goes on after its permit has ended.
        if now >= paused {
            let (lot, want) = moves.next().copied().unwrap_or((CALM, None));
            let sent = world.interface.pending.len();
            wish(&mut old, now, want);
            step(&mut old, &mut world, now, CHANGE, lot);
            // A call delayed beyond the time in flight comes from a paused process.
            if world.interface.pending.len() > sent && lot.delay > 3_000 {
                paused = now + lot.delay;
            }
        }
        if now < CHANGE {
            continue;
        }
        let Some(dispatcher) = &mut new else {
            new = opened(2, CHANGE, now, &world);
            continue;
        };
        let (lot, want) = later.next().copied().unwrap_or((CALM, None));
        if lot.arrive {
            world.store.arrive();
        }
        wish(dispatcher, now, want);
        idle = step(dispatcher, &mut world, now, u64::MAX, lot);
    }
    (world.interface.book, idle)
}

fn any_lot(longest: u64) -> impl Strategy<Value = Lot> {
    let fate = prop_oneof![
        4 => Just(Fate::Done),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::CallLost),
        2 => Just(Fate::Late),
        1 => Just(Fate::Down),
    ];
    (fate, 0..=longest, any::<bool>()).prop_map(|(fate, delay, arrive)| Lot {
        fate,
        delay,
        arrive,
    })
}

fn moves(longest: u64) -> impl Strategy<Value = Vec<(Lot, Wish)>> {
    let want = prop::option::of((0..2usize, any::<bool>()));
    prop::collection::vec((any_lot(longest), want), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(700))]

    /// Guards against an order of a former holder after the first one of a newer holder, against
    /// an order that takes effect twice, and against an open intent that is never settled. Where
    /// ids alone protect, calls of the first holder delayed beyond the wait are judged for each
    /// target, which is what the module promises.
    #[test]
    fn orders_keep_the_order_of_their_holders(
        (checks, first) in prop_oneof![
            (Just(Checks::Fences), moves(60_000)),
            (Just(Checks::AllIds), moves(60_000)),
            (Just(Checks::AllIds), moves(WAIT.as_millis() as u64)),
            (Just(Checks::LastIds), moves(WAIT.as_millis() as u64)),
        ],
        second in moves(3_000),
    ) {
        let (book, idle) = simulate(checks, &first, &second);
        let beyond = first.iter().any(|(lot, _)| lot.delay > WAIT.as_millis() as u64);
        if checks == Checks::Fences || !beyond {
            prop_assert!(book.iter().map(|o| o.fence).is_sorted(), "{checks:?}: {book:?}");
        }
        for index in 0..2 {
            let same = book.iter().filter(|o| o.target == target(index));
            prop_assert!(same.map(|o| o.fence).is_sorted(), "{checks:?}: {book:?}");
        }
        let mut ids: Vec<_> = book.iter().map(|o| o.intent.clone()).collect();
        let all = ids.len();
        ids.sort();
        ids.dedup();
        prop_assert_eq!(ids.len(), all, "repeated order");
        prop_assert!(idle, "an intent stayed open");
    }
}

/// Guards against a claim that the wait alone covers every pause: this is the remaining window.
#[test]
fn the_remaining_window_is_a_delay_beyond_the_wait() {
    let late = |delay| Lot {
        fate: Fate::Late,
        delay,
        arrive: false,
    };
    let calm = Lot {
        fate: Fate::Done,
        delay: 0,
        arrive: false,
    };
    let first = |delay| [(calm, Some((0, true))), (late(delay), None)];
    let second: Vec<_> = (0..30).map(|_| (calm, Some((0, false)))).collect();
    let sorted = |(book, _): (Vec<TargetOrder>, bool)| book.iter().map(|o| o.fence).is_sorted();
    assert!(sorted(simulate(Checks::LastIds, &first(14_900), &second)));
    assert!(!sorted(simulate(Checks::LastIds, &first(30_000), &second)));
    assert!(sorted(simulate(Checks::AllIds, &first(30_000), &second)));
    assert!(sorted(simulate(Checks::Fences, &first(30_000), &second)));
}

/// Guards against a burst when the platform returns.
#[test]
fn orders_are_spread_after_an_outage() {
    let mut pacer = Pacer::new(Duration::from_millis(100));
    pacer.resume(Time(1_000), 0.5);
    assert_eq!(pacer.take(Time(1_000)), Err(Time(3_500)));
    assert_eq!(pacer.take(Time(3_500)), Ok(()));
    assert_eq!(pacer.take(Time(3_550)), Err(Time(3_600)));
}
