//! Sources of watched objects in fleets of gateways, in virtual time, with faults.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::collections::BTreeSet;

use sardinepath_core::decision::gateway::message::FeedEnd;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Source;
use sardinepath_core::decision::gateway::stored::Kind;

use crate::gateway_support::Simulation;
use crate::gateway_support::address;

fn watchers(sim: &Simulation) -> BTreeSet<usize> {
    let nodes = sim.nodes.iter().enumerate();
    let watching = nodes.filter(|(_, node)| node.source == Source::Store);
    watching.map(|(index, _)| index).collect()
}

/// Fails if silent watchers are not replaced, or if all gateways of a large fleet watch the store
/// in their place.
#[test]
fn two_others_watch_when_the_watchers_are_silent() {
    let mut sim = Simulation::new(12);
    let before = watchers(&sim);

    for node in 0..12 {
        for lost in &before {
            let lost = Message::FeedLost(address(*lost), FeedEnd::Unresponsive);
            sim.message(node, lost);
        }
    }
    sim.run(100);
    let after = watchers(&sim);

    assert_eq!(before.len(), 2);
    // The silent watchers still count themselves as watchers.
    assert_eq!(after.difference(&before).count(), 2, "{before:?} {after:?}");
}

/// Fails if a gateway searches for a watcher longer than the propagation of a change may take.
#[test]
fn a_gateway_that_finds_no_watcher_watches_itself() {
    let mut sim = Simulation::new(12);
    let watching = watchers(&sim);
    let blind = (0..12).find(|node| !watching.contains(node)).unwrap();

    for _ in 0..10 {
        if let Some(other) = sim.nodes[blind].source.peer() {
            sim.message(blind, Message::FeedLost(other, FeedEnd::Disconnected));
        }
        sim.run(100);
    }

    assert_eq!(sim.nodes[blind].source, Source::Store);
}

/// Fails if a follower leaves a working source when the exclusion of another one ends.
#[test]
fn a_follower_stays_where_it_gets_objects() {
    let mut sim = Simulation::new(12);
    let watching = watchers(&sim);
    let follower = (0..12).find(|node| !watching.contains(node)).unwrap();
    let mut tries = 0;
    while let Some(other) = sim.nodes[follower].source.peer()
        && watching.iter().any(|node| address(*node) == other)
    {
        sim.message(follower, Message::FeedLost(other, FeedEnd::Disconnected));
        sim.run(100);
        tries += 1;
        assert!(tries < 9, "no other gateway is asked");
    }
    let found = sim.nodes[follower].source;
    sim.message(follower, Message::WatchContact(Kind::Heads, true));

    sim.run(4_000);

    assert!(found.peer().is_some());
    assert_eq!(sim.nodes[follower].source, found);
}

/// Fails if a gateway without access to the store follows a gateway that does not watch it.
#[test]
fn a_gateway_without_the_store_follows_a_watcher() {
    let mut sim = Simulation::new(12);
    let watching = watchers(&sim);
    let cut = (0..12).find(|node| !watching.contains(node)).unwrap();

    sim.message(cut, Message::StoreProbed(false));
    sim.run(1_000);

    let addresses: Vec<_> = watching.iter().map(|node| address(*node)).collect();
    let source = sim.nodes[cut].source;
    assert!(
        matches!(source, Source::StandIn(a) if addresses.contains(&a)),
        "{source:?}"
    );
}
