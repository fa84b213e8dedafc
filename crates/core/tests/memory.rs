//! Budget of the bytes that a process holds for its callers.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use sardinepath_core::decision::memory::Grant;
use sardinepath_core::decision::memory::HoldingKey;
use sardinepath_core::decision::memory::MAX_WAIT;
use sardinepath_core::decision::memory::MemoryBudget;
use sardinepath_core::decision::memory::MemoryLimits;
use sardinepath_core::decision::memory::Owner;
use sardinepath_core::decision::memory::SMALL_BYTES;
use sardinepath_core::decision::memory::STALL_TIME;
use sardinepath_core::decision::memory::max_connections;
use sardinepath_core::domain::name::WorkspaceName;
use sardinepath_core::domain::time::Time;

const MEGABYTE: usize = 1 << 20;

/// Size of a body of the crowd.
const LARGE: usize = MEGABYTE;

fn limits() -> MemoryLimits {
    MemoryLimits::for_host(48 * MEGABYTE)
}

fn owner(name: &str) -> Owner {
    Owner::Workspace(WorkspaceName::from(name))
}

fn at(time: Duration) -> Time {
    Time::default() + time
}

/// Returns a budget that is filled by bodies of two owners, none of which is complete.
fn filled() -> (MemoryBudget, Vec<HoldingKey>) {
    let mut budget = MemoryBudget::new(limits());
    let mut keys = Vec::new();
    for name in ["crowd", "second"] {
        loop {
            let key = budget.arrive(at(Duration::ZERO), owner(name));
            if budget.grow(at(Duration::ZERO), key, LARGE) != Grant::Admit {
                budget.release(key);
                break;
            }
            keys.push(key);
        }
    }
    (budget, keys)
}

/// Guards against an owner that takes all the room of large bodies.
#[test]
fn one_owner_leaves_room_to_others() {
    let mut budget = MemoryBudget::new(limits());
    let key = budget.arrive(at(Duration::ZERO), owner("crowd"));
    budget.grow(at(Duration::ZERO), key, limits().largest());

    let key = budget.arrive(at(Duration::ZERO), owner("other"));
    let grant = budget.grow(at(Duration::ZERO), key, LARGE);

    assert_eq!(grant, Grant::Admit);
}

/// Guards against a crowd that locks small bodies of others out.
#[test]
fn a_small_body_finds_room_beside_a_crowd() {
    let (mut budget, _) = filled();

    let key = budget.arrive(at(Duration::ZERO), owner("other"));
    let grant = budget.grow(at(Duration::ZERO), key, SMALL_BYTES);

    assert_eq!(grant, Grant::Admit);
}

/// Guards against a crowd of small bodies that locks small bodies of others out.
#[test]
fn a_small_body_finds_room_beside_a_crowd_of_small_ones() {
    let mut budget = MemoryBudget::new(limits());
    for _ in 0..1_000 {
        let key = budget.arrive(at(Duration::ZERO), owner("crowd"));
        budget.grow(at(Duration::ZERO), key, SMALL_BYTES);
        budget.complete(key);
    }

    let key = budget.arrive(at(Duration::ZERO), owner("other"));
    let grant = budget.grow(at(Duration::ZERO), key, SMALL_BYTES);

    assert_eq!(grant, Grant::Admit);
}

/// Guards against a crowd that stalls and keeps the room for good.
#[test]
fn the_body_that_has_stalled_for_longest_is_shed() {
    let (mut budget, keys) = filled();
    let key = budget.arrive(at(STALL_TIME), owner("other"));

    let grant = budget.grow(at(STALL_TIME), key, LARGE);

    let Grant::Shed(victim) = grant else {
        panic!("{grant:?}")
    };
    assert!(keys.contains(&victim));
    budget.release(victim);
    assert_eq!(budget.grow(at(STALL_TIME), key, LARGE), Grant::Admit);
}

/// Guards against shedding the bodies of clients that send.
#[test]
fn a_body_that_makes_progress_is_not_shed() {
    let (mut budget, _) = filled();
    let early = at(STALL_TIME / 2);
    let key = budget.arrive(early, owner("other"));

    let grant = budget.grow(early, key, LARGE);

    assert_eq!(grant, Grant::Wait);
}

/// Guards against clients that keep their room by a byte now and then.
#[test]
fn a_byte_now_and_then_is_no_progress() {
    let mut budget = MemoryBudget::new(limits());
    let slow = budget.arrive(at(Duration::ZERO), owner("crowd"));
    let room = limits().largest();
    assert_eq!(
        budget.grow(at(Duration::ZERO), slow, room - 64),
        Grant::Admit
    );
    let second = budget.arrive(at(Duration::ZERO), owner("second"));
    budget.grow(at(Duration::ZERO), second, LARGE);
    budget.complete(second);
    for step in 1..=10 {
        budget.grow(at(STALL_TIME * step / 20), slow, 1);
        budget.arrived(at(STALL_TIME * step / 20), slow, step as usize);
    }

    let key = budget.arrive(at(STALL_TIME), owner("other"));
    let grant = budget.grow(at(STALL_TIME), key, LARGE);

    assert_eq!(grant, Grant::Shed(slow));
}

/// Guards against bodies that wait for each other without an end.
#[test]
fn a_body_that_finds_no_room_is_refused() {
    let (mut budget, keys) = filled();
    for key in keys {
        budget.complete(key);
    }
    let key = budget.arrive(at(Duration::ZERO), owner("other"));

    assert_eq!(budget.grow(at(Duration::ZERO), key, LARGE), Grant::Wait);
    assert_eq!(budget.grow(at(MAX_WAIT), key, LARGE), Grant::Refuse);
}

/// Guards against a body that is held on after its task was told to give it up.
#[test]
fn a_shed_body_does_not_grow() {
    let (mut budget, _) = filled();
    let key = budget.arrive(at(STALL_TIME), owner("other"));
    let Grant::Shed(victim) = budget.grow(at(STALL_TIME), key, LARGE) else {
        panic!("nothing is shed")
    };

    let grant = budget.grow(at(STALL_TIME), victim, 1);

    assert_eq!(grant, Grant::Refuse);
}

/// Guards against a body of a legal size that no host can hold: the smallest host of the deployments
/// has 120 MB, and the largest body 32 MB.
#[test]
fn the_largest_body_fits_on_the_smallest_host() {
    let smallest = MemoryLimits::for_host(120 * MEGABYTE);

    assert!(smallest.fits(32 * MEGABYTE), "{smallest:?}");
}

/// Guards against a host that is smaller than what a process needs at rest.
#[test]
fn a_host_without_memory_has_room_for_nothing() {
    let limits = MemoryLimits::for_host(MEGABYTE);

    assert_eq!(limits.bodies, 0);
    assert!(!limits.fits(1));
    assert_eq!(max_connections(MEGABYTE, 100), 1);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(u8),
    Arrived(usize, usize),
    Grow(usize, usize),
    Complete(usize),
    Release(usize),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => (0..4_u8).prop_map(Step::Arrive),
        6 => (0..64_usize, 1..4 * MEGABYTE).prop_map(|(index, bytes)| Step::Grow(index, bytes)),
        2 => (0..64_usize, 1..MEGABYTE).prop_map(|(index, bytes)| Step::Arrived(index, bytes)),
        1 => (0..64_usize).prop_map(Step::Complete),
        1 => (0..64_usize).prop_map(Step::Release),
        2 => (1..3_000_u64).prop_map(Step::Pass),
    ];
    vec(step, 1..200)
}

/// Plays steps and returns the budget, the keys that are held and the time.
fn play(steps: &[Step]) -> (MemoryBudget, Vec<HoldingKey>, Time) {
    let mut budget = MemoryBudget::new(limits());
    let mut keys: Vec<HoldingKey> = Vec::new();
    let mut now = at(Duration::ZERO);
    for step in steps {
        let pick = |index: usize| keys.get(index % keys.len().max(1)).copied();
        match *step {
            Step::Arrive(name) => keys.push(budget.arrive(now, owner(&name.to_string()))),
            Step::Grow(index, bytes) => {
                let grant = pick(index).map(|key| budget.grow(now, key, bytes));
                if let Some(Grant::Shed(victim)) = grant {
                    budget.release(victim);
                    keys.retain(|key| *key != victim);
                }
            }
            Step::Arrived(index, total) => {
                _ = pick(index).map(|key| budget.arrived(now, key, total));
            }
            Step::Complete(index) => _ = pick(index).map(|key| budget.complete(key)),
            Step::Release(index) => {
                if let Some(key) = pick(index) {
                    budget.release(key);
                    keys.retain(|held| *held != key);
                }
            }
            Step::Pass(millis) => now = now + Duration::from_millis(millis),
        }
        assert!(budget.used() <= limits().bodies, "the budget is exceeded");
    }
    (budget, keys, now)
}

proptest! {
    /// Guards against a sum above the budget, and an owner above its share.
    #[test]
    fn the_sum_stays_within_the_budget(steps in steps()) {
        let (budget, _, _) = play(&steps);

        let small = limits().reserve / 2;
        for name in 0..4_u8 {
            let used = budget.used_by(&owner(&name.to_string()));
            prop_assert!(used <= limits().share + small);
        }
    }

    /// Guards against bytes that stay counted: once all bodies have gone, the largest one fits.
    #[test]
    fn the_largest_body_fits_in_calm(steps in steps()) {
        let (mut budget, keys, now) = play(&steps);
        for key in keys {
            budget.release(key);
        }

        let key = budget.arrive(now, owner("calm"));

        prop_assert!(budget.used() == 0);
        prop_assert!(budget.grow(now, key, limits().largest()) == Grant::Admit);
    }

    /// Guards against a crowd that starves others: once it has stalled, a large body of another
    /// owner gets room unless complete ones hold it.
    #[test]
    fn a_stalled_crowd_gives_way(sizes in vec(1..2 * MEGABYTE, 1..60)) {
        let mut budget = MemoryBudget::new(limits());
        let mut held = Vec::new();
        for size in sizes {
            let key = budget.arrive(at(Duration::ZERO), owner("crowd"));
            budget.grow(at(Duration::ZERO), key, size);
            held.push(key);
        }
        let later = at(STALL_TIME);

        let key = budget.arrive(later, owner("other"));
        let mut grant = budget.grow(later, key, LARGE);
        while let Grant::Shed(victim) = grant {
            budget.release(victim);
            grant = budget.grow(later, key, LARGE);
        }

        prop_assert!(grant == Grant::Admit);
    }
}
