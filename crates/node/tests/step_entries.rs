//! Steps while entries, trainers and the object API fail.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod step_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use sardinepath_adapters::clock::HostClock;
use sardinepath_core::decision::process::Process;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_standins::object_api::Availability;
use sardinepath_standins::trainer::Polled;

use crate::step_support::Fleet;
use crate::step_support::Setup;
use crate::step_support::WAIT_TIMEOUT;
use crate::step_support::check_samples;
use crate::step_support::count_executions;
use crate::step_support::count_stored;
use crate::step_support::groups;
use crate::step_support::kill_entry;
use crate::step_support::new_trainer;
use crate::step_support::poll_until_done;
use crate::step_support::read_counter;
use crate::step_support::start_fleet;
use crate::step_support::wait_until;

const LEASE_PATH: &str = "leases/steps/print/diary/t1";

/// Starts a fleet of two entries whose engines need this time in milliseconds for a token.
fn two_entries(token_millis: u64) -> Fleet {
    start_fleet(&Setup {
        entries: 2,
        token_time: Duration::from_millis(token_millis),
        ..Setup::default()
    })
}

/// Guards against recorded groups that are lost or generated again after their entry was killed
/// before it delivered them.
#[test]
fn entry_killed_between_record_and_delivery() {
    let mut fleet = two_entries(1);
    let mut trainer = new_trainer(&fleet, &[0, 1], 1);
    trainer.post_step(1, &groups(1, 6, 10)).unwrap();
    wait_until("all groups are recorded", || {
        count_stored(&fleet, 1, "recorded") == 6
    });
    let before = count_executions(&fleet, 1);

    kill_entry(&mut fleet, 0);
    poll_until_done(&mut trainer, 1);

    check_samples(&fleet, &trainer);
    assert_eq!(count_executions(&fleet, 1), before);
}

/// Guards against a step that stops when its entry is killed, and against an entry that takes it
/// over and generates recorded groups again.
#[test]
fn other_entry_takes_over_what_is_not_recorded() {
    let mut fleet = two_entries(10);
    let mut trainer = new_trainer(&fleet, &[0, 1], 1);
    let mut order = groups(1, 8, 10);
    for group in &mut order[4..] {
        group.max_tokens = 400;
    }
    trainer.post_step(1, &order).unwrap();
    wait_until("the short groups are recorded", || {
        count_stored(&fleet, 1, "recorded") == 4
    });

    kill_entry(&mut fleet, 0);
    poll_until_done(&mut trainer, 1);

    check_samples(&fleet, &trainer);
    let logs: Vec<_> = fleet.engines.iter().map(|e| e.log()).collect();
    for group in 0..4 {
        let tag = format!("s1-g{group}");
        let runs: usize = logs.iter().map(|log| log.tagged(&tag).len()).sum();
        assert_eq!(runs, 2, "{tag} was generated again");
    }
}

/// Guards against groups that are lost or delivered twice when the entry is killed after it has
/// stored the delivery and before its answer reaches the trainer.
#[test]
fn entry_killed_between_delivery_and_answer() {
    let mut fleet = two_entries(1);
    let mut trainer = new_trainer(&fleet, &[0, 1], 1);
    trainer.post_step(1, &groups(1, 6, 10)).unwrap();
    wait_until("all groups are recorded", || {
        count_stored(&fleet, 1, "recorded") == 6
    });
    trainer.lose_polls = 1;
    let lost = trainer.poll(1).unwrap();
    let delivered = count_stored(&fleet, 1, "delivered");

    kill_entry(&mut fleet, 0);
    poll_until_done(&mut trainer, 1);

    assert_eq!((lost, delivered), (Polled::Lost, 6));
    check_samples(&fleet, &trainer);
}

/// Guards against samples that are lost together with the answer to a poll while the step runs.
#[test]
fn lost_poll_answers_lose_no_sample() {
    let fleet = start_fleet(&Setup::default());
    let mut trainer = new_trainer(&fleet, &[0], 1);
    let mut order = groups(1, 12, 10);
    order[11].max_tokens = 400;
    trainer.post_step(1, &order).unwrap();
    trainer.lose_polls = 3;

    poll_until_done(&mut trainer, 1);

    assert_eq!(trainer.lose_polls, 0);
    check_samples(&fleet, &trainer);
}

/// Guards against groups and steps that are stored twice or not at all when the answers of the
/// object API to writes are lost.
#[test]
fn lost_answers_of_the_object_api() {
    let fleet = start_fleet(&Setup::default());
    let mut trainer = new_trainer(&fleet, &[0], 1);
    fleet.api.set_faults(|faults| faults.lost_answers = 12);
    let mut order = groups(1, 8, 10);
    // The last group keeps the step running after the writes whose answers are lost.
    order[7].max_tokens = 3000;

    trainer.run_step(1, &order, WAIT_TIMEOUT).unwrap();

    assert_eq!(fleet.api.faults().lost_answers, 0);
    check_samples(&fleet, &trainer);
}

/// Guards against samples that are delivered twice when two entries run one step because each
/// acts as the holder of the lease. The second entry generates the short groups after the first
/// has delivered them.
#[test]
fn two_entries_run_one_step() {
    let fleet = start_fleet(&Setup {
        entries: 2,
        token_time: Duration::from_millis(10),
        ignore_leases: true,
        ..Setup::default()
    });
    let mut first = new_trainer(&fleet, &[0], 1);
    let mut order = groups(1, 6, 100);
    order[5].max_tokens = 500;
    first.post_step(1, &order).unwrap();
    wait_until("the first entry generates", || {
        count_executions(&fleet, 1) >= 12
    });
    let mut second = new_trainer(&fleet, &[1], 1);
    second.post_step(1, &order).unwrap();

    poll_until_done(&mut second, 1);

    check_samples(&fleet, &second);
    let again = count_executions(&fleet, 1);
    assert!(again >= 22, "only one entry ran the step: {again}");
    let dropped = "sardinepath_samples_dropped_total{reason=\"elsewhere\"}";
    assert!(read_counter(&fleet, 0, dropped) + read_counter(&fleet, 1, dropped) > 0);
}

/// Guards against a trainer that gets other samples, or none, after a restart in which it lost its
/// cursor.
#[test]
fn trainer_restart_gets_the_same_samples() {
    let fleet = start_fleet(&Setup::default());
    let order = groups(1, 8, 10);
    let mut before = new_trainer(&fleet, &[0], 1);
    before.post_step(1, &order).unwrap();
    before.poll(1).unwrap();

    let mut after = new_trainer(&fleet, &[0], 1);
    after.run_step(1, &order, WAIT_TIMEOUT).unwrap();

    check_samples(&fleet, &after);
    for entry in before.samples() {
        assert!(after.samples().contains(entry));
    }
}

/// Guards against samples that are lost or duplicated by an outage of the object API that is longer
/// than the lease. It first refuses connections and then does not answer.
#[test]
fn outage_of_the_object_api() {
    let fleet = two_entries(5);
    let mut trainer = new_trainer(&fleet, &[0, 1], 1);
    trainer.post_step(1, &groups(1, 8, 100)).unwrap();
    wait_until("the step runs", || count_executions(&fleet, 1) >= 16);

    fleet
        .api
        .set_faults(|faults| faults.availability = Availability::Refusing);
    thread::sleep(Duration::from_secs(6));
    fleet
        .api
        .set_faults(|faults| faults.availability = Availability::Silent);
    thread::sleep(Duration::from_secs(6));
    let during = count_stored(&fleet, 1, "recorded");
    fleet
        .api
        .set_faults(|faults| faults.availability = Availability::Up);
    poll_until_done(&mut trainer, 1);

    assert_eq!(during, 0);
    check_samples(&fleet, &trainer);
}

/// Guards against a step that no entry runs because it was posted to an entry while another one
/// holds the trainer's lease.
#[test]
fn step_posted_to_another_entry_is_run_by_the_holder() {
    let fleet = two_entries(5);
    let mut trainer = new_trainer(&fleet, &[0, 1], 1);
    trainer.post_step(1, &groups(1, 2, 1500)).unwrap();
    wait_until("the first step runs", || count_executions(&fleet, 1) >= 4);
    let mut other = step_support::new_trainer(&fleet, &[1], 1);

    other.run_step(2, &groups(2, 4, 10), WAIT_TIMEOUT).unwrap();

    assert_eq!(
        count_stored(&fleet, 1, "recorded"),
        0,
        "the first step still runs"
    );
    check_samples(&fleet, &other);
    poll_until_done(&mut trainer, 1);
    check_samples(&fleet, &trainer);
}

/// Guards against a drained entry that keeps its leases until they expire.
#[test]
fn drained_entry_releases_its_leases() {
    let mut fleet = two_entries(10);
    let mut trainer = new_trainer(&fleet, &[0, 1], 1);
    trainer.post_step(1, &groups(1, 4, 300)).unwrap();
    wait_until("the step runs", || count_executions(&fleet, 1) >= 8);
    let start = Instant::now();

    let entry = fleet.entries[0].take().unwrap();
    entry.drain(Process::new(WAIT_TIMEOUT).serve(), &HostClock);
    wait_until("the lease is released", || {
        let lease = fleet.api.objects.get(LEASE_PATH).unwrap().unwrap();
        lease.value.contains("\"holder\":null")
    });
    let released = start.elapsed();
    drop(entry);
    poll_until_done(&mut trainer, 1);

    assert!(released < Duration::from_secs(8), "{released:?}");
    check_samples(&fleet, &trainer);
}
