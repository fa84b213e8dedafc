//! Entries of gateways that are late, missing or old, and jobs whose runner is wrongly held for gone.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::domain::fleet::Peer;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;

use crate::gateway_support::Simulation;
use crate::gateway_support::address;
use crate::gateway_support::host;

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
