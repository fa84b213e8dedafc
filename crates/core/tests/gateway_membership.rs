//! Entries of gateways that are late, missing or old, and jobs whose runner is wrongly held for gone.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::domain::fleet::Peer;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;

use crate::gateway_support::JOB_RETENTION;
use crate::gateway_support::STEP_MS;
use crate::gateway_support::Simulation;
use crate::gateway_support::StoreFault;
use crate::gateway_support::address;
use crate::gateway_support::batch_id;
use crate::gateway_support::host;
use crate::gateway_support::workspace;

/// Number of items of the job.
const ITEMS: usize = 20;

/// Duration of a generation in milliseconds.
const GENERATION_MS: u64 = 6_000;

/// Time after which a call without an answer takes effect, in milliseconds, and some more.
const LATE_MS: u64 = 3_500;

/// Shortest run that counts if its sender ends it, in milliseconds.
const SHORTEST_RUN_MS: u64 = 1_000;

/// Starts gateways, of which one runs a job whose items have all begun. Returns the runner too.
fn running_job(gateways: usize) -> (Simulation, usize) {
    let mut sim = Simulation::new(gateways);
    sim.generation_ms = GENERATION_MS;
    sim.submit(0, ITEMS);
    sim.run(1_000);
    let runner = (0..gateways).find(|index| sim.runs_jobs(*index)).unwrap();
    assert_eq!(sim.starts.len(), ITEMS);
    (sim, runner)
}

/// Makes a gateway believe that another one has no entry.
fn hide_entry(sim: &mut Simulation, from: usize, of: usize) {
    let gone = WatchedObject::PeerGone(host(of), None);
    sim.message(from, Message::Changed(gone));
}

fn is_listed(sim: &Simulation, index: usize) -> bool {
    sim.holds(Kind::Peers, host(index).as_str())
}

/// Hides from each gateway the entries of the others that a rule selects, and cuts its way to them.
fn hide_entries(sim: &mut Simulation, hidden: impl Fn(usize, usize) -> bool) {
    let count = sim.nodes.len();
    for from in 0..count {
        for of in (0..count).filter(|of| *of != from && hidden(from, *of)) {
            hide_entry(sim, from, of);
            sim.nodes[from].unreached.insert(of);
        }
    }
}

/// Guards against the removal of a new entry by the deletion of the run before, which had no answer and
/// takes effect late.
#[test]
fn a_late_deletion_spares_the_entry_of_the_next_run() {
    let mut sim = Simulation::new(2);
    sim.nodes[0].fault = StoreFault::Delayed;
    sim.message(0, Message::Drain);
    sim.run(100);
    sim.kill(0);
    sim.nodes[0].fault = StoreFault::None;
    sim.start(0);
    sim.run(1_000);
    let (_, before) = sim.peer_entry(0).unwrap();

    let removed = (0..LATE_MS / STEP_MS).any(|_| {
        sim.run(STEP_MS);
        !is_listed(&sim, 0)
    });

    assert!(!removed, "the entry was removed");
    assert_eq!(before.incarnation, Incarnation(2));
}

/// Guards against a gateway that is off the list for good after its entry was removed, whoever removed it.
#[test]
fn an_entry_that_is_gone_is_written_again() {
    let mut sim = Simulation::new(3);
    sim.remove(Kind::Peers, host(1).as_str());
    sim.run(5_000);

    assert!(is_listed(&sim, 1));
}

/// Guards against an entry that a gateway writes again although it is leaving.
#[test]
fn a_gateway_that_leaves_stays_off_the_list() {
    let mut sim = Simulation::new(3);
    sim.message(1, Message::Drain);
    sim.run(5_000);

    assert!(!is_listed(&sim, 1));
}

/// Guards against a job that is taken from a runner that answers, because its entry is missing or names
/// another run.
#[test]
fn a_runner_that_answers_keeps_its_job_whatever_the_list_says() {
    for other_run in [false, true] {
        let (mut sim, runner) = running_job(4);
        for index in (0..4).filter(|index| *index != runner) {
            if other_run {
                let (revision, peer) = sim.peer_entry(runner).unwrap();
                let incarnation = Incarnation(peer.incarnation.0 + 7);
                let peer = Peer {
                    incarnation,
                    ..peer
                };
                let seen = WatchedObject::Peer(Revision(revision.0 + 1), peer);
                sim.message(index, Message::Changed(seen));
            } else {
                hide_entry(&mut sim, index, runner);
            }
        }

        sim.run(2 * GENERATION_MS);

        assert_eq!(sim.runner_changes, [], "another run: {other_run}");
        assert_eq!(sim.listed().len(), ITEMS, "another run: {other_run}");
    }
}

/// Guards against a job that is taken from a runner which was restarted and took it back, because the last
/// answer of its host came from the earlier run.
#[test]
fn a_restarted_runner_that_took_its_job_back_keeps_it() {
    let (mut sim, runner) = running_job(4);
    sim.run(2_000);
    sim.kill(runner);
    sim.start(runner);
    sim.run(2 * GENERATION_MS);

    assert_eq!(sim.runner_changes.len(), 1, "{:?}", sim.runner_changes);
}

/// Guards against a job that stays with a runner that is gone and has no entry.
#[test]
fn a_runner_that_ended_without_an_entry_is_replaced_soon() {
    let (mut sim, runner) = running_job(4);
    sim.remove(Kind::Peers, host(runner).as_str());
    sim.kill(runner);
    sim.run(SHORTEST_RUN_MS);

    assert!((0..4).any(|index| index != runner && sim.runs_jobs(index)));
}

/// Guards against a step that gateways take from each other without end, so that no item is done, while
/// each is blind to all others or to some.
#[test]
fn blind_gateways_finish_a_step() {
    type Rule = fn(usize, usize) -> bool;
    let rules: [(&str, Rule); 2] = [
        ("all", |_, _| true),
        ("some", |from, of| (from * 7 + of * 3) % 5 < 2),
    ];
    for gateways in [4, 60] {
        for (name, hidden) in rules {
            let (mut sim, _) = running_job(gateways);
            hide_entries(&mut sim, hidden);

            sim.run(30_000);

            let what = format!("{gateways} gateways blind to {name}");
            let changes = &sim.runner_changes;
            let pairs = changes.windows(2);
            let fast = pairs.filter(|pair| pair[1] - pair[0] < SHORTEST_RUN_MS);
            assert_eq!(fast.count(), 0, "{what}: {changes:?}");
            assert_eq!(sim.listed().len(), ITEMS, "{what}: {changes:?}");
        }
    }
}

/// Guards against an entry of an earlier run, or its removal, that a feed which is behind brings after the
/// entry of the present run.
#[test]
fn an_older_entry_does_not_replace_a_newer_one() {
    let mut sim = Simulation::new(2);
    let first = sim.place(0);
    let other = 1 - first;
    let (_, peer) = sim.peer_entry(first).unwrap();
    let older = Peer {
        address: address(other),
        incarnation: Incarnation(9_999),
        ..peer
    };
    let seen = WatchedObject::Peer(Revision(1), older);
    sim.message(other, Message::Changed(seen));
    let after_entry = sim.place(other);
    let gone = WatchedObject::PeerGone(host(first), Some(Revision(1)));
    sim.message(other, Message::Changed(gone));
    let after_removal = sim.place(other);

    assert_eq!(after_entry, first);
    assert_eq!(after_removal, first);
}

/// Removes a job with a store whose first answers in each half second get lost, from a phase of it on, and
/// whose calls then take effect late. Accepts a job of the same id after it.
fn remove_and_submit_again(phase: u64) -> Simulation {
    const PERIOD_MS: u64 = 500;
    let mut sim = Simulation::new(1);
    sim.submit(0, ITEMS);
    sim.run(GENERATION_MS);
    let end = Question::EndJob {
        id: batch_id(),
        workspace: workspace(),
    };
    sim.ask(0, end);
    sim.run(u64::try_from(JOB_RETENTION.as_millis()).unwrap() - GENERATION_MS);
    while sim.objects() > 0 && sim.now < 200_000 {
        let late = (sim.now + phase) % PERIOD_MS < 2 * STEP_MS;
        sim.nodes[0].fault = match late {
            true => StoreFault::Delayed,
            false => StoreFault::None,
        };
        sim.run(STEP_MS);
    }
    assert_eq!(sim.objects(), 0, "nothing is removed");
    sim.nodes[0].fault = StoreFault::None;
    sim.run(5 * STEP_MS);
    sim.submit(0, ITEMS);
    sim
}

/// Guards against a job of the same id that loses its parts or its head to the removal of the one before,
/// whose calls had no answer and take effect late.
#[test]
fn a_late_removal_spares_the_next_job_of_the_same_id() {
    for phase in (0..500).step_by(20) {
        let mut sim = remove_and_submit_again(phase);

        sim.run(LATE_MS);

        let what = format!("phase {phase}");
        assert!(sim.holds(Kind::Heads, batch_id().as_str()), "{what}");
        let part = format!("{}.0000", batch_id());
        assert!(sim.holds(Kind::Parts, &part), "{what}");
    }
}
