//! Target orders of two holders under lost answers, late calls, pauses and outages. The book of
//! the fake interface is the judge.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
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
use sardinepath_core::decision::order::Active;
use sardinepath_core::decision::order::Desk;
use sardinepath_core::decision::order::IntentRecord;
use sardinepath_core::decision::order::IntentWrite;
use sardinepath_core::decision::order::Opening;
use sardinepath_core::decision::order::OrderStep;
use sardinepath_core::decision::order::Pacer;
use sardinepath_core::decision::order::WAIT;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::order::OrderAction;
use sardinepath_core::port::order::OrderError;
use sardinepath_core::port::order::TargetOrder;
use sardinepath_core::port::order::TargetState;

use crate::support::FakeStore;
use crate::support::Fate;

const TICK: u64 = 100;

/// End of the first holder's permit and earliest acquisition by the second, the worst case that
/// the lease allows.
const CHANGE: u64 = 10_000;

/// What the interface checks.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Checks {
    Fences,
    AllIds,
    LastIds,
}

/// An interface that keeps a book of the orders that took effect.
#[derive(Debug)]
struct FakeInterface {
    checks: Checks,
    book: Vec<TargetOrder>,
    pending: Vec<(u64, TargetOrder)>,
}

impl FakeInterface {
    fn new(checks: Checks) -> Self {
        Self {
            checks,
            book: vec![],
            pending: vec![],
        }
    }

    fn accept(&mut self, order: &TargetOrder) -> Result<(), OrderError> {
        let newest = self.book.iter().map(|o| o.fence).max().unwrap_or_default();
        if self.checks == Checks::Fences && order.fence < newest {
            return Err(OrderError::Fenced);
        }
        let mut same = self.book.iter().rev().filter(|o| o.target == order.target);
        let repeated = match self.checks {
            Checks::LastIds => same.next().is_some_and(|o| o.intent == order.intent),
            _ => same.any(|o| o.intent == order.intent),
        };
        if !repeated {
            self.book.push(order.clone());
        }
        Ok(())
    }

    fn send(&mut self, order: &TargetOrder, lot: Lot, now: u64) -> Result<(), OrderError> {
        match lot.fate {
            Fate::Done => return self.accept(order),
            Fate::AnswerLost => drop(self.accept(order)),
            Fate::CallLost => {}
            Fate::Late => self.pending.push((now + lot.delay, order.clone())),
            Fate::Down => return Err(OrderError::Unavailable("outage".into())),
        }
        Err(OrderError::Unknown("no answer".into()))
    }

    fn arrive(&mut self, now: u64) {
        let (due, rest) = self.pending.drain(..).partition(|p| p.0 <= now);
        self.pending = rest;
        let due: Vec<(u64, TargetOrder)> = due;
        due.iter().for_each(|(_, order)| drop(self.accept(order)));
    }

    fn states(&self) -> Vec<TargetState> {
        let last: BTreeMap<_, _> = self.book.iter().map(|o| (o.target.clone(), o)).collect();
        let state = |o: &TargetOrder| TargetState {
            target: o.target.clone(),
            started: o.action == OrderAction::Start,
            intent: o.intent.clone(),
        };
        last.into_values().map(state).collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct Lot {
    fate: Fate,
    /// Milliseconds until a late order arrives.
    delay: u64,
    /// Lets late writes of the object store take effect first.
    arrive: bool,
}

/// An order that the holder wants, if the target has no open intent at that moment.
type Wish = Option<(usize, bool)>;

struct World {
    store: FakeStore,
    interface: FakeInterface,
}

fn target(index: usize) -> TargetName {
    TargetName::from(["e1", "e2"][index])
}

fn wish(desk: &mut Desk<Active>, now: u64, wish: Wish) {
    if let Some((index, start)) = wish {
        let action = if start {
            OrderAction::Start
        } else {
            OrderAction::Stop
        };
        // A busy target is ordered again by a later wish.
        let _ = desk.order(Time(now), target(index), action);
    }
}

fn write(world: &mut World, w: &IntentWrite, fate: Fate) -> Result<Revision, ObjectError> {
    world.store.put(&w.path, &w.record, w.expect, fate)
}

/// Takes one step of a holder whose permit ends at `until`.
fn step(desk: &mut Desk<Active>, world: &mut World, now: u64, until: u64, lot: Lot) -> bool {
    let time = Time(now);
    match desk.next(time) {
        OrderStep::Record(w) | OrderStep::Settle(w) => {
            let answer = write(world, &w, lot.fate);
            desk.recorded(time, &w.record.target, &answer);
        }
        OrderStep::ReadBack(target, path) => {
            let found = world.store.get::<IntentRecord>(&path);
            desk.read(time, &target, Ok(found));
        }
        OrderStep::Send(order) => {
            let answer = match now < until {
                true => world.interface.send(&order, lot, now),
                false => Err(OrderError::Unavailable("the permit has ended".into())),
            };
            desk.sent(time, &order.target, &answer);
        }
        OrderStep::AskStates(_) if lot.fate == Fate::Down => desk.states_failed(time),
        OrderStep::AskStates(_) => desk.states(time, &world.interface.states()),
        OrderStep::Idle => return true,
        OrderStep::Wait(_) | OrderStep::Stop => {}
    }
    false
}

fn opened(fence: u64, acquired: u64, now: u64, world: &World) -> Option<Desk<Active>> {
    let centre = CentreName::from("cx1");
    let desk = Desk::take_over(centre, Fence(fence), Time(acquired));
    let Opening::Resolving(desk) = desk.open(Time(now)) else {
        return None;
    };
    let intents = world.store.list("intents/cx1/");
    let pacer = Pacer::new(Duration::from_millis(100));
    Some(desk.resolve(Time(now), intents, &world.interface.states(), pacer))
}

/// Runs two tenures. Returns the book, and whether the second holder settled everything.
fn simulate(
    checks: Checks,
    first: &[(Lot, Wish)],
    second: &[(Lot, Wish)],
) -> (Vec<TargetOrder>, bool) {
    let store = FakeStore::default();
    let mut world = World {
        store,
        interface: FakeInterface::new(checks),
    };
    let mut old = opened(1, 0, WAIT.as_millis() as u64, &world).unwrap();
    let (mut new, mut paused) = (None, 0);
    let (mut moves, mut later) = (first.iter(), second.iter());
    let (mut idle, calm) = (
        false,
        Lot {
            fate: Fate::Done,
            delay: 0,
            arrive: true,
        },
    );
    let begin = CHANGE - first.len() as u64 * TICK;
    for now in (begin..CHANGE + 120_000).step_by(TICK as usize) {
        world.interface.arrive(now);
        // The first holder's process goes on after its permit has ended.
        if now >= paused {
            let (lot, want) = moves.next().copied().unwrap_or((calm, None));
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
        let Some(desk) = &mut new else {
            new = opened(2, CHANGE, now, &world);
            continue;
        };
        let (lot, want) = later.next().copied().unwrap_or((calm, None));
        if lot.arrive {
            world.store.arrive();
        }
        wish(desk, now, want);
        idle = step(desk, &mut world, now, u64::MAX, lot);
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
