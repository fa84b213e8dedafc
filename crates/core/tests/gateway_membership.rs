//! Entries of gateways that are late, missing or old, and jobs whose runner is wrongly held for gone.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::domain::fleet::Peer;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;

use crate::gateway_support::STEP_MS;
use crate::gateway_support::Simulation;
use crate::gateway_support::StoreFault;
use crate::gateway_support::address;
use crate::gateway_support::host;

/// Time after which a call without an answer takes effect, in milliseconds, and some more.
const LATE_MS: u64 = 3_500;

fn is_listed(sim: &Simulation, index: usize) -> bool {
    sim.holds(Kind::Peers, host(index).as_str())
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
