//! Usage windows of running entries, compared with what the engine and the usage interface
//! recorded.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod duty_support;

use std::thread;
use std::time::Duration;

use sardinepath_standins::object_api::Availability;

use crate::duty_support::WINDOW_SECONDS;
use crate::duty_support::billed_tokens;
use crate::duty_support::count_contradictions;
use crate::duty_support::count_held;
use crate::duty_support::disconnect;
use crate::duty_support::drain_entry;
use crate::duty_support::generated_tokens;
use crate::duty_support::read_metric;
use crate::duty_support::reconnect;
use crate::duty_support::request_completion;
use crate::duty_support::start_fixture;
use crate::duty_support::start_member;
use crate::duty_support::start_pair;
use crate::duty_support::stored_lease;
use crate::duty_support::stored_records;
use crate::duty_support::wait_for;
use crate::duty_support::wait_until_billed;

/// Guards against usage that is billed twice, not at all, or to another workspace when two entries
/// use the same engine.
#[test]
fn answers_of_all_entries_are_billed_once() {
    let fixture = start_fixture();
    let [first, second] = start_pair(&fixture);

    for (member, route, tokens) in [
        (&first, "diary", 11),
        (&second, "diary", 13),
        (&second, "quote", 17),
    ] {
        assert!(request_completion(member, route, tokens).is_some());
    }

    wait_until_billed(&fixture, generated_tokens(&fixture));
    assert_eq!(billed_tokens(&fixture), generated_tokens(&fixture));
    assert_eq!(count_contradictions(&fixture), 0);
    let quote = stored_records(&fixture, "usage/print/quote-check/");
    let tokens: u64 = quote.iter().map(|w| w["tokens"].as_u64().unwrap()).sum();
    assert_eq!(tokens, 17);
}

/// Guards against usage that is lost when an agent stops before the window of its counters is
/// closed.
#[test]
fn entry_keeps_the_counters_of_a_dead_agent() {
    let mut fixture = start_fixture();
    let [_holder, second] = start_pair(&fixture);
    // Without the object API, no window can be frozen before the agent has stopped.
    fixture
        .api
        .set_faults(|faults| faults.availability = Availability::Refusing);
    assert!(request_completion(&second, "diary", 19).is_some());

    drop(fixture.agent.take());
    fixture
        .api
        .set_faults(|faults| faults.availability = Availability::Up);

    wait_until_billed(&fixture, generated_tokens(&fixture));
    assert_eq!(billed_tokens(&fixture), generated_tokens(&fixture));
    assert_eq!(count_contradictions(&fixture), 0);
}

/// Guards against a holder of the usage duties that freezes or reports windows after its lease has
/// expired, and against different figures from the next holder.
#[test]
fn holder_without_platform_gives_the_windows_up() {
    let fixture = start_fixture();
    let [first, second] = start_pair(&fixture);
    assert!(request_completion(&first, "diary", 23).is_some());

    disconnect(&first);
    assert!(request_completion(&first, "diary", 29).is_some());
    wait_for("the take-over", || count_held(&second, "usage/") == 16);

    assert_eq!(count_held(&first, "usage/"), 0);
    assert_eq!(stored_lease(&fixture, "usage/0").unwrap().fence.0, 2);
    wait_until_billed(&fixture, generated_tokens(&fixture));
    reconnect(&fixture, &first);
    thread::sleep(Duration::from_secs(2 * WINDOW_SECONDS));
    assert_eq!(billed_tokens(&fixture), generated_tokens(&fixture));
    assert_eq!(count_contradictions(&fixture), 0);
}

/// Guards against usage that is lost when the entry that holds the usage duties stops without a
/// drain.
#[test]
fn windows_of_a_dead_entry_are_continued() {
    let fixture = start_fixture();
    let [first, second] = start_pair(&fixture);
    assert!(request_completion(&first, "diary", 31).is_some());

    drop(first);

    wait_for("the take-over", || count_held(&second, "usage/") == 16);
    wait_until_billed(&fixture, generated_tokens(&fixture));
    assert_eq!(billed_tokens(&fixture), generated_tokens(&fixture));
    assert_eq!(count_contradictions(&fixture), 0);
}

/// Guards against windows that are billed with different figures or not at all because the answer
/// to a freeze, a lease renewal or a report was lost.
#[test]
fn lost_answers_change_no_figure() {
    let fixture = start_fixture();
    let member = start_member(&fixture, "host-1");
    wait_for("the usage duties", || count_held(&member, "usage/") == 16);

    for round in 0..5 {
        fixture.api.set_faults(|faults| faults.lost_answers = 6);
        fixture.usage.set_faults(|faults| faults.lose = 2);
        assert!(request_completion(&member, "diary", 37 + round).is_some());
        thread::sleep(Duration::from_secs(WINDOW_SECONDS));
    }

    wait_until_billed(&fixture, generated_tokens(&fixture));
    assert_eq!(fixture.api.faults().lost_answers, 0);
    assert_eq!(billed_tokens(&fixture), generated_tokens(&fixture));
    assert_eq!(count_contradictions(&fixture), 0);
    let reports = fixture.usage.ask(|state| state.log.clone());
    let repeated = reports.len() - fixture.usage.ask(|state| state.billed().len());
    assert!(
        repeated > 0,
        "no report was sent again, so no answer was lost"
    );
}

/// Guards against windows that are skipped or reported out of order when the platform is down at
/// the time they close.
#[test]
fn windows_with_an_outage_at_their_close_are_closed_later() {
    let fixture = start_fixture();
    let member = start_member(&fixture, "host-1");
    wait_for("the usage duties", || count_held(&member, "usage/") == 16);

    fixture
        .api
        .set_faults(|faults| faults.availability = Availability::Refusing);
    fixture.usage.stop();
    assert!(request_completion(&member, "diary", 41).is_some());
    thread::sleep(Duration::from_secs(3 * WINDOW_SECONDS));
    let during = billed_tokens(&fixture);
    fixture
        .api
        .set_faults(|faults| faults.availability = Availability::Up);
    wait_for("an unreported window", || {
        read_metric(&member, "sardinepath_usage_windows_unreported") > 0.0
    });
    // A few reports fail before the usage interface is up again.
    thread::sleep(Duration::from_secs(2 * WINDOW_SECONDS));
    fixture.usage.restart().unwrap();

    wait_until_billed(&fixture, generated_tokens(&fixture));
    assert!(during < generated_tokens(&fixture));
    assert_eq!(billed_tokens(&fixture), generated_tokens(&fixture));
    assert_eq!(count_contradictions(&fixture), 0);
    let stored = stored_records(&fixture, "usage/print/dream-diary/");
    let numbers: Vec<_> = stored
        .iter()
        .map(|w| w["window"].as_u64().unwrap())
        .collect();
    assert!(numbers.windows(2).all(|two| two[1] == two[0] + 1));
}

/// Guards against a drain that leaves the leases until they expire, and against usage work after
/// they were released.
#[test]
fn drained_entry_releases_its_leases() {
    let fixture = start_fixture();
    let [first, second] = start_pair(&fixture);
    assert!(request_completion(&first, "diary", 43).is_some());

    drain_entry(&first);

    // Without a release, another entry could take over the lease only 12 s after the last renewal.
    let record = stored_lease(&fixture, "usage/3").unwrap();
    assert!(record.holder.is_none() || record.fence.0 == 2);
    assert_eq!(count_held(&first, "usage/"), 0);
    drop(first);
    wait_for("the take-over", || count_held(&second, "usage/") == 16);
    wait_until_billed(&fixture, generated_tokens(&fixture));
    assert_eq!(billed_tokens(&fixture), generated_tokens(&fixture));
    assert_eq!(count_contradictions(&fixture), 0);
}
