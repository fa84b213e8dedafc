//! Tells whether a node may serve, and whether it may still trust the keys it knows.
//!
//! A node may check keys while it has recent contact with the platform, itself or through an
//! entry in contact, or with a majority of the entries. In each case it must also hold the
//! highest revision that a peer has told it of. Contact counts from the moment before the
//! question was sent, so an answer that was delayed on its way cannot count as recent.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::domain::ids::Incarnation;
use crate::domain::ids::Revision;
use crate::domain::name::HostName;
use crate::domain::time::Time;
use crate::port::peer::HeartbeatState;

/// Time without contact after which keys are stale. With the time of one watch call it keeps a
/// withdrawal "within seconds".
pub const CONTACT_LIMIT: Duration = Duration::from_secs(5);

/// Time for a running node to reach a revision that a peer has told it of. Every change reaches
/// the entries at slightly different times, so without it each change would refuse requests.
pub const CATCH_UP_LIMIT: Duration = Duration::from_secs(2);

/// Silence of the platform after which a node asks all entries. It leaves two rounds of
/// heartbeats before `CONTACT_LIMIT`.
const ASK_ALL_AFTER: Duration = Duration::from_millis(2500);

/// Entries that a node in contact with the platform asks in one round. A few are enough to learn
/// of a higher revision, and all of them would cost each node 350 calls a second at target size.
pub const ASKED_IN_CONTACT: usize = 3;

/// Revisions that a node remembers until it reaches them. Further ones replace the last.
const UNMET_MOST: usize = 64;

/// What a node knows of its contacts.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    peers: BTreeMap<HostName, Peer>,
    platform: Option<Time>,
    applied: Revision,
    complete: bool,
    ready: bool,
    unmet: VecDeque<(Revision, Time)>,
    floor: Revision,
    turn: usize,
}

/// What a node knows of one entry.
#[derive(Clone, Debug, Default)]
struct Peer {
    heard: Option<Time>,
    revision: Revision,
    platform: bool,
}

/// What a node may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// True once the node has read a configuration at or above the floor.
    pub ready: bool,
    /// True if requests with keys may be checked.
    pub keys: bool,
}

/// From whom a node gets its configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform.
    Platform,
    /// An entry that is in contact with the platform or holds a higher revision.
    Peer(HostName),
}

impl Freshness {
    /// Replaces the list of the other entries. Those that stay keep what is known of them.
    pub fn know(&mut self, hosts: impl IntoIterator<Item = HostName>) {
        let mut old = std::mem::take(&mut self.peers);
        let kept = hosts
            .into_iter()
            .map(|host| (host.clone(), old.remove(&host).unwrap_or_default()));
        self.peers = kept.collect();
    }

    /// Notes that the platform answered a question which was sent at `asked`.
    pub fn platform_answered(&mut self, asked: Time) {
        self.platform = self.platform.max(Some(asked));
    }

    /// Notes that the node's configuration is complete up to a revision.
    pub fn applied(&mut self, revision: Revision) {
        self.complete = true;
        self.applied = self.applied.max(revision);
        self.unmet.retain(|(told, _)| *told > self.applied);
        self.ready |= self.applied >= self.floor;
    }

    /// Takes in the answer to a heartbeat which was sent at `asked`.
    pub fn peer_answered(&mut self, asked: Time, now: Time, pulse: &HeartbeatState) {
        self.told(now, pulse.revision);
        let Some(peer) = self.peers.get_mut(&pulse.host) else {
            return;
        };
        if peer.heard.is_some_and(|heard| heard > asked) {
            return;
        }
        *peer = Peer {
            heard: Some(asked),
            revision: pulse.revision,
            platform: pulse.platform,
        };
    }

    /// Takes in the revision that an entry told without being asked. It proves no contact, since
    /// it may be old, and the way back may be cut.
    pub fn told(&mut self, now: Time, revision: Revision) {
        if revision <= self.floor {
            return;
        }
        self.floor = revision;
        if revision <= self.applied {
            return;
        }
        let full = self.unmet.len() >= UNMET_MOST;
        match self.unmet.back_mut() {
            Some(last) if full => last.0 = revision,
            _ => self.unmet.push_back((revision, now)),
        }
    }

    /// Decides what the node may do now.
    pub fn standing(&self, now: Time) -> Standing {
        Standing {
            ready: self.ready,
            keys: self.keys_until().is_some_and(|until| now < until),
        }
    }

    /// Returns the time until which keys may be checked if nothing more is heard. A process that
    /// was paused compares it with the clock before it trusts what it knew before the pause.
    pub fn keys_until(&self) -> Option<Time> {
        let contact = self.last_contact().filter(|_| self.ready)? + CONTACT_LIMIT;
        let unmet = self.unmet.front();
        let behind = unmet.map(|(_, told)| *told + CATCH_UP_LIMIT);
        Some(behind.map_or(contact, |behind| contact.min(behind)))
    }

    /// Returns the pulse for other entries.
    pub fn pulse(&self, now: Time, host: HostName, incarnation: Incarnation) -> HeartbeatState {
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

    /// Returns the entries to ask in this round: some in turn, or all if the platform is silent.
    pub fn to_ask(&mut self, now: Time) -> Vec<HostName> {
        let hosts: Vec<_> = self.peers.keys().cloned().collect();
        if !self.ready || !self.platform_within(now, ASK_ALL_AFTER) {
            return hosts;
        }
        let start = self.turn.checked_rem(hosts.len()).unwrap_or(0);
        self.turn = start + ASKED_IN_CONTACT;
        let turns = hosts.iter().cycle().skip(start);
        turns
            .take(ASKED_IN_CONTACT.min(hosts.len()))
            .cloned()
            .collect()
    }

    /// Decides from whom to get the configuration.
    pub fn source(&self, now: Time) -> Source {
        let behind = self.applied < self.floor;
        if self.platform_within(now, ASK_ALL_AFTER) && !behind {
            return Source::Platform;
        }
        let heard = self.peers.iter().filter(|(_, p)| is_heard(p, now));
        let best = heard.max_by_key(|(_, p)| (p.revision, p.platform));
        match best {
            Some((host, p)) if p.platform || p.revision > self.applied || !self.complete => {
                Source::Peer(host.clone())
            }
            _ => Source::Platform,
        }
    }

    /// Returns the lowest revision at which this node may serve.
    pub fn floor(&self) -> Revision {
        self.floor
    }

    /// Returns the latest time at which the node was in contact: with the platform, with an
    /// entry in contact, or with enough entries for a majority.
    fn last_contact(&self) -> Option<Time> {
        let heard = self.peers.values().filter(|p| p.revision > Revision(0));
        let direct = heard.clone().filter(|p| p.platform);
        let through = direct.filter_map(|p| p.heard).max();
        let mut times: Vec<Time> = heard.filter_map(|p| p.heard).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let majority = times.get(self.majority() - 1).copied();
        self.platform.max(through).max(majority)
    }

    /// Returns the number of other entries that form a majority with this node. It is at least
    /// one: a node that knows no other cannot tell an outage from its own loss of contact.
    fn majority(&self) -> usize {
        self.peers.len().div_ceil(2).max(1)
    }

    fn platform_within(&self, now: Time, limit: Duration) -> bool {
        self.platform.is_some_and(|at| now.since(at) < limit)
    }
}

/// Tells whether an entry answered recently and had read a configuration.
fn is_heard(peer: &Peer, now: Time) -> bool {
    peer.revision > Revision(0) && peer.heard.is_some_and(|at| now.since(at) < CONTACT_LIMIT)
}
