//! Shares of a short pool over several processes, in virtual time.
#![allow(clippy::unwrap_used, clippy::cast_precision_loss, missing_docs)]

mod share_support;

use sardinepath_core::decision::share::Division;
use sardinepath_core::decision::share::MAX_CLAIMS;
use sardinepath_core::decision::share::limit_claims;

use crate::share_support::Fleet;
use crate::share_support::claim;
use crate::share_support::claimant;

/// Slots of the pool in most tests.
const ROOM: u32 = 210;

/// Time in milliseconds after a change within which all shares must hold.
const SETTLE_MS: u64 = 2_000;

/// Time in milliseconds over which shares are measured.
const MEASURE_MS: u64 = 10_000;

/// Permitted deviation from a share.
const TOLERANCE: f64 = 0.05;

/// Smallest part of the slots that must be in use while items wait.
const MIN_USED: f64 = 0.95;

/// Lets the shares settle and measures them.
fn measure(fleet: &mut Fleet) {
    fleet.run(SETTLE_MS);
    fleet.restart_count();
    fleet.run(MEASURE_MS);
}

fn assert_near(fraction: f64, expected: f64, what: &str) {
    let deviation = (fraction - expected).abs() / expected;
    assert!(
        deviation <= TOLERANCE,
        "{what}: {fraction:.4} of the slots, expected {expected:.4}"
    );
}

fn assert_used(fleet: &Fleet, room: u32) {
    let used = fleet.used_slots(MEASURE_MS);
    assert!(
        used >= MIN_USED * f64::from(room),
        "{used:.1} of {room} slots are used"
    );
}

/// Fails if the slots are limited although they suffice for all items.
#[test]
fn a_pool_with_enough_slots_is_not_divided() {
    let own = [claim(0, "a", 50, 50)];
    let others = [claim(1, "b", 10, 100)];

    let division = Division::new(ROOM, &own, &others);

    assert_eq!(division, None);
}

/// Fails if workspaces of one rank do not get equal shares at a demand of 1.2 times the slots, or slots
/// stay free.
#[test]
fn workspaces_get_equal_shares_at_a_slight_shortage() {
    let mut fleet = Fleet::new(3, ROOM);
    for (process, workspace) in ["a", "b", "c"].into_iter().enumerate() {
        fleet.demand(process, 1, workspace, ROOM * 12 / 30);
    }

    measure(&mut fleet);

    for workspace in ["a", "b", "c"] {
        assert_near(fleet.fraction(1, workspace), 1.0 / 3.0, workspace);
    }
    assert_used(&fleet, ROOM);
}

/// Fails if a workspace gets more slots because it has more items or more processes.
#[test]
fn a_large_workspace_gets_no_more_than_a_small_one() {
    let mut fleet = Fleet::new(3, ROOM);
    fleet.demand(0, 1, "large", 2_000);
    fleet.demand(1, 1, "large", 2_000);
    fleet.demand(2, 1, "small", 150);

    measure(&mut fleet);

    assert_near(fleet.fraction(1, "large"), 0.5, "large");
    assert_near(fleet.fraction(1, "small"), 0.5, "small");
    assert_used(&fleet, ROOM);
}

/// Fails if one of 85 workspaces, of which a few are large and most run fewer items than their share,
/// waits for the others.
#[test]
fn many_workspaces_share_with_a_few_large_ones() {
    let mut fleet = Fleet::new(5, ROOM);
    for index in 0..85 {
        let items = if index < 4 { 300 } else { 2 };
        fleet.demand(index % 5, 1, &format!("w{index}"), items);
    }
    let small = 2.0 / f64::from(ROOM);
    let large = (1.0 - 81.0 * small) / 4.0;

    measure(&mut fleet);

    for index in 0..85 {
        let expected = if index < 4 { large } else { small };
        let workspace = format!("w{index}");
        assert_near(fleet.fraction(1, &workspace), expected, &workspace);
    }
    assert_used(&fleet, ROOM);
}

/// Fails if workspaces with less than one slot each do not take turns. The items are equally long, since
/// the turns of each workspace are too few to even out their lengths.
#[test]
fn workspaces_with_a_part_of_a_slot_take_turns() {
    let mut fleet = Fleet::new(1, 20);
    fleet.item_ms = (500, 501);
    for index in 0..85 {
        fleet.demand(0, 1, &format!("w{index}"), 3);
    }

    fleet.run(SETTLE_MS);
    fleet.restart_count();
    fleet.run(10 * MEASURE_MS);

    for index in 0..85 {
        let workspace = format!("w{index}");
        assert_near(fleet.fraction(1, &workspace), 1.0 / 85.0, &workspace);
    }
}

/// Fails if the more urgent rank does not come first, or the less urgent one is starved.
#[test]
fn an_urgent_rank_goes_first_and_leaves_a_reserve() {
    let mut fleet = Fleet::new(2, ROOM);
    fleet.demand(0, 0, "urgent", 1_000);
    fleet.demand(1, 1, "later", 1_000);

    measure(&mut fleet);

    assert_near(fleet.fraction(0, "urgent"), 7.0 / 8.0, "urgent");
    assert_near(fleet.fraction(1, "later"), 1.0 / 8.0, "later");
    assert_used(&fleet, ROOM);
}

/// Fails if a workspace whose items arrive while others hold all slots does not get its share within two
/// seconds.
#[test]
fn shares_follow_a_shift_of_demand() {
    let mut fleet = Fleet::new(2, ROOM);
    fleet.demand(0, 1, "a", 1_000);
    fleet.run(5_000);

    fleet.demand(1, 1, "b", 1_000);
    measure(&mut fleet);

    assert_near(fleet.fraction(1, "b"), 0.5, "b");
    assert_used(&fleet, ROOM);
}

/// Fails if a process that freezes keeps its share for longer than two seconds, or does not get it back.
#[test]
fn the_share_of_a_frozen_process_goes_to_the_others() {
    let mut fleet = Fleet::new(3, ROOM);
    for (process, workspace) in ["a", "b", "c"].into_iter().enumerate() {
        fleet.demand(process, 1, workspace, 1_000);
    }
    fleet.run(5_000);

    fleet.processes[2].frozen = Some(fleet.now);
    fleet.run(SETTLE_MS);
    fleet.restart_count();
    fleet.run(MEASURE_MS);
    let frozen = fleet.fraction(1, "a");
    assert_used(&fleet, ROOM);
    fleet.processes[2].frozen = None;
    measure(&mut fleet);

    assert_near(frozen, 0.5, "a beside a frozen process");
    assert_near(fleet.fraction(1, "c"), 1.0 / 3.0, "c after its return");
}

/// Fails if a process that is cut off from the others, but still reaches the targets, is limited by what it
/// was told earlier: nobody knows whether the others still use their share.
#[test]
fn a_process_that_is_cut_off_forgets_the_others() {
    let mut fleet = Fleet::new(2, ROOM);
    fleet.demand(0, 1, "a", 1_000);
    fleet.demand(1, 1, "b", 1_000);
    fleet.run(5_000);

    fleet.processes[0].frozen = Some(fleet.now);
    fleet.processes[1].cut = true;
    fleet.run(SETTLE_MS);
    fleet.restart_count();
    fleet.run(MEASURE_MS);

    assert_near(fleet.fraction(1, "b"), 1.0, "b");
    assert_used(&fleet, ROOM);
}

/// Fails if the claims in a ping are not bounded, or large ones are left out before small ones.
#[test]
fn told_claims_are_bounded() {
    let claims = (0..1_000).map(|index| claim(1, &format!("w{index}"), index, 0));

    let limited = limit_claims(claims.collect());

    assert_eq!(limited.len(), MAX_CLAIMS);
    assert_eq!(limited[0].claimant, claimant(1, "w999"));
}

/// Fails if the claims in a ping take more than 16 KB with names of usual length.
#[test]
fn told_claims_stay_small() {
    let claims = (0..1_000).map(|index| claim(1, &format!("workspace-{index:08}"), 4_096, 4_096));
    let limited = limit_claims(claims.collect());

    let bytes = serde_json::to_vec(&limited).unwrap().len();

    assert!(bytes <= 16 << 10, "{bytes} B");
    let one = bytes / limited.len();
    assert!(one <= 128, "{one} B a claim");
}
