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
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::ids::Incarnation;
use crate::domain::ids::Revision;
use crate::domain::name::HostName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Known processes and the health of those that run jobs.
#[derive(Debug, Default)]
pub(in crate::decision::gateway) struct Peers {
    pub(super) known: BTreeMap<HostName, PeerEntry>,
    /// Last run that was seen on each host, also if its entry is gone.
    runs: BTreeMap<HostName, SeenRun>,
    pub(super) health: BTreeMap<HostName, Health>,
    /// Revision of the entry of this run, or `None` while it is not known to be stored.
    own_revision: Option<Revision>,
    pub(super) listed: bool,
    pub(super) next_announce: Time,
    /// Processes that get no submissions, with the end of the exclusion.
    pub(in crate::decision::gateway) excluded: BTreeMap<SocketAddr, Time>,
}

/// Entry of a process as it was last seen.
#[derive(Debug)]
pub(super) struct PeerEntry {
    pub(super) peer: Peer,
    revision: Revision,
}

/// Run of a process, with the revision of the entry that told of it.
#[derive(Clone, Copy, Debug)]
struct SeenRun {
    incarnation: Incarnation,
    revision: Revision,
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
            Ok(Answer::Written(revision)) => self.entry_stored(revision),
            Err(ObjectError::Conflict(_)) => self.read_own_entry(),
            Ok(Answer::Found(Some((revision, Record::Peer(found))))) => {
                if found == self.settings.peer {
                    self.entry_stored(revision);
                } else if !self.draining {
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

    fn read_own_entry(&mut self) {
        let host = Arc::from(self.settings.peer.host.as_str());
        self.call_store(Purpose::Announced, StoreCall::Get(Kind::Peers, host));
    }

    /// Records that the entry of this run is stored. One that was written while this process began to
    /// drain is removed.
    fn entry_stored(&mut self, revision: Revision) {
        self.peers.own_revision = Some(revision);
        if self.draining {
            self.leave();
        }
    }

    /// Removes the entry of this run. The call names its revision, since it may take effect when the next
    /// run of this host has written its entry.
    pub(in crate::decision::gateway) fn leave(&mut self) {
        let host = Arc::from(self.settings.peer.host.as_str());
        match self.peers.own_revision {
            Some(revision) => {
                let call = StoreCall::DeleteAt(Kind::Peers, host, revision);
                self.call_store(Purpose::Leave, call);
            }
            None => self.read_own_entry(),
        }
    }

    /// Handles the answer to the removal of the entry. One that failed is repeated while this process
    /// drains, since each entry of a host that is gone delays the takeover of jobs.
    pub(in crate::decision::gateway) fn leave_answered(
        &mut self,
        answer: &Result<Answer, ObjectError>,
    ) {
        let failed = matches!(
            answer,
            Err(ObjectError::Unavailable(_) | ObjectError::Unknown(_))
        );
        let host = Arc::from(self.settings.peer.host.as_str());
        if let Some(revision) = self.peers.own_revision.filter(|_| failed) {
            let call = StoreCall::DeleteAt(Kind::Peers, host, revision);
            let at = self.now + SILENCE_LIMIT;
            self.retries.push((at, Purpose::Leave, call));
        }
    }

    /// Handles the entry of this host as the store holds it. That of another run is replaced again.
    fn own_entry_seen(&mut self, revision: Revision, peer: &Peer) {
        if *peer == self.settings.peer {
            self.peers.own_revision = Some(revision);
        } else if self.peers.own_revision.is_some_and(|own| own < revision) {
            self.own_entry_gone();
        }
    }

    /// Handles the loss of the entry of this run, which `tick_peers` stores again. Without it, other
    /// processes count this one as gone.
    fn own_entry_gone(&mut self) {
        if self.peers.own_revision.take().is_some() && !self.draining {
            let host = self.settings.peer.host.to_string();
            self.log(Event::EntryLost, vec![("host", host)]);
        }
    }

    /// Returns `true` if the entry of this process should be stored now.
    pub(super) fn must_announce(&self) -> bool {
        let peers = &self.peers;
        peers.own_revision.is_none() && !self.draining && self.now >= peers.next_announce
    }

    pub(in crate::decision::gateway) fn replace_peers(&mut self, peers: Vec<(Revision, Peer)>) {
        self.peers.listed = true;
        let listed = |host: &HostName| peers.iter().any(|(_, p)| p.host == *host);
        self.peers.known.retain(|host, _| listed(host));
        if !listed(&self.settings.peer.host) {
            self.own_entry_gone();
        }
        for (revision, peer) in peers {
            self.insert_peer(revision, peer);
        }
    }

    /// Learns the entry of a process. A feed that is behind may bring it after a newer one.
    pub(in crate::decision::gateway) fn insert_peer(&mut self, revision: Revision, peer: Peer) {
        let seen = self.peers.runs.get(&peer.host).copied();
        if seen.is_some_and(|seen| seen.revision > revision) {
            return;
        }
        if peer.host == self.settings.peer.host {
            self.own_entry_seen(revision, &peer);
        }
        let host = peer.host.clone();
        let incarnation = peer.incarnation;
        let run = SeenRun {
            incarnation,
            revision,
        };
        self.peers.runs.insert(host.clone(), run);
        let entry = PeerEntry { peer, revision };
        self.peers.known.insert(host.clone(), entry);
        // A host runs one process of this role, so the earlier run has ended, whether it has removed
        // its entry or not.
        if let Some(before) = seen.filter(|seen| seen.incarnation != incarnation) {
            self.duty.record_ended(before.incarnation);
            self.ping(&host);
        }
    }

    /// Learns that an entry was removed, which had this revision if it is known.
    pub(in crate::decision::gateway) fn remove_peer(
        &mut self,
        host: &HostName,
        revision: Option<Revision>,
    ) {
        let known = self.peers.known.get(host);
        let newer = known
            .zip(revision)
            .is_some_and(|(known, removed)| known.revision > removed);
        if newer {
            return;
        }
        self.peers.known.remove(host);
        self.ping(host);
        let own = self.peers.own_revision.zip(revision);
        let written_since = own.is_some_and(|(own, removed)| own > removed);
        if *host == self.settings.peer.host && !written_since {
            self.own_entry_gone();
        }
    }

    /// Returns `true` once the processes were listed.
    pub(in crate::decision::gateway) fn peers_listed(&self) -> bool {
        self.peers.listed
    }

    /// Returns all known processes, including this one.
    pub(in crate::decision::gateway) fn all_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.known.values().map(|entry| &entry.peer)
    }

    /// Returns the process on a host, if it is known.
    pub(in crate::decision::gateway) fn peer(&self, host: &HostName) -> Option<&Peer> {
        self.peers.known.get(host).map(|entry| &entry.peer)
    }

    /// Returns all other processes.
    pub(in crate::decision::gateway) fn others(&self) -> Vec<Peer> {
        let me = &self.settings.peer.host;
        let others = self.all_peers().filter(|p| p.host != *me);
        others.cloned().collect()
    }
}
