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
const AVOID_MOST: Duration = Duration::from_secs(5);

/// Time for which a process that has no contact itself is left out at first, since it may be about
/// to watch. It doubles with each further try, so that all others get their turn.
const AVOID_BLIND: Duration = Duration::from_millis(600);

/// Longest time for which this process looks for another one that passes objects on.
const BLIND_MOST: Duration = Duration::from_millis(800);

/// Time for which this process watches the object API after that.
const ALONE: Duration = Duration::from_secs(5);

/// Time after which tries that failed are forgotten.
const REMEMBER: Duration = Duration::from_secs(10);

/// The chosen source.
#[derive(Debug)]
pub(super) struct Feed {
    source: Source,
    /// Processes that passed no objects on.
    lost: BTreeMap<SocketAddr, Lost>,
    /// Since when no other process passes objects on, although one was asked.
    blind: Option<Time>,
    /// This process watches the object API itself before this time.
    alone: Time,
    /// Since when the object API does not answer this process itself.
    away: Option<Time>,
    /// Processes through which calls are made.
    relays: Vec<SocketAddr>,
}

/// A process that passed no objects on.
#[derive(Clone, Copy, Debug)]
struct Lost {
    /// Time of the last try.
    at: Time,
    /// It is left out before this time.
    until: Time,
    /// Tries in a row that failed.
    tries: u32,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            source: Source::Store,
            lost: BTreeMap::new(),
            blind: None,
            alone: Time::default(),
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
        let now = self.now;
        let tries = 1 + self.feed.lost.get(&address).map_or(0, |lost| lost.tries);
        let time = match end {
            FeedEnd::Silent => AVOID_MOST,
            FeedEnd::Blind => AVOID_BLIND * 2_u32.saturating_pow(tries.min(8) - 1),
        };
        let lost = Lost {
            at: now,
            until: now + time.min(AVOID_MOST),
            tries,
        };
        self.feed.lost.insert(address, lost);
        self.feed.blind.get_or_insert(now);
        self.tick_source();
    }

    /// Notes that objects come in.
    pub(super) fn feed_found(&mut self) {
        self.feed.blind = None;
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
        self.feed.lost.retain(|_, lost| now < lost.at + REMEMBER);
        self.choose_relays();
        if self.feed.blind.is_some_and(|at| now >= at + BLIND_MOST) {
            self.feed.alone = now + ALONE;
        }
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
        peers.sort_by_key(|peer| rank_of("watch", &peer.host));
        let current = self.feed.source.peer().filter(|address| {
            let known = peers.iter().any(|peer| peer.address == *address);
            known && !self.is_avoided(*address)
        });
        if away {
            if let Some(current) = current {
                return Source::StandIn(current);
            }
            // All others are tried in turn.
            let tried = |peer: &&&Peer| self.feed.lost.get(&peer.address).map(|lost| lost.at);
            let others = peers.iter().filter(|peer| peer.host != *me);
            let other = others.min_by_key(tried);
            return other.map_or(Source::Store, |peer| Source::StandIn(peer.address));
        }
        // Those that do not pass objects on give way to the next ones, which then watch.
        peers.retain(|peer| peer.host == *me || !self.is_avoided(peer.address));
        peers.truncate(WATCHERS);
        if !large || peers.iter().any(|peer| peer.host == *me) {
            return Source::Store;
        }
        // Followers spread over the watchers.
        if self.now < self.feed.alone {
            return Source::Store;
        }
        // One that passes objects on is kept: a change brings all objects again.
        if let Some(current) = current {
            return Source::Peer(current);
        }
        let source = peers.iter().min_by_key(|p| rank_of(me.as_str(), &p.host));
        source.map_or(Source::Store, |peer| Source::Peer(peer.address))
    }

    fn is_avoided(&self, address: SocketAddr) -> bool {
        let lost = self.feed.lost.get(&address);
        lost.is_some_and(|lost| self.now < lost.until)
    }

    /// Chooses the processes through which calls are made if the object API is away here.
    fn choose_relays(&mut self) {
        let me = self.me.peer.host.clone();
        let mut peers = self.others();
        peers.sort_by_key(|peer| rank_of(me.as_str(), &peer.host));
        let addresses = peers.iter().map(|peer| peer.address);
        let relays: Vec<SocketAddr> = addresses
            .filter(|address| !self.is_avoided(*address))
            .take(RELAYS)
            .collect();
        if relays != self.feed.relays {
            self.feed.relays.clone_from(&relays);
            self.effects.push(Effect::Relay(relays));
        }
    }
}
