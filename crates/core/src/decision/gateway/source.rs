//! From where this process learns of objects, and through whom it calls the object API.
//!
//! A process that the object API does not answer follows another one too, and makes its calls
//! through others, so that it can go on serving.
//!
//! Calls to the object API are limited and priced, so in a larger fleet only a few processes watch
//! it. The others follow one of these. They are the first ones in an order by hash, so every
//! process finds the same ones without talking to another.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::FeedEnd;
use crate::decision::gateway::message::Source;
use crate::decision::gateway::peers::rank_of;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::time::Time;

/// Largest fleet in which every process watches the object API itself.
const DIRECT_MOST: usize = 6;

/// Processes of a larger fleet that watch the object API.
const WATCHERS: usize = 2;

/// Time without an answer after which the object API counts as away for this process.
const AWAY: Duration = Duration::from_millis(400);

/// Processes through which calls are made.
const RELAYS: usize = 2;

/// Time for which a process that does not answer is left out.
const AVOID_SILENT: Duration = Duration::from_secs(5);

/// Time for which a process that has no contact itself is left out. It may be about to watch.
const AVOID_BLIND: Duration = Duration::from_millis(600);

/// The chosen source.
#[derive(Debug)]
pub(super) struct Feed {
    source: Source,
    /// Processes that are left out, until when.
    avoided: BTreeMap<SocketAddr, Time>,
    /// Since when the object API does not answer this process itself.
    away: Option<Time>,
    /// Processes through which calls are made.
    relays: Vec<SocketAddr>,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            source: Source::Store,
            avoided: BTreeMap::new(),
            away: None,
            relays: Vec::new(),
        }
    }
}

impl Gateway {
    /// Tells whether this process may become the holder of the duty. Those that follow another
    /// one leave it to those that watch, which bounds the reads of the lease.
    pub(super) fn challenges(&self) -> bool {
        self.feed.source == Source::Store
    }

    pub(super) fn feed_lost(&mut self, address: SocketAddr, end: FeedEnd) {
        let time = match end {
            FeedEnd::Silent => AVOID_SILENT,
            FeedEnd::Blind => AVOID_BLIND,
        };
        self.feed.avoided.insert(address, self.now + time);
        self.tick_source();
    }

    /// Takes in whether the object API answers this process itself.
    pub(super) fn probed(&mut self, up: bool) {
        if up {
            self.feed.away = None;
        } else {
            self.feed.away.get_or_insert(self.now);
        }
        self.tick_source();
    }

    /// Chooses the source anew.
    pub(super) fn tick_source(&mut self) {
        let now = self.now;
        self.feed.avoided.retain(|_, until| now < *until);
        self.choose_relays();
        let source = self.best_source();
        if source == self.feed.source {
            return;
        }
        self.feed.source = source;
        self.log(Event::SourceChosen, vec![("source", format!("{source:?}"))]);
        self.effects.push(Effect::Follow(source));
    }

    fn best_source(&self) -> Source {
        let me = &self.me.peer.host;
        let away = self.feed.away.is_some_and(|at| self.now.since(at) >= AWAY);
        let mut peers: Vec<&Peer> = self.all_peers().collect();
        let large = peers.len() > DIRECT_MOST;
        // Those that do not pass objects on give way to the next ones, which then watch.
        peers.retain(|p| p.host == *me || !self.feed.avoided.contains_key(&p.address));
        peers.sort_by_key(|peer| rank_of("watch", &peer.host));
        if away {
            let other = peers.iter().find(|peer| peer.host != *me);
            return other.map_or(Source::Store, |peer| Source::StandIn(peer.address));
        }
        peers.truncate(WATCHERS);
        if !large || peers.iter().any(|peer| peer.host == *me) {
            return Source::Store;
        }
        // Followers spread over the watchers.
        let source = peers.iter().min_by_key(|p| rank_of(me.as_str(), &p.host));
        source.map_or(Source::Store, |peer| Source::Peer(peer.address))
    }

    /// Chooses the processes through which calls are made if the object API is away here.
    fn choose_relays(&mut self) {
        let me = self.me.peer.host.clone();
        let mut peers = self.others();
        peers.sort_by_key(|peer| rank_of(me.as_str(), &peer.host));
        let addresses = peers.iter().map(|peer| peer.address);
        let relays: Vec<SocketAddr> = addresses
            .filter(|a| !self.feed.avoided.contains_key(a))
            .take(RELAYS)
            .collect();
        if relays != self.feed.relays {
            self.feed.relays.clone_from(&relays);
            self.effects.push(Effect::Relay(relays));
        }
    }
}
