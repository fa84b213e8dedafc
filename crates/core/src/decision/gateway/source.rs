//! From where this process learns of objects.
//!
//! Calls to the object API are limited and priced, so in a larger fleet only a few processes watch
//! it. The others follow one of these. They are the first ones in an order by hash, so every
//! process finds the same ones without talking to another.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::Source;
use crate::decision::gateway::peers::rank_of;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::time::Time;

/// Largest fleet in which every process watches the object API itself.
const DIRECT_MOST: usize = 6;

/// Processes of a larger fleet that watch the object API.
const WATCHERS: usize = 3;

/// Time for which a process that did not pass objects on is left out.
const AVOID: Duration = Duration::from_secs(5);

/// The chosen source.
#[derive(Debug)]
pub(super) struct Feed {
    source: Source,
    /// Processes that are left out, until when.
    avoided: BTreeMap<SocketAddr, Time>,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            source: Source::Store,
            avoided: BTreeMap::new(),
        }
    }
}

impl Gateway {
    /// Tells whether this process may become the holder of the duty. Those that follow another
    /// one leave it to those that watch, which bounds the reads of the lease.
    pub(super) fn challenges(&self) -> bool {
        self.feed.source == Source::Store
    }

    pub(super) fn feed_lost(&mut self, address: SocketAddr) {
        self.feed.avoided.insert(address, self.now + AVOID);
        self.tick_source();
    }

    /// Chooses the source anew.
    pub(super) fn tick_source(&mut self) {
        let now = self.now;
        self.feed.avoided.retain(|_, until| now < *until);
        let source = self.best_source();
        if source == self.feed.source {
            return;
        }
        self.feed.source = source;
        self.log(Event::SourceChosen, vec![("source", format!("{source:?}"))]);
        self.effects.push(Effect::Follow(source));
    }

    fn best_source(&self) -> Source {
        let mut peers: Vec<&Peer> = self.all_peers().collect();
        if peers.len() <= DIRECT_MOST {
            return Source::Store;
        }
        peers.sort_by_key(|peer| rank_of("watch", &peer.host));
        peers.truncate(WATCHERS);
        let me = &self.me.peer.host;
        if peers.iter().any(|peer| peer.host == *me) {
            return Source::Store;
        }
        // Followers spread over the watchers.
        peers.sort_by_key(|peer| rank_of(me.as_str(), &peer.host));
        let usable = |peer: &&&Peer| !self.feed.avoided.contains_key(&peer.address);
        let best = peers.iter().find(usable);
        best.map_or(Source::Store, |peer| Source::Peer(peer.address))
    }
}
