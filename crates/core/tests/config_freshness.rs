//! Simulates the freshness of keys in virtual time under network cuts, delays, restarts and
//! outages.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use sardinepath_core::decision::freshness::CATCH_UP_LIMIT;
use sardinepath_core::decision::freshness::CONTACT_LIMIT;
use sardinepath_core::decision::freshness::Freshness;
use sardinepath_core::decision::freshness::Readiness;
use sardinepath_core::decision::freshness::Source;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::peer::HeartbeatState;

const START: Time = Time(1_000_000);
const SERVING: Readiness = Readiness {
    ready: true,
    keys: true,
};

fn host(n: usize) -> HostName {
    HostName::from(format!("host-{n}"))
}

fn heartbeat(n: usize, revision: u64, platform: bool) -> HeartbeatState {
    HeartbeatState {
        host: host(n),
        incarnation: Incarnation(1),
        revision: Revision(revision),
        platform,
    }
}

/// Creates a node that knows this many other entries, has revision 5 and is in contact with the
/// platform.
fn serving_node(others: usize) -> Freshness {
    let mut node = Freshness::default();
    node.set_peers((0..others).map(host));
    node.platform_answered(START);
    node.applied(Revision(5));
    node
}

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Guards against a node without contact that continues to accept withdrawn keys.
#[test]
fn keys_are_stale_after_the_contact_limit() {
    let node = serving_node(2);

    assert_eq!(node.readiness(after(4_999)), SERVING);
    assert!(!node.readiness(after(5_000)).keys);
}

/// Guards against keyed requests that are refused in an outage of the platform although a majority
/// of the entries is in contact.
#[test]
fn majority_without_platform_keeps_keys_valid() {
    let mut node = serving_node(4);
    node.peer_answered(after(9_000), after(9_001), &heartbeat(0, 5, false));
    assert!(!node.readiness(after(9_100)).keys);

    node.peer_answered(after(9_050), after(9_051), &heartbeat(1, 5, false));

    assert!(node.readiness(after(9_100)).keys);
}

/// Guards against a withdrawal that is lost when the platform fails just after accepting it.
#[test]
fn higher_revision_of_a_peer_must_be_reached_in_an_outage() {
    let mut node = serving_node(2);
    node.peer_answered(after(9_000), after(9_000), &heartbeat(0, 6, false));

    assert_eq!(node.source(after(9_100)), Source::Peer(host(0)));
    assert!(!node.readiness(after(11_000)).keys);
    node.applied(Revision(6));

    assert!(node.readiness(after(11_000)).keys);
}

/// Guards against a one-way cut in which only messages to this node arrive.
#[test]
fn messages_without_an_answer_prove_no_contact() {
    let mut node = serving_node(2);

    for millis in (0..9_000).step_by(500) {
        node.observe_revision(after(millis), Revision(5));
    }

    assert!(!node.readiness(after(9_000)).keys);
}

/// Guards against delayed answers that count as recent contact.
#[test]
fn delayed_answer_counts_from_its_question() {
    let mut node = serving_node(1);

    node.platform_answered(after(2_000));
    node.peer_answered(after(2_000), after(8_000), &heartbeat(0, 5, true));

    assert!(!node.readiness(after(8_000)).keys);
}

/// Guards against restarted entries that confirm each other's keys without a configuration.
#[test]
fn peer_without_configuration_does_not_count() {
    let mut node = serving_node(2);

    node.peer_answered(after(9_000), after(9_000), &heartbeat(0, 0, false));

    assert!(!node.readiness(after(9_000)).keys);
}

/// Guards against a restarted node that serves from an older configuration than its peers.
#[test]
fn restarted_node_is_ready_only_at_the_floor() {
    let mut node = Freshness::default();
    node.set_peers([host(0)]);
    node.peer_answered(START, START, &heartbeat(0, 7, true));

    node.applied(Revision(6));
    assert_eq!(node.readiness(START), Readiness::default());
    node.applied(Revision(7));

    assert_eq!(node.readiness(START), SERVING);
}

/// Guards against a node without peers that mistakes its own loss of contact for an outage.
#[test]
fn lone_node_needs_the_platform() {
    let node = serving_node(0);

    assert!(!node.readiness(after(6_000)).keys);
}

/// Guards against heartbeats that exceed the budget for control traffic or that skip entries.
#[test]
fn contact_asks_a_few_in_turn_and_silence_asks_all() {
    let mut node = serving_node(10);

    let rounds = (0..4).flat_map(|_| node.peers_to_ask(after(1_000)));
    let mut asked: Vec<_> = rounds.collect();
    let calls = asked.len();
    asked.sort();
    asked.dedup();

    assert_eq!((calls, asked.len()), (12, 10));
    assert_eq!(node.peers_to_ask(after(4_000)).len(), 10);
}

/// Event that a node observes.
#[derive(Clone, Debug)]
enum Event {
    Wait(u64),
    Platform {
        delay: u64,
    },
    Peer {
        peer: usize,
        delay: u64,
        ahead: u64,
        platform: bool,
    },
    Told {
        ahead: u64,
    },
    Applied,
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    let peer = (0..4_usize, 0..7_000_u64, 0..3_u64, proptest::bool::ANY);
    prop_oneof![
        4 => (1..2_500_u64).prop_map(Event::Wait),
        1 => (0..7_000_u64).prop_map(|delay| Event::Platform { delay }),
        4 => peer.prop_map(|(peer, delay, ahead, platform)| {
            Event::Peer { peer, delay, ahead, platform }
        }),
        1 => (0..3_u64).prop_map(|ahead| Event::Told { ahead }),
        2 => proptest::strategy::Just(Event::Applied),
        1 => proptest::strategy::Just(Event::Restart),
    ]
}

/// Expected state, computed independently of the node.
#[derive(Debug, Default)]
struct Expected {
    now: u64,
    highest: u64,
    applied: u64,
    told: Vec<(u64, u64)>,
    platform: Option<u64>,
    peers: HashMap<usize, (u64, bool)>,
}

impl Expected {
    fn is_recent(&self, asked: u64) -> bool {
        self.now - asked < u64::try_from(CONTACT_LIMIT.as_millis()).unwrap()
    }

    fn in_contact(&self) -> bool {
        let heard = self
            .peers
            .values()
            .filter(|(asked, _)| self.is_recent(*asked));
        let heard: Vec<_> = heard.collect();
        self.platform.is_some_and(|asked| self.is_recent(asked))
            || heard.iter().any(|(_, platform)| *platform)
            || heard.len() >= 2
    }

    fn caught_up(&self) -> bool {
        let limit = u64::try_from(CATCH_UP_LIMIT.as_millis()).unwrap();
        let due = self.told.iter().filter(|(at, _)| self.now - at >= limit);
        due.max_by_key(|(_, revision)| *revision)
            .is_none_or(|(_, revision)| *revision <= self.applied)
    }
}

fn step(node: &mut Freshness, expected: &mut Expected, event: &Event) {
    let now = Time(expected.now);
    match *event {
        Event::Wait(millis) => expected.now += millis,
        Event::Platform { delay } => {
            let asked = expected.now - delay;
            node.platform_answered(Time(asked));
            expected.platform = expected.platform.max(Some(asked));
        }
        Event::Peer {
            peer,
            delay,
            ahead,
            platform,
        } => {
            let asked = expected.now - delay;
            expected.highest += ahead;
            node.peer_answered(
                Time(asked),
                now,
                &heartbeat(peer, expected.highest, platform),
            );
            expected.told.push((expected.now, expected.highest));
            let known = expected.peers.entry(peer).or_insert((asked, platform));
            if known.0 <= asked {
                *known = (asked, platform);
            }
        }
        Event::Told { ahead } => {
            expected.highest += ahead;
            node.observe_revision(now, Revision(expected.highest));
            expected.told.push((expected.now, expected.highest));
        }
        Event::Applied => {
            node.applied(Revision(expected.highest));
            expected.applied = expected.highest;
        }
        Event::Restart => {
            *node = Freshness::default();
            node.set_peers((0..4).map(host));
            let (now, highest) = (expected.now, expected.highest);
            *expected = Expected {
                now,
                highest,
                ..Expected::default()
            };
        }
    }
}

proptest! {
    /// Guards against a node that checks keys without recent contact or below a revision that a
    /// peer reported, after any sequence of cuts, delays, replays and restarts.
    #[test]
    fn keys_are_checked_only_in_contact_and_caught_up(
        events in proptest::collection::vec(event(), 1..80),
    ) {
        let mut node = Freshness::default();
        node.set_peers((0..4).map(host));
        let mut expected = Expected { now: START.0, highest: 1, ..Expected::default() };
        for event in &events {
            let floor = node.floor();

            step(&mut node, &mut expected, event);

            let readiness = node.readiness(Time(expected.now));
            prop_assert!(matches!(event, Event::Restart) || node.floor() >= floor);
            let allowed = expected.applied > 0 && expected.in_contact() && expected.caught_up();
            prop_assert!(!readiness.keys || allowed, "{:?} {:?}", expected, readiness);
            prop_assert!(!readiness.ready || expected.applied > 0);
        }
    }
}
