//! Decides whether a node may serve and whether its known keys are still valid.
//!
//! A node may check keys while it has recent contact with the platform, with an entry that has
//! such contact, or with a majority of the entries. It must also hold the highest revision that a
//! peer has reported. Contact counts from the time before the request was sent, so that a delayed
//! answer does not count as recent.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::domain::ids::Incarnation;
use crate::domain::ids::Revision;
use crate::domain::name::HostName;
use crate::domain::time::Time;
use crate::port::peer::HeartbeatState;

/// Time without contact after which keys are stale. Together with the duration of one watch call,
/// it bounds the time until the withdrawal of a key takes effect to a few seconds.
pub const CONTACT_LIMIT: Duration = Duration::from_secs(5);

/// Time that a running node has to reach a revision that a peer has reported. Without it, each
/// change would cause requests to be refused, because it reaches the entries at different times.
pub const CATCH_UP_LIMIT: Duration = Duration::from_secs(2);

/// Time without an answer of the platform after which a node sends heartbeats to all entries. It
/// leaves two rounds of heartbeats before `CONTACT_LIMIT`.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(2500);

/// Number of entries to which a node in contact with the platform sends heartbeats in one round. A
/// few are enough to learn of a higher revision. All of them would take each node 350 calls per
/// second at the planned fleet size.
pub const PEERS_PER_ROUND: usize = 3;

/// Maximum number of reported revisions that a node tracks until it reaches them. Further ones
/// replace the last.
const MAX_PENDING_REVISIONS: usize = 64;

/// Recency of a node's contacts and configuration.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    peers: BTreeMap<HostName, Peer>,
    /// Time at which the last answered request to the platform was sent.
    platform: Option<Time>,
    /// Revision up to which the configuration is complete.
    applied: Revision,
    /// Whether a complete configuration was read.
    complete: bool,
    ready: bool,
    /// Reported revisions that were not reached yet, with the time of the report.
    pending: VecDeque<(Revision, Time)>,
    /// Highest revision that a peer has reported.
    floor: Revision,
    /// Index of the first entry to ask in the next round.
    next_peer: usize,
}

/// Last heartbeat answer of one entry.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// Time at which the last answered heartbeat was sent.
    last_answer: Option<Time>,
    revision: Revision,
    /// Whether the entry was in contact with the platform.
    platform: bool,
}

/// Operations that a node may currently perform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Readiness {
    /// Whether the node has read a configuration at or above the floor.
    pub ready: bool,
    /// Whether the node may check the keys of requests.
    pub keys: bool,
}

/// Source from which a node reads its configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform.
    Platform,
    /// This entry, which is in contact with the platform or has a higher revision.
    Peer(HostName),
}

impl Freshness {
    /// Replaces the list of the other entries. Entries in both lists keep their state.
    pub fn set_peers(&mut self, hosts: impl IntoIterator<Item = HostName>) {
        let mut old = std::mem::take(&mut self.peers);
        let kept = hosts
            .into_iter()
            .map(|host| (host.clone(), old.remove(&host).unwrap_or_default()));
        self.peers = kept.collect();
    }

    /// Records that the platform answered a request that was sent at `asked`.
    pub fn platform_answered(&mut self, asked: Time) {
        self.platform = self.platform.max(Some(asked));
    }

    /// Records that the node's configuration is complete up to this revision.
    pub fn applied(&mut self, revision: Revision) {
        self.complete = true;
        self.applied = self.applied.max(revision);
        self.pending.retain(|(told, _)| *told > self.applied);
        self.ready |= self.applied >= self.floor;
    }

    /// Handles the answer to a heartbeat that was sent at `asked`.
    pub fn peer_answered(&mut self, asked: Time, now: Time, heartbeat: &HeartbeatState) {
        self.observe_revision(now, heartbeat.revision);
        let Some(peer) = self.peers.get_mut(&heartbeat.host) else {
            return;
        };
        if peer.last_answer.is_some_and(|answered| answered > asked) {
            return;
        }
        *peer = Peer {
            last_answer: Some(asked),
            revision: heartbeat.revision,
            platform: heartbeat.platform,
        };
    }

    /// Handles a revision that an entry reported without being asked. It does not count as contact,
    /// because it may be outdated and the network may be cut in the other direction.
    pub fn observe_revision(&mut self, now: Time, revision: Revision) {
        if revision <= self.floor {
            return;
        }
        self.floor = revision;
        if revision <= self.applied {
            return;
        }
        let full = self.pending.len() >= MAX_PENDING_REVISIONS;
        match self.pending.back_mut() {
            Some(last) if full => last.0 = revision,
            _ => self.pending.push_back((revision, now)),
        }
    }

    /// Returns the operations that the node may perform at `now`.
    pub fn readiness(&self, now: Time) -> Readiness {
        Readiness {
            ready: self.ready,
            keys: self.keys_until().is_some_and(|until| now < until),
        }
    }

    /// Returns the time until which keys may be checked without further contact, or `None` if they
    /// may not be checked. A process that was paused must compare it with the clock before it uses
    /// state from before the pause.
    pub fn keys_until(&self) -> Option<Time> {
        let contact = self.last_contact().filter(|_| self.ready)? + CONTACT_LIMIT;
        let pending = self.pending.front();
        let behind = pending.map(|(_, told)| *told + CATCH_UP_LIMIT);
        Some(behind.map_or(contact, |behind| contact.min(behind)))
    }

    /// Returns the heartbeat state to send to other entries.
    pub fn heartbeat(&self, now: Time, host: HostName, incarnation: Incarnation) -> HeartbeatState {
        HeartbeatState {
            host,
            incarnation,
            revision: if self.complete {
                self.applied
            } else {
                Revision(0)
            },
            platform: self.platform_within(now, CONTACT_LIMIT),
        }
    }

    /// Returns the entries to which to send heartbeats in this round: a few in rotation, or all if
    /// the platform does not answer.
    pub fn peers_to_ask(&mut self, now: Time) -> Vec<HostName> {
        let hosts: Vec<_> = self.peers.keys().cloned().collect();
        if !self.ready || !self.platform_within(now, PLATFORM_TIMEOUT) {
            return hosts;
        }
        let start = self.next_peer.checked_rem(hosts.len()).unwrap_or(0);
        self.next_peer = start + PEERS_PER_ROUND;
        let rotated = hosts.iter().cycle().skip(start);
        rotated
            .take(PEERS_PER_ROUND.min(hosts.len()))
            .cloned()
            .collect()
    }

    /// Returns the source from which to read the configuration.
    pub fn source(&self, now: Time) -> Source {
        let behind = self.applied < self.floor;
        if self.platform_within(now, PLATFORM_TIMEOUT) && !behind {
            return Source::Platform;
        }
        let answered = self.peers.iter().filter(|(_, p)| is_recent(p, now));
        let best = answered.max_by_key(|(_, p)| (p.revision, p.platform));
        match best {
            Some((host, p)) if p.platform || p.revision > self.applied || !self.complete => {
                Source::Peer(host.clone())
            }
            _ => Source::Platform,
        }
    }

    /// Returns the lowest revision at which the node may become ready to serve.
    pub fn floor(&self) -> Revision {
        self.floor
    }

    /// Returns the latest time of contact with the platform, with an entry that was itself in
    /// contact with it, or with a majority of the entries.
    fn last_contact(&self) -> Option<Time> {
        let answered = self.peers.values().filter(|p| p.revision > Revision(0));
        let direct = answered.clone().filter(|p| p.platform);
        let indirect = direct.filter_map(|p| p.last_answer).max();
        let mut times: Vec<Time> = answered.filter_map(|p| p.last_answer).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let majority = times.get(self.majority() - 1).copied();
        self.platform.max(indirect).max(majority)
    }

    /// Returns the number of other entries that form a majority together with this node. It is at
    /// least one, because a node without peers cannot distinguish an outage of the platform from a
    /// network failure of its own.
    fn majority(&self) -> usize {
        self.peers.len().div_ceil(2).max(1)
    }

    fn platform_within(&self, now: Time, limit: Duration) -> bool {
        self.platform.is_some_and(|at| now.since(at) < limit)
    }
}

/// Returns `true` if an entry answered recently and had a configuration.
fn is_recent(peer: &Peer, now: Time) -> bool {
    peer.revision > Revision(0)
        && peer
            .last_answer
            .is_some_and(|at| now.since(at) < CONTACT_LIMIT)
}
