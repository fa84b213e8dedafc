//! Exchange of configuration and heartbeats between entries.
//!
//! The control thread owns a `Distribution`. `PeerService` answers other entries from the
//! published snapshot, on the traffic threads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use futures_util::future::Either;
use futures_util::future::select;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_adapters::runtime::Task;
use sardinepath_adapters::runtime::sleep;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::decision::freshness::Freshness;
use sardinepath_core::decision::freshness::Source;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::peer::HeartbeatState;
use sardinepath_core::port::peer::PeerFront;
use sardinepath_core::port::peer::PeerPort;
use sardinepath_core::port::peer::PeerUpdate;
use sardinepath_core::port::target::CallGuard;

use crate::entry::duty::DutyMessage;
use crate::entry::inbox::Inbox;
use crate::entry::snapshot::SharedSnapshot;

/// Interval of heartbeats. Two in a row can fail before the contact limit of 5 s.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of updates on a stream without changes. Followers give up after 4 s of silence.
const IDLE_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of updates of a followed entry that wait for the control thread.
const UPDATE_QUEUE_CAPACITY: usize = 4;

/// Message to the control thread from or about another entry or the platform.
#[derive(Debug)]
pub enum PeerMessage {
    /// Replaces the known entries, by host with their addresses.
    SetEntries(Vec<(HostName, SocketAddr)>),
    /// An entry answered a heartbeat that was sent at the given time.
    HeartbeatAnswered(Time, HeartbeatState),
    /// The heartbeat of another entry carried a higher revision than the published one.
    NewerRevision(Revision),
    /// The followed entry sent a part of its configuration.
    Update(PeerUpdate),
    /// The update stream with the given number ended.
    StreamEnded(u64),
    /// The platform answered a call that was sent at the given time.
    PlatformAnswered(Time),
    /// Subscribes a stream to another entry to changes of the published revision.
    Subscribe(Sender<()>),
}

/// Identity of this entry among the others.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Host of the entry.
    pub host: HostName,
    /// Random number of this run of the process.
    pub incarnation: Incarnation,
}

/// State of the exchange with other entries, owned by the control thread.
pub struct Distribution {
    identity: Identity,
    freshness: Freshness,
    links: Links,
    subscribers: Vec<Sender<()>>,
    last_round: Option<Time>,
}

/// Addresses of the other entries and the calls to them.
struct Links {
    spawner: Spawner,
    port: Arc<dyn PeerPort>,
    control: Inbox<PeerMessage>,
    addresses: BTreeMap<HostName, SocketAddr>,
    heartbeats: BTreeMap<HostName, Task>,
    followed: Option<Followed>,
    last_stream: u64,
}

/// The update stream from the followed entry.
struct Followed {
    host: HostName,
    stream: u64,
    _task: Task,
}

/// Serves other entries.
pub struct PeerService {
    spawner: Spawner,
    snapshot: SharedSnapshot,
    control: Inbox<PeerMessage>,
    duties: Inbox<DutyMessage>,
}

impl Distribution {
    /// Creates the state of an entry that knows no other entries.
    pub fn new(
        identity: Identity,
        spawner: Spawner,
        port: Arc<dyn PeerPort>,
        control: Inbox<PeerMessage>,
    ) -> Self {
        let links = Links {
            spawner,
            port,
            control,
            addresses: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            followed: None,
            last_stream: 0,
        };
        Self {
            identity,
            freshness: Freshness::default(),
            links,
            subscribers: Vec::new(),
            last_round: None,
        }
    }

    /// Handles a message. Returns its update of the configuration, if it carries one.
    pub fn handle(&mut self, now: Time, message: PeerMessage) -> Option<PeerUpdate> {
        match message {
            PeerMessage::SetEntries(entries) => {
                let own = &self.identity.host;
                let others = entries.into_iter().filter(|(host, _)| host != own);
                self.links.addresses = others.collect();
                self.freshness
                    .set_peers(self.links.addresses.keys().cloned());
            }
            PeerMessage::HeartbeatAnswered(sent_at, heartbeat) => {
                self.links.heartbeats.remove(&heartbeat.host);
                self.freshness.peer_answered(sent_at, now, &heartbeat);
            }
            PeerMessage::NewerRevision(revision) => self.freshness.observe_revision(now, revision),
            PeerMessage::Update(update) => return Some(update),
            PeerMessage::StreamEnded(stream) => self.links.stream_ended(stream),
            PeerMessage::PlatformAnswered(sent_at) => self.freshness.platform_answered(sent_at),
            PeerMessage::Subscribe(subscriber) => {
                // The stream may have missed a change while it registered.
                let _ = subscriber.try_send(());
                self.subscribers.push(subscriber);
            }
        }
        None
    }

    /// Records the revision up to which the configuration is complete.
    pub fn applied(&mut self, revision: Revision) {
        self.freshness.applied(revision);
    }

    /// Wakes the streams to other entries after a higher revision was published, and removes closed
    /// ones.
    pub fn wake_streams(&mut self) {
        self.subscribers.retain(|subscriber| {
            let sent = subscriber.try_send(());
            !matches!(sent, Err(flume::TrySendError::Disconnected(())))
        });
    }

    /// Sends the heartbeats that are due, and follows another entry while the platform is not the
    /// source of the configuration.
    pub fn tick(&mut self, now: Time, revision: Revision) {
        match self.freshness.source(now) {
            Source::Platform => self.links.followed = None,
            Source::Peer(host) => self.links.follow(&host, revision),
        }
        if self
            .last_round
            .is_some_and(|last| now.since(last) < HEARTBEAT_INTERVAL)
        {
            return;
        }
        self.last_round = Some(now);
        let heartbeat = self.heartbeat(now);
        for host in self.freshness.peers_to_ask(now) {
            self.links.heartbeat(now, host, heartbeat.clone());
        }
    }

    /// Returns the heartbeat that this entry sends to others.
    pub fn heartbeat(&self, now: Time) -> HeartbeatState {
        let Identity { host, incarnation } = self.identity.clone();
        self.freshness.heartbeat(now, host, incarnation)
    }

    /// Returns `true` if the entry has a configuration with which it may serve requests.
    pub fn is_ready(&self, now: Time) -> bool {
        self.freshness.readiness(now).ready
    }

    /// Returns the time until which keys may be checked, or none before the entry is ready.
    pub fn keys_until(&self) -> Option<Time> {
        self.freshness.keys_until()
    }
}

impl Links {
    /// Follows an entry from a revision on, unless it is followed already.
    fn follow(&mut self, host: &HostName, after: Revision) {
        let followed = self.followed.as_ref();
        let Some(address) = self.addresses.get(host).copied() else {
            return;
        };
        if followed.is_some_and(|followed| followed.host == *host) {
            return;
        }
        self.last_stream += 1;
        let stream = self.last_stream;
        let (sender, updates) = flume::bounded(UPDATE_QUEUE_CAPACITY);
        let guard = self.port.follow(address, after, sender);
        let control = self.control.clone();
        let task = self.spawner.spawn(async move {
            let _guard = guard;
            while let Ok(update) = updates.recv_async().await {
                let message = PeerMessage::Update(update);
                if control.send_async(message).await.is_err() {
                    return;
                }
            }
            let ended = PeerMessage::StreamEnded(stream);
            // The result does not matter once the control thread has stopped.
            let _ = control.send_async(ended).await;
        });
        self.followed = Some(Followed {
            host: host.clone(),
            stream,
            _task: task,
        });
    }

    fn stream_ended(&mut self, stream: u64) {
        if self.followed.as_ref().is_some_and(|f| f.stream == stream) {
            self.followed = None;
        }
    }

    /// Sends a heartbeat to an entry, and cancels an unanswered one to the same entry.
    fn heartbeat(&mut self, now: Time, host: HostName, heartbeat: HeartbeatState) {
        let Some(address) = self.addresses.get(&host).copied() else {
            return;
        };
        let (sender, reply) = flume::bounded(1);
        let guard = self.port.heartbeat(address, heartbeat, sender);
        let control = self.control.clone();
        let task = self.spawner.spawn(async move {
            let _guard = guard;
            if let Ok(heartbeat) = reply.recv_async().await {
                let message = PeerMessage::HeartbeatAnswered(now, heartbeat);
                // The result does not matter once the control thread has stopped.
                let _ = control.send_async(message).await;
            }
        });
        self.heartbeats.insert(host, task);
    }
}

impl PeerService {
    /// Creates the service.
    pub fn new(
        spawner: Spawner,
        snapshot: SharedSnapshot,
        control: Inbox<PeerMessage>,
        duties: Inbox<DutyMessage>,
    ) -> Self {
        Self {
            spawner,
            snapshot,
            control,
            duties,
        }
    }
}

impl PeerFront for PeerService {
    fn follow(&self, after: Revision, updates: Sender<PeerUpdate>) -> Box<dyn CallGuard> {
        let snapshot = self.snapshot.clone();
        let control = self.control.clone();
        Box::new(
            self.spawner
                .spawn(stream_updates(snapshot, control, after, updates)),
        )
    }

    fn heartbeat(&self, heartbeat: HeartbeatState) -> HeartbeatState {
        let snapshot = self.snapshot.load();
        if heartbeat.revision > snapshot.heartbeat.revision {
            let message = PeerMessage::NewerRevision(heartbeat.revision);
            // If the queue is full, the next heartbeat carries the revision again.
            let _ = self.control.try_send(message);
        }
        snapshot.heartbeat.clone()
    }

    fn counters(&self, reply: Sender<Vec<Counter>>) {
        // If the queue is full, the reply is dropped and the collector asks again later.
        let _ = self.duties.try_send(DutyMessage::Counters(reply));
    }
}

/// Sends the teams above a revision and then each change, until the receiver is dropped.
async fn stream_updates(
    snapshot: SharedSnapshot,
    control: Inbox<PeerMessage>,
    after: Revision,
    updates: Sender<PeerUpdate>,
) {
    let (subscriber, changes) = flume::bounded(1);
    let register = PeerMessage::Subscribe(subscriber);
    if control.send_async(register).await.is_err() {
        return;
    }
    let mut sent = after;
    let mut due = true;
    loop {
        let current = snapshot.load_full();
        let complete = current.heartbeat.revision;
        // Entries that follow each other would answer every empty update with another one.
        if complete > sent || (due && complete > Revision(0)) {
            for update in split_updates(&current.config, sent, complete) {
                if updates.send_async(update).await.is_err() {
                    return;
                }
            }
            sent = sent.max(complete);
        }
        let idle = Box::pin(sleep(IDLE_UPDATE_INTERVAL));
        due = match select(changes.recv_async(), idle).await {
            Either::Left((Ok(()), _)) => false,
            Either::Left((Err(_), _)) => return,
            Either::Right(_) => true,
        };
    }
}

/// Splits the teams above a revision into one update each, in the order of their revisions, so
/// that a stream that breaks off leaves no gap below the last team that was sent.
fn split_updates(config: &Config, after: Revision, complete: Revision) -> Vec<PeerUpdate> {
    let newer = config.teams().iter().filter(|(_, s)| s.revision > after);
    let mut teams: Vec<(TeamName, TeamState)> =
        newer.map(|(team, s)| (team.clone(), s.clone())).collect();
    teams.sort_by_key(|(_, state)| state.revision);
    let single = teams.into_iter().map(|team| PeerUpdate {
        teams: vec![team],
        complete: None,
    });
    let last = PeerUpdate {
        teams: Vec::new(),
        complete: Some(complete),
    };
    single.chain([last]).collect()
}
