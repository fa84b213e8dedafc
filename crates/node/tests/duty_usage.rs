//! Usage windows of running entries, compared with the books of the engine and of the usage
//! interface.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod duty_support;

use std::thread;
use std::time::Duration;

use sardinepath_standins::object_api::Service;

use crate::duty_support::WINDOW;
use crate::duty_support::await_billed;
use crate::duty_support::await_true;
use crate::duty_support::billed;
use crate::duty_support::complete;
use crate::duty_support::contradictions;
use crate::duty_support::cut_off;
use crate::duty_support::drain;
use crate::duty_support::generated;
use crate::duty_support::heal;
use crate::duty_support::held;
use crate::duty_support::lease;
use crate::duty_support::metric;
use crate::duty_support::start_member;
use crate::duty_support::start_pair;
use crate::duty_support::start_world;
use crate::duty_support::windows;

/// Guards against answers of another entry or workspace that are billed twice or not at all.
#[test]
fn answers_of_all_entries_are_billed_once() {
    let world = start_world();
    let [first, second] = start_pair(&world);

    for (member, route, tokens) in [
        (&first, "diary", 11),
        (&second, "diary", 13),
        (&second, "quote", 17),
    ] {
        assert!(complete(member, route, tokens).is_some());
    }

    await_billed(&world, generated(&world));
    assert_eq!(billed(&world), generated(&world));
    assert_eq!(contradictions(&world), 0);
    let quote = windows(&world, "usage/print/quote-check/");
    let tokens: u64 = quote.iter().map(|w| w["tokens"].as_u64().unwrap()).sum();
    assert_eq!(tokens, 17);
}

/// Guards against usage that is lost with its agent before the window is closed.
#[test]
fn entry_keeps_the_counters_of_a_dead_agent() {
    let mut world = start_world();
    let [_holder, second] = start_pair(&world);
    // No window can be frozen before the agent has gone.
    world.api.set(|faults| faults.service = Service::Refusing);
    assert!(complete(&second, "diary", 19).is_some());

    drop(world.agent.take());
    world.api.set(|faults| faults.service = Service::Up);

    await_billed(&world, generated(&world));
    assert_eq!(billed(&world), generated(&world));
    assert_eq!(contradictions(&world), 0);
}

/// Guards against a holder that freezes or reports after its lease has lapsed, and against a
/// second figure by the next holder.
#[test]
fn holder_without_platform_gives_the_windows_up() {
    let world = start_world();
    let [first, second] = start_pair(&world);
    assert!(complete(&first, "diary", 23).is_some());

    cut_off(&first);
    assert!(complete(&first, "diary", 29).is_some());
    await_true("the take-over", || held(&second, "usage/") == 16);

    assert_eq!(held(&first, "usage/"), 0);
    assert_eq!(lease(&world, "usage/0").unwrap().fence.0, 2);
    await_billed(&world, generated(&world));
    heal(&world, &first);
    thread::sleep(Duration::from_secs(2 * WINDOW));
    assert_eq!(billed(&world), generated(&world));
    assert_eq!(contradictions(&world), 0);
}

/// Guards against usage that is lost with the entry that holds the duty.
#[test]
fn windows_of_a_dead_entry_are_continued() {
    let world = start_world();
    let [first, second] = start_pair(&world);
    assert!(complete(&first, "diary", 31).is_some());

    drop(first);

    await_true("the take-over", || held(&second, "usage/") == 16);
    await_billed(&world, generated(&world));
    assert_eq!(billed(&world), generated(&world));
    assert_eq!(contradictions(&world), 0);
}

/// Guards against another figure, or none, after an answer to a freeze, a renewal or a report was
/// lost.
#[test]
fn lost_answers_change_no_figure() {
    let world = start_world();
    let member = start_member(&world, "host-1");
    await_true("the usage duties", || held(&member, "usage/") == 16);

    for round in 0..5 {
        world.api.set(|faults| faults.lost = 6);
        world.usage.set_faults(|faults| faults.lose = 2);
        assert!(complete(&member, "diary", 37 + round).is_some());
        thread::sleep(Duration::from_secs(WINDOW));
    }

    await_billed(&world, generated(&world));
    assert_eq!(world.api.faults().lost, 0);
    assert_eq!(billed(&world), generated(&world));
    assert_eq!(contradictions(&world), 0);
    let book = world.usage.ask(|state| state.book.clone());
    let repeated = book.len() - world.usage.ask(|state| state.billed().len());
    assert!(repeated > 0, "no report was sent again, so none was lost");
}

/// Guards against windows that an outage leaves out or reports out of their turn.
#[test]
fn windows_with_an_outage_at_their_close_are_closed_later() {
    let world = start_world();
    let member = start_member(&world, "host-1");
    await_true("the usage duties", || held(&member, "usage/") == 16);

    world.api.set(|faults| faults.service = Service::Refusing);
    world.usage.go_down();
    assert!(complete(&member, "diary", 41).is_some());
    thread::sleep(Duration::from_secs(3 * WINDOW));
    let during = billed(&world);
    world.api.set(|faults| faults.service = Service::Up);
    await_true("an unreported window", || {
        metric(&member, "sardinepath_usage_windows_unreported") > 0.0
    });
    // Lets a few reports fail before the interface is back.
    thread::sleep(Duration::from_secs(2 * WINDOW));
    world.usage.come_back().unwrap();

    await_billed(&world, generated(&world));
    assert!(during < generated(&world));
    assert_eq!(billed(&world), generated(&world));
    assert_eq!(contradictions(&world), 0);
    let stored = windows(&world, "usage/print/dream-diary/");
    let numbers: Vec<_> = stored
        .iter()
        .map(|w| w["window"].as_u64().unwrap())
        .collect();
    assert!(numbers.windows(2).all(|two| two[1] == two[0] + 1));
}

/// Guards against a drain that leaves the leases to lapse, and against work after the release.
#[test]
fn drained_entry_releases_its_leases() {
    let world = start_world();
    let [first, second] = start_pair(&world);
    assert!(complete(&first, "diary", 43).is_some());

    drain(&first);

    // Without a release, another entry could take the lease over only 12 s after the last renewal.
    let record = lease(&world, "usage/3").unwrap();
    assert!(record.holder.is_none() || record.fence.0 == 2);
    assert_eq!(held(&first, "usage/"), 0);
    drop(first);
    await_true("the take-over", || held(&second, "usage/") == 16);
    await_billed(&world, generated(&world));
    assert_eq!(billed(&world), generated(&world));
    assert_eq!(contradictions(&world), 0);
}
