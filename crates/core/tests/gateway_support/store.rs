//! The store of the simulation.

use std::sync::Arc;

use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::stored::Answer;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::decision::gateway::stored::Record;
use sardinepath_core::decision::gateway::stored::StoreCall;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::domain::crash::Crash;
use sardinepath_core::domain::fleet::Peer;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::port::object::ObjectError;

use crate::gateway_support::STORE_LATENCY_MS;
use crate::gateway_support::Simulation;
use crate::gateway_support::fixtures::batch_id;
use crate::gateway_support::fixtures::host;

/// Fault of the store for the calls of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    None,
    /// Calls fail without effect.
    Unavailable,
    /// Calls have no effect, and fail only after a while.
    Silent,
    /// Calls take effect, but the answer is lost.
    AnswerLost,
    /// Calls take effect three seconds later, and the answer is lost.
    Delayed,
}

/// Time until a call to a silent store fails, in milliseconds: its timeout and that of a relayed call.
const SILENT_CALL_MS: u64 = 1_900;

impl Simulation {
    /// Returns the time until a call of a gateway is answered, in milliseconds.
    pub(super) fn store_latency(&self, index: usize) -> u64 {
        match self.nodes[index].fault {
            StoreFault::Silent => SILENT_CALL_MS,
            _ => STORE_LATENCY_MS,
        }
    }

    pub(super) fn call_store(
        &mut self,
        index: usize,
        call: StoreCall,
    ) -> Result<Answer, ObjectError> {
        match self.nodes[index].fault {
            StoreFault::None => self.apply(call),
            StoreFault::Unavailable => Err(ObjectError::Unavailable("unavailable".into())),
            StoreFault::Silent => Err(ObjectError::Unknown("silent".into())),
            StoreFault::AnswerLost => {
                let _ = self.apply(call);
                Err(ObjectError::Unknown("lost".into()))
            }
            StoreFault::Delayed => {
                self.delayed.push((self.now + 3_000, call));
                Err(ObjectError::Unknown("delayed".into()))
            }
        }
    }

    pub(super) fn apply(&mut self, call: StoreCall) -> Result<Answer, ObjectError> {
        let conflict = |revision: u64| Err(ObjectError::Conflict(Some(Revision(revision))));
        match call {
            StoreCall::Get(kind, name) => {
                let found = self.store.get(&(kind, name));
                Ok(Answer::Found(
                    found.map(|(at, record)| (Revision(*at), record.clone())),
                ))
            }
            StoreCall::Create(kind, name, record) => match self.store.get(&(kind, name.clone())) {
                Some((at, _)) => conflict(*at),
                None => self.put(kind, name, record),
            },
            StoreCall::Update(kind, name, record, revision) => {
                match self.store.get(&(kind, name.clone())) {
                    Some((at, _)) if *at == revision.0 => self.put(kind, name, record),
                    Some((at, _)) => conflict(*at),
                    None => Err(ObjectError::Conflict(None)),
                }
            }
            StoreCall::Delete(kind, name) => {
                self.remove(kind, &name);
                Ok(Answer::Written(Revision(0)))
            }
            StoreCall::DeleteAt(kind, name, revision) => {
                match self.store.get(&(kind, name.clone())) {
                    Some((at, _)) if *at != revision.0 => conflict(*at),
                    _ => {
                        self.remove(kind, &name);
                        Ok(Answer::Written(Revision(0)))
                    }
                }
            }
        }
    }

    /// Removes an object, whoever asked for it, and tells the gateways.
    pub fn remove(&mut self, kind: Kind, name: &str) {
        let Some((at, _)) = self.store.remove(&(kind, Arc::from(name))) else {
            return;
        };
        let gone = match kind {
            Kind::Heads => Some(WatchedObject::HeadGone(BatchId::from(name))),
            Kind::Peers => {
                let revision = Some(Revision(at));
                Some(WatchedObject::PeerGone(HostName::from(name), revision))
            }
            Kind::Crashes => Crash::from_object_name(name).map(WatchedObject::CrashGone),
            _ => None,
        };
        if let Some(gone) = gone {
            for index in 0..self.nodes.len() {
                self.send(index, STORE_LATENCY_MS, Message::Changed(gone.clone()));
            }
        }
    }

    /// Returns the stored entry of a gateway with its revision.
    pub fn peer_entry(&self, index: usize) -> Option<(Revision, Peer)> {
        let name = Arc::from(host(index).as_str());
        match self.store.get(&(Kind::Peers, name)) {
            Some((at, Record::Peer(peer))) => Some((Revision(*at), peer.clone())),
            _ => None,
        }
    }

    /// Returns the gateway that runs the job according to its head, or `None` if nobody does.
    pub fn runner(&self) -> Option<usize> {
        let name = Arc::from(batch_id().as_str());
        let Some((_, Record::Head(head))) = self.store.get(&(Kind::Heads, name)) else {
            return None;
        };
        let runner = head.runner.as_ref()?;
        (0..self.nodes.len()).find(|index| host(*index) == runner.host)
    }

    /// Returns `true` if the store holds an object.
    pub fn holds(&self, kind: Kind, name: &str) -> bool {
        self.store.contains_key(&(kind, Arc::from(name)))
    }

    pub(super) fn put(
        &mut self,
        kind: Kind,
        name: Arc<str>,
        record: Record,
    ) -> Result<Answer, ObjectError> {
        self.revision += 1;
        let revision = self.revision;
        let view = view(kind, &name, revision, &record);
        let before = self.store.get(&(kind, name.clone()));
        if let (Some((_, Record::Head(before))), Record::Head(after)) = (before, &record)
            && before.runner != after.runner
        {
            self.runner_changes.push(self.now);
        }
        self.store.insert((kind, name), (revision, record));
        for index in 0..self.nodes.len() {
            let fault = self.nodes[index].fault;
            if fault != StoreFault::Unavailable && fault != StoreFault::Silent {
                let view = view.clone();
                let delay = STORE_LATENCY_MS + self.nodes[index].watch_lag;
                if let Some(view) = view {
                    self.send(index, delay, Message::Changed(view));
                }
            }
        }
        Ok(Answer::Written(Revision(revision)))
    }

    /// Sends all heads and peers to a gateway again, as a watch does after an interruption.
    pub fn relist(&mut self, index: usize) {
        for kind in [Kind::Heads, Kind::Peers] {
            let views = self.views(kind);
            self.send(index, STORE_LATENCY_MS, Message::Listing(kind, views));
        }
    }

    pub(super) fn views(&self, kind: Kind) -> Vec<WatchedObject> {
        let objects = self.store.iter().filter(|((of, _), _)| *of == kind);
        objects
            .filter_map(|((_, name), (at, record))| view(kind, name, *at, record))
            .collect()
    }
}

fn view(kind: Kind, name: &str, revision: u64, record: &Record) -> Option<WatchedObject> {
    match record {
        Record::Head(head) => Some(WatchedObject::Head(
            BatchId::from(name),
            Revision(revision),
            head.clone(),
        )),
        Record::Peer(peer) => Some(WatchedObject::Peer(Revision(revision), peer.clone())),
        Record::Software(record) if kind == Kind::Software => {
            let pool = PoolName::from(name);
            let software = record.software.clone();
            Some(WatchedObject::Software(pool, Revision(revision), software))
        }
        Record::Crash(stored) => Some(WatchedObject::Crash(stored.clone())),
        Record::Limit(limit) => Some(WatchedObject::Limit(TargetName::from(name), *limit)),
        _ => None,
    }
}
