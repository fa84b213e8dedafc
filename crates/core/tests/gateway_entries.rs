//! Entries of targets that are missing after an interruption of the watch, in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use gateway_support::Simulation;
use gateway_support::address;
use sardinepath_core::decision::gateway::message::FeedEnd;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::decision::target_watch::Lapse;

/// Interruption in which no entry of a living target can lapse, in milliseconds.
const SHORT_MS: u64 = 600;

/// Interruption in which entries of living targets lapse, in milliseconds.
const LONG_MS: u64 = 6_000;

/// Time for which an entry that may have lapsed is waited for, in milliseconds.
const RETURN_MS: u64 = 2_000;

/// Time for which a follower looks for another source, in milliseconds: one that does not answer, and the
/// next one. An entry of a living target could lapse in it.
const SEARCH_MS: u64 = 1_500;

/// Time until a listing has been read, in milliseconds.
const LISTING_MS: u64 = 50;

/// Time after the start of a gateway at which it knows its targets, in milliseconds.
const JUST_STARTED_MS: u64 = 600;

/// Time for which a choice of a target is valid, in milliseconds.
const CHOICE_MS: u64 = 1_000;

/// Starts a gateway that gets a plain request every 50 ms.
fn loaded() -> Simulation {
    let mut sim = Simulation::new(1);
    sim.plain_interval = Some(50);
    sim.run(1_000);
    sim
}

/// Returns the target that the gateway uses most.
fn most_used(sim: &Simulation) -> &'static str {
    most_used_since(sim, 0)
}

/// Returns the target that the gateway has used most since a time.
fn most_used_since(sim: &Simulation, since: u64) -> &'static str {
    let targets = ["t0", "t1", "t2", "t3"];
    let used = targets
        .into_iter()
        .max_by_key(|t| sim.arrivals_from(0, t, since));
    used.unwrap()
}

/// Returns the number of requests that arrive at a target within a time from when the last listing
/// has been read.
fn arrivals(sim: &mut Simulation, target: &str, millis: u64) -> usize {
    sim.run(LISTING_MS);
    let since = sim.now;
    sim.run(millis);
    sim.arrivals_from(0, target, since)
}

/// Fails if a target that left during a short interruption of the watch gets requests, although no
/// entry of a living target can have lapsed in it.
#[test]
fn a_target_that_left_during_a_short_interruption_gets_nothing() {
    let mut sim = loaded();
    let target = most_used(&sim);
    sim.message(0, Message::WatchContact(Kind::Targets, false));
    sim.run(SHORT_MS);

    sim.list_without(0, target);

    assert_eq!(arrivals(&mut sim, target, CHOICE_MS), 0);
}

/// Guards against a gateway that has just started and goes on sending to a target whose entry it saw
/// removed, as if the entry had lapsed in an outage.
#[test]
fn a_target_that_leaves_after_the_first_listing_gets_nothing() {
    let mut sim = loaded();
    sim.start(0);
    let since = sim.now;
    sim.run(JUST_STARTED_MS);
    let target = most_used_since(&sim, since);

    let gone = WatchedObject::TargetGone(target.into());
    sim.message(0, Message::Changed(gone));

    assert_eq!(arrivals(&mut sim, target, CHOICE_MS), 0);
}

/// Fails if a target whose entry lapsed in an outage gets nothing although it lives, or still gets
/// requests when its entry has not come back in time.
#[test]
fn a_target_whose_entry_lapsed_in_an_outage_is_kept_for_a_while() {
    let mut sim = loaded();
    let target = most_used(&sim);
    sim.message(0, Message::WatchContact(Kind::Targets, false));
    sim.run(LONG_MS);

    sim.list_without(0, target);

    assert_ne!(arrivals(&mut sim, target, RETURN_MS), 0);
    sim.run(CHOICE_MS);
    assert_eq!(arrivals(&mut sim, target, RETURN_MS), 0);
}

/// Fails if a gateway that follows another one drops targets whose entries lapsed in an outage that
/// ended the feed.
#[test]
fn a_follower_keeps_targets_whose_entries_lapsed_in_an_outage() {
    let mut sim = loaded();
    let target = most_used(&sim);
    let lost = Message::FeedLost(address(7), FeedEnd::Disconnected);
    sim.message(0, lost);
    sim.run(LONG_MS);

    sim.list_without(0, target);

    assert_ne!(arrivals(&mut sim, target, RETURN_MS), 0);
}

/// Guards against a target that gets requests for longer than the time in which its entry may come back,
/// because the entry was removed late in that time.
#[test]
fn the_wait_for_an_entry_begins_with_the_end_of_the_outage() {
    let mut sim = loaded();
    let target = most_used(&sim);
    sim.message(0, Message::WatchContact(Kind::Targets, false));
    sim.run(LONG_MS);
    sim.message(0, Message::WatchContact(Kind::Targets, true));
    sim.run(RETURN_MS * 3 / 4);

    let gone = WatchedObject::TargetGone(target.into());
    sim.message(0, Message::Changed(gone));
    sim.run(RETURN_MS / 4);

    assert_eq!(arrivals(&mut sim, target, CHOICE_MS), 0);
}

/// Guards against a follower that keeps a target whose entry was removed, because it had to look for another
/// gateway to follow for longer than an entry takes to lapse.
#[test]
fn a_follower_that_changes_its_source_drops_targets_that_left() {
    let mut sim = loaded();
    let target = most_used(&sim);
    let lost = Message::FeedLost(address(7), FeedEnd::Unresponsive);
    sim.message(0, lost);
    sim.run(SEARCH_MS);
    sim.message(0, Message::FeedJoined(Lapse::None));

    sim.list_without(0, target);

    assert_eq!(arrivals(&mut sim, target, CHOICE_MS), 0);
}

/// Guards against a follower that drops a target whose entry lapsed in an outage which it did not notice
/// itself, and against one that waits for the entry for longer than the gateway that it follows.
#[test]
fn a_follower_waits_for_entries_as_long_as_the_gateway_that_it_follows() {
    let mut sim = loaded();
    let target = most_used(&sim);
    let lost = Message::FeedLost(address(7), FeedEnd::Disconnected);
    sim.message(0, lost);
    sim.run(SHORT_MS);
    sim.message(0, Message::FeedJoined(Lapse::Ended(RETURN_MS / 2)));

    sim.list_without(0, target);

    assert_ne!(arrivals(&mut sim, target, RETURN_MS / 2), 0);
    sim.run(RETURN_MS / 2);
    assert_eq!(arrivals(&mut sim, target, CHOICE_MS), 0);
}
