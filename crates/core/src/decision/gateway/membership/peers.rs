//! Known gateway processes, and the entry of this one among them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::membership::pings::Health;
use crate::decision::gateway::membership::pings::SILENCE_LIMIT;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::fleet::Peer;
use crate::domain::ids::Revision;
use crate::domain::name::HostName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Known processes and the health of those that run jobs.
#[derive(Debug, Default)]
pub(in crate::decision::gateway) struct Peers {
    pub(super) known: BTreeMap<HostName, Peer>,
    pub(super) health: BTreeMap<HostName, Health>,
    pub(super) announced: bool,
    pub(super) listed: bool,
    pub(super) next_announce: Time,
    /// Processes that get no submissions, with the end of the exclusion.
    pub(in crate::decision::gateway) excluded: BTreeMap<SocketAddr, Time>,
}

impl Gateway {
    /// Stores the address of this process, so that others can reach it.
    pub(in crate::decision::gateway) fn announce(&mut self) {
        let host: Arc<str> = Arc::from(self.settings.peer.host.as_str());
        let record = Record::Peer(self.settings.peer.clone());
        self.peers.next_announce = self.now + SILENCE_LIMIT;
        self.call_store(
            Purpose::Announce,
            StoreCall::Create(Kind::Peers, host, record),
        );
    }

    /// Handles the answer to the announcement. The entry of an earlier run is replaced.
    pub(in crate::decision::gateway) fn announcement_answered(
        &mut self,
        answer: Result<Answer, ObjectError>,
    ) {
        let host: Arc<str> = Arc::from(self.settings.peer.host.as_str());
        match answer {
            Ok(Answer::Written(_)) => self.peers.announced = true,
            Err(ObjectError::Conflict(_)) => {
                self.call_store(Purpose::Announced, StoreCall::Get(Kind::Peers, host));
            }
            Ok(Answer::Found(Some((revision, Record::Peer(found))))) => {
                if found == self.settings.peer {
                    self.peers.announced = true;
                } else {
                    self.duty.record_ended(found.incarnation);
                    let record = Record::Peer(self.settings.peer.clone());
                    let call = StoreCall::Update(Kind::Peers, host, record, revision);
                    self.call_store(Purpose::Announce, call);
                }
            }
            // `tick_peers` repeats the announcement.
            _ => {}
        }
    }

    pub(in crate::decision::gateway) fn replace_peers(&mut self, peers: Vec<(Revision, Peer)>) {
        self.peers.listed = true;
        let listed = |host: &HostName| peers.iter().any(|(_, p)| p.host == *host);
        self.peers.known.retain(|host, _| listed(host));
        for (revision, peer) in peers {
            self.insert_peer(revision, peer);
        }
    }

    pub(in crate::decision::gateway) fn insert_peer(&mut self, _revision: Revision, peer: Peer) {
        let incarnation = peer.incarnation;
        let before = self.peers.known.insert(peer.host.clone(), peer);
        // A host runs one process of this role, so the earlier run has ended.
        if let Some(before) = before.filter(|before| before.incarnation != incarnation) {
            self.duty.record_ended(before.incarnation);
        }
    }

    pub(in crate::decision::gateway) fn remove_peer(
        &mut self,
        host: &HostName,
        _revision: Option<Revision>,
    ) {
        self.peers.known.remove(host);
    }

    /// Returns `true` once the processes were listed.
    pub(in crate::decision::gateway) fn peers_listed(&self) -> bool {
        self.peers.listed
    }

    /// Returns all known processes, including this one.
    pub(in crate::decision::gateway) fn all_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.known.values()
    }

    /// Returns the process on a host, if it is known.
    pub(in crate::decision::gateway) fn peer(&self, host: &HostName) -> Option<&Peer> {
        self.peers.known.get(host)
    }

    /// Returns all other processes.
    pub(in crate::decision::gateway) fn others(&self) -> Vec<Peer> {
        let me = &self.settings.peer.host;
        let others = self.peers.known.values().filter(|p| p.host != *me);
        others.cloned().collect()
    }
}
