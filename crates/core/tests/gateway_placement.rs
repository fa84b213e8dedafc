//! Placement of jobs on gateways, in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::collections::BTreeSet;

use sardinepath_core::decision::gateway::message::Message;

use crate::gateway_support::HOST_POWER;
use crate::gateway_support::Simulation;
use crate::gateway_support::address;

/// Fails if gateways place the jobs of a route at different processes, which cannot share their
/// connections and retained texts.
#[test]
fn gateways_agree_on_the_runner_of_a_route() {
    let mut sim = Simulation::new(5);

    let places: BTreeSet<usize> = (0..5).map(|node| sim.place(node)).collect();

    assert_eq!(places.len(), 1, "{places:?}");
}

/// Fails if jobs are placed at a host with a small CPU allowance while another host has a large
/// one.
#[test]
fn weak_hosts_run_no_jobs_beside_strong_ones() {
    for strong in 0..4 {
        let mut powers = [9; 4];
        powers[strong] = HOST_POWER;
        let mut sim = Simulation::with_power(&powers);

        let place = sim.place((strong + 1) % 4);

        assert_eq!(place, strong);
    }
}

/// Fails if a process that did not accept a submission gets the next one, or is excluded for good.
#[test]
fn a_process_that_takes_no_submission_gets_none_for_a_while() {
    let mut sim = Simulation::new(4);
    let first = sim.place(0);
    let asked = (first + 1) % 4;

    sim.message(asked, Message::SubmissionNotTaken(address(first)));
    let meanwhile = sim.place(asked);
    sim.run(3_500);
    let later = sim.place(asked);

    assert_ne!(meanwhile, first);
    assert_eq!(later, first);
}

/// Fails if new jobs of a route are not placed at the process that took over its last job.
#[test]
fn new_jobs_follow_a_job_that_was_taken_over() {
    let mut sim = Simulation::new(4);
    let first = sim.place(0);
    sim.submit(first, 400);
    sim.run(600);
    sim.kill(first);
    sim.run(4_000);
    sim.start(first);
    sim.run(600);

    let places: BTreeSet<usize> = (0..4).map(|node| sim.place(node)).collect();

    assert_eq!(places.len(), 1, "{places:?}");
    assert!(!places.contains(&first), "{places:?}");
}
