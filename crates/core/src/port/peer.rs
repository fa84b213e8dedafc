//! Ports between entries. An entry implements `PeerFront`, an adapter `PeerPort`.

use std::net::SocketAddr;

use flume::Sender;

use crate::decision::config::TeamState;
use crate::domain::call::Counter;
use crate::domain::ids::Incarnation;
use crate::domain::ids::Revision;
use crate::domain::name::HostName;
use crate::domain::name::TeamName;
use crate::port::target::CallGuard;

/// State of an entry, exchanged with other entries in heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatState {
    /// Host of the entry.
    pub host: HostName,
    /// Run of the entry's process.
    pub incarnation: Incarnation,
    /// Revision up to which the entry's configuration is complete, or zero before the first read.
    pub revision: Revision,
    /// True if the entry itself has had contact with the platform within the contact limit.
    pub platform: bool,
}

/// An update of another entry's configuration.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    /// Changed teams with their new state.
    pub teams: Vec<(TeamName, TeamState)>,
    /// Revision up to which the updates sent so far are complete, or `None` if more follow.
    pub complete: Option<Revision>,
}

/// Service of an entry for other entries.
pub trait PeerFront: Send + Sync {
    /// Sends the teams that changed after a revision, and then each change, until the guard is
    /// dropped.
    fn follow(&self, after: Revision, updates: Sender<PeerUpdate>) -> Box<dyn CallGuard>;

    /// Processes the heartbeat of another entry and returns the state of this one.
    fn heartbeat(&self, state: HeartbeatState) -> HeartbeatState;

    /// Replies with the highest usage counters that the entry knows.
    fn counters(&self, reply: Sender<Vec<Counter>>);
}

/// Client of other entries.
pub trait PeerPort: Send + Sync {
    /// Follows the configuration of a peer. The sender is dropped when the stream ends, and
    /// dropping the guard ends it.
    fn follow(
        &self,
        peer: SocketAddr,
        after: Revision,
        updates: Sender<PeerUpdate>,
    ) -> Box<dyn CallGuard>;

    /// Exchanges heartbeats with a peer. The sender is dropped without a reply if the peer does not
    /// answer in time.
    fn heartbeat(
        &self,
        peer: SocketAddr,
        state: HeartbeatState,
        reply: Sender<HeartbeatState>,
    ) -> Box<dyn CallGuard>;
}
