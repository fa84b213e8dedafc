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

/// What an entry tells another of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatState {
    /// Host of the entry.
    pub host: HostName,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Revision up to which the entry's configuration is complete. Zero before the first read.
    pub revision: Revision,
    /// True if the entry itself has heard from the platform within the contact limit.
    pub platform: bool,
}

/// A part of an entry's configuration.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    /// Changed teams.
    pub teams: Vec<(TeamName, TeamState)>,
    /// Revision up to which the updates of the stream are complete, or none if more follow.
    pub complete: Option<Revision>,
}

/// What an entry offers to other entries.
pub trait PeerFront: Send + Sync {
    /// Sends the teams above a revision, and then each change, until the guard is dropped.
    fn follow(&self, after: Revision, updates: Sender<PeerUpdate>) -> Box<dyn CallGuard>;

    /// Takes in a caller's pulse and returns the entry's own.
    fn heartbeat(&self, pulse: HeartbeatState) -> HeartbeatState;

    /// Answers with the highest usage counters that the entry has seen.
    fn counters(&self, reply: Sender<Vec<Counter>>);
}

/// Calls to other entries.
pub trait PeerPort: Send + Sync {
    /// Receives the updates of a peer. The sender is dropped when the stream ends.
    fn follow(
        &self,
        peer: SocketAddr,
        after: Revision,
        updates: Sender<PeerUpdate>,
    ) -> Box<dyn CallGuard>;

    /// Exchanges pulses with a peer. The sender is dropped if the peer does not answer in time.
    fn heartbeat(
        &self,
        peer: SocketAddr,
        pulse: HeartbeatState,
        reply: Sender<HeartbeatState>,
    ) -> Box<dyn CallGuard>;
}
