//! Choice of the process from which watched objects are received, and of relays for store calls.
//!
//! Calls to the object API are limited and priced, so in a larger fleet only a few processes watch
//! it and the others follow one of them. The watchers are the first processes in a hash order, so
//! all processes agree on them without communication.
//!
//! A process that gets no answer from the object API also follows another process and sends its
//! calls through relays, so that it can continue to serve.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::place::hash_rank;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::FeedEnd;
use crate::decision::gateway::message::Source;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::time::Time;

/// Maximum number of processes with which every one of them watches the object API itself.
const MAX_DIRECT_FLEET: usize = 6;

/// Number of processes that watch the object API in a larger fleet.
const WATCHER_COUNT: usize = 2;

/// Time without an answer after which the object API counts as unavailable for this process.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(400);

/// Number of processes that relay calls to the object API.
const RELAY_COUNT: usize = 4;

/// Exclusion time of an unresponsive process, and maximum of all exclusion times.
const MAX_EXCLUSION_TIME: Duration = Duration::from_secs(5);

/// Initial exclusion time of a process without contact to the object API, which may be about to
/// watch it. It doubles with each failed try, so that all other processes are tried as well.
const MIN_EXCLUSION_TIME: Duration = Duration::from_millis(600);

/// Time after which the search for a process that forwards objects is abandoned.
const FEED_SEARCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which this process watches the object API itself after an abandoned search.
const DIRECT_WATCH_TIME: Duration = Duration::from_secs(2);

/// Time after the last failed try until the failures of a process are dropped.
const FAILURE_RETENTION: Duration = Duration::from_secs(10);

/// Delay of the claim of the duty for each place behind the watchers.
const CLAIM_DELAY: Duration = Duration::from_millis(700);

/// Maximum of that delay.
const MAX_CLAIM_DELAY: Duration = Duration::from_secs(8);

/// Chosen source of watched objects and the failures of other sources.
#[derive(Debug)]
pub(in crate::decision::gateway) struct Feed {
    source: Source,
    /// Time since which the source is the object API.
    store_since: Time,
    /// Processes that did not forward objects.
    failed_peers: BTreeMap<SocketAddr, FailedPeer>,
    /// Start of the search for a process that forwards objects, or `None` while objects arrive.
    search_start: Option<Time>,
    /// Time until which this process watches the object API itself.
    direct_until: Time,
    /// Time since which the object API does not answer direct calls of this process.
    outage_start: Option<Time>,
    /// Processes that relay calls to the object API.
    relays: Vec<Peer>,
}

/// Failed tries to receive objects from a process.
#[derive(Clone, Copy, Debug)]
struct FailedPeer {
    /// Time of the last failed try.
    last_try: Time,
    /// Time until which the process is excluded.
    excluded_until: Time,
    /// Number of consecutive failed tries.
    tries: u32,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            source: Source::Store,
            store_since: Time::default(),
            failed_peers: BTreeMap::new(),
            search_start: None,
            direct_until: Time::default(),
            outage_start: None,
            relays: Vec::new(),
        }
    }
}

impl Gateway {
    /// Returns `true` if this process may claim the duty. Followers leave it to the watchers, which
    /// limits the number of lease reads. After an outage all processes of a large fleet watch the store
    /// for a while, so those that are no watchers otherwise wait longer the later they come in the order.
    pub(in crate::decision::gateway) fn may_hold_duty(&self) -> bool {
        if self.feed.source != Source::Store {
            return false;
        }
        let mut peers: Vec<&Peer> = self.all_peers().collect();
        if peers.len() <= MAX_DIRECT_FLEET {
            return true;
        }
        peers.sort_by_key(|peer| hash_rank("watch", &peer.host));
        let me = &self.settings.peer.host;
        let place = peers.iter().position(|peer| peer.host == *me);
        let behind = place
            .unwrap_or(peers.len())
            .saturating_sub(WATCHER_COUNT - 1);
        let delay = CLAIM_DELAY.saturating_mul(u32::try_from(behind).unwrap_or(u32::MAX));
        self.now >= self.feed.store_since + delay.min(MAX_CLAIM_DELAY)
    }

    pub(in crate::decision::gateway) fn feed_lost(&mut self, address: SocketAddr, end: FeedEnd) {
        let now = self.now;
        let tries = 1 + self
            .feed
            .failed_peers
            .get(&address)
            .map_or(0, |failure| failure.tries);
        let time = match end {
            FeedEnd::Unresponsive => MAX_EXCLUSION_TIME,
            FeedEnd::Disconnected => MIN_EXCLUSION_TIME * 2_u32.saturating_pow(tries.min(8) - 1),
        };
        let failure = FailedPeer {
            last_try: now,
            excluded_until: now + time.min(MAX_EXCLUSION_TIME),
            tries,
        };
        self.feed.failed_peers.insert(address, failure);
        self.feed.search_start.get_or_insert(now);
        self.target_watch.lost(now);
        self.tick_source();
    }

    /// Records that objects arrive, which ends the search.
    pub(in crate::decision::gateway) fn objects_received(&mut self) {
        self.feed.search_start = None;
    }

    /// Handles the result of a direct probe of the object API.
    pub(in crate::decision::gateway) fn store_probed(&mut self, up: bool) {
        if up {
            // The watchers were excluded while they had no contact either.
            if self.feed.outage_start.take().is_some() {
                self.feed.failed_peers.clear();
                self.feed.search_start = None;
                self.feed.direct_until = self.now;
            }
            self.store.record(self.now, true);
        } else {
            self.feed.outage_start.get_or_insert(self.now);
        }
        self.tick_source();
    }

    /// Updates the source and the relays.
    pub(in crate::decision::gateway) fn tick_source(&mut self) {
        let now = self.now;
        self.feed
            .failed_peers
            .retain(|_, failure| now < failure.last_try + FAILURE_RETENTION);
        self.choose_relays();
        if self
            .feed
            .search_start
            .is_some_and(|at| now >= at + FEED_SEARCH_TIMEOUT)
        {
            self.feed.direct_until = now + DIRECT_WATCH_TIME;
        }
        let source = self.best_source();
        if source == self.feed.source {
            return;
        }
        if source == Source::Store {
            self.feed.store_since = now;
        }
        self.feed.source = source;
        self.log(Event::SourceChosen, vec![("source", format!("{source:?}"))]);
        self.effects.push(Effect::SetSource(source));
    }

    fn best_source(&self) -> Source {
        let me = &self.settings.peer.host;
        let store_down = self
            .feed
            .outage_start
            .is_some_and(|at| self.now.since(at) >= STORE_SILENCE_LIMIT);
        let mut peers: Vec<&Peer> = self.all_peers().collect();
        let large = peers.len() > MAX_DIRECT_FLEET;
        peers.sort_by_key(|peer| hash_rank("watch", &peer.host));
        let current = self.feed.source.peer().filter(|address| {
            let known = peers.iter().any(|peer| peer.address == *address);
            known && !self.is_excluded(*address)
        });
        if store_down {
            if let Some(current) = current {
                return Source::StandIn(current);
            }
            // The process whose last failed try is the oldest comes next, so all are tried in turn.
            let tried = |peer: &&&Peer| {
                self.feed
                    .failed_peers
                    .get(&peer.address)
                    .map(|failure| failure.last_try)
            };
            let others = peers.iter().filter(|peer| peer.host != *me);
            let other = others.min_by_key(tried);
            return other.map_or(Source::Store, |peer| Source::StandIn(peer.address));
        }
        // Excluded processes are replaced by the next ones in the order, which then watch.
        peers.retain(|peer| peer.host == *me || !self.is_excluded(peer.address));
        peers.truncate(WATCHER_COUNT);
        if !large || peers.iter().any(|peer| peer.host == *me) {
            return Source::Store;
        }
        if self.now < self.feed.direct_until {
            return Source::Store;
        }
        // A working source is kept, because a change transfers all objects again.
        if let Some(current) = current {
            return Source::Peer(current);
        }
        // The hash of the own host distributes followers over the watchers.
        let source = peers.iter().min_by_key(|p| hash_rank(me.as_str(), &p.host));
        source.map_or(Source::Store, |peer| Source::Peer(peer.address))
    }

    /// Returns the length of the current outage of direct calls, or `None`.
    pub(in crate::decision::gateway) fn direct_outage(&self) -> Option<Duration> {
        self.feed.outage_start.map(|at| self.now.since(at))
    }

    fn is_excluded(&self, address: SocketAddr) -> bool {
        let failure = self.feed.failed_peers.get(&address);
        failure.is_some_and(|failure| self.now < failure.excluded_until)
    }

    /// Chooses the processes that relay calls while the object API does not answer this one.
    fn choose_relays(&mut self) {
        let me = self.settings.peer.host.clone();
        let mut peers = self.others();
        peers.sort_by_key(|peer| hash_rank(me.as_str(), &peer.host));
        let relays: Vec<Peer> = peers
            .into_iter()
            .filter(|peer| !self.is_excluded(peer.address))
            .take(RELAY_COUNT)
            .collect();
        if relays != self.feed.relays {
            self.feed.relays.clone_from(&relays);
            self.effects.push(Effect::SetRelays(relays));
        }
    }
}
