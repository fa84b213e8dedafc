//! Configuration and heartbeats between entries.
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
use crate::entry::snapshot::Published;

/// Interval of heartbeat rounds. Two rounds can fail before the contact limit of 5 s.
const ROUND: Duration = Duration::from_secs(1);

/// Interval of updates on a stream without changes. Followers give up after 4 s of silence.
const IDLE: Duration = Duration::from_secs(1);

/// Updates of a followed entry that may wait for the control thread.
const UPDATE_ROOM: usize = 4;

/// What the control thread is told of other entries and the platform.
#[derive(Debug)]
pub enum PeerMessage {
    /// The other entries are these.
    Know(Vec<(HostName, SocketAddr)>),
    /// An entry answered a heartbeat that was sent at this time.
    Answered(Time, HeartbeatState),
    /// An entry told its revision without being asked.
    Told(Revision),
    /// The followed entry sent a part of its configuration.
    Update(PeerUpdate),
    /// The stream of the followed entry with this number ended.
    Ended(u64),
    /// The platform answered a question that was sent at this time.
    PlatformAnswered(Time),
    /// A stream to another entry wants to be woken at each change.
    Wake(Sender<()>),
}

/// Identity of this entry among the others.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Host of the entry.
    pub host: HostName,
    /// Run of the process.
    pub incarnation: Incarnation,
}

/// What the control thread knows of other entries.
pub struct Distribution {
    identity: Identity,
    freshness: Freshness,
    links: Links,
    wakes: Vec<Sender<()>>,
    round: Option<Time>,
}

/// Calls to other entries.
struct Links {
    spawner: Spawner,
    port: Arc<dyn PeerPort>,
    control: Inbox<PeerMessage>,
    addresses: BTreeMap<HostName, SocketAddr>,
    heartbeats: BTreeMap<HostName, Task>,
    followed: Option<Followed>,
    number: u64,
}

/// The stream from the followed entry.
struct Followed {
    host: HostName,
    number: u64,
    _task: Task,
}

/// Serves other entries.
pub struct PeerService {
    spawner: Spawner,
    snapshot: Published,
    control: Inbox<PeerMessage>,
    duties: Inbox<DutyMessage>,
}

impl Distribution {
    /// Creates the state of an entry that knows no other.
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
            number: 0,
        };
        Self {
            identity,
            freshness: Freshness::default(),
            links,
            wakes: Vec::new(),
            round: None,
        }
    }

    /// Takes in a message. Returns an update for the configuration, if it is one.
    pub fn handle(&mut self, now: Time, message: PeerMessage) -> Option<PeerUpdate> {
        match message {
            PeerMessage::Know(entries) => {
                let own = &self.identity.host;
                let others = entries.into_iter().filter(|(host, _)| host != own);
                self.links.addresses = others.collect();
                self.freshness.know(self.links.addresses.keys().cloned());
            }
            PeerMessage::Answered(asked, pulse) => {
                self.links.heartbeats.remove(&pulse.host);
                self.freshness.peer_answered(asked, now, &pulse);
            }
            PeerMessage::Told(revision) => self.freshness.told(now, revision),
            PeerMessage::Update(update) => return Some(update),
            PeerMessage::Ended(number) => self.links.ended(number),
            PeerMessage::PlatformAnswered(asked) => self.freshness.platform_answered(asked),
            PeerMessage::Wake(wake) => {
                // The stream may have missed a change while it registered.
                let _ = wake.try_send(());
                self.wakes.push(wake);
            }
        }
        None
    }

    /// Notes a complete revision.
    pub fn applied(&mut self, revision: Revision) {
        self.freshness.applied(revision);
    }

    /// Wakes the streams to other entries after a higher revision was published.
    pub fn wake_streams(&mut self) {
        self.wakes.retain(|wake| {
            let sent = wake.try_send(());
            !matches!(sent, Err(flume::TrySendError::Disconnected(())))
        });
    }

    /// Sends due heartbeats and follows the entry that the node needs.
    pub fn tick(&mut self, now: Time, revision: Revision) {
        match self.freshness.source(now) {
            Source::Platform => self.links.followed = None,
            Source::Peer(host) => self.links.follow(&host, revision),
        }
        if self.round.is_some_and(|last| now.since(last) < ROUND) {
            return;
        }
        self.round = Some(now);
        let pulse = self.pulse(now);
        for host in self.freshness.to_ask(now) {
            self.links.heartbeat(now, host, pulse.clone());
        }
    }

    /// Returns what this entry tells others.
    pub fn pulse(&self, now: Time) -> HeartbeatState {
        let Identity { host, incarnation } = self.identity.clone();
        self.freshness.pulse(now, host, incarnation)
    }

    /// Tells whether the entry has a configuration that it may serve.
    pub fn is_ready(&self, now: Time) -> bool {
        self.freshness.standing(now).ready
    }

    /// Returns the time until which keys may be checked.
    pub fn keys_until(&self) -> Option<Time> {
        self.freshness.keys_until()
    }
}

impl Links {
    /// Follows an entry, unless it is followed already.
    fn follow(&mut self, host: &HostName, after: Revision) {
        let followed = self.followed.as_ref();
        let Some(address) = self.addresses.get(host).copied() else {
            return;
        };
        if followed.is_some_and(|followed| followed.host == *host) {
            return;
        }
        self.number += 1;
        let number = self.number;
        let (sender, updates) = flume::bounded(UPDATE_ROOM);
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
            let ended = PeerMessage::Ended(number);
            // The control thread needs no news once it has stopped.
            let _ = control.send_async(ended).await;
        });
        self.followed = Some(Followed {
            host: host.clone(),
            number,
            _task: task,
        });
    }

    fn ended(&mut self, number: u64) {
        if self.followed.as_ref().is_some_and(|f| f.number == number) {
            self.followed = None;
        }
    }

    /// Sends a heartbeat. An unanswered one to the same entry is given up.
    fn heartbeat(&mut self, now: Time, host: HostName, pulse: HeartbeatState) {
        let Some(address) = self.addresses.get(&host).copied() else {
            return;
        };
        let (sender, reply) = flume::bounded(1);
        let guard = self.port.heartbeat(address, pulse, sender);
        let control = self.control.clone();
        let task = self.spawner.spawn(async move {
            let _guard = guard;
            if let Ok(pulse) = reply.recv_async().await {
                let message = PeerMessage::Answered(now, pulse);
                // The control thread needs no news once it has stopped.
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
        snapshot: Published,
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
                .spawn(stream(snapshot, control, after, updates)),
        )
    }

    fn heartbeat(&self, pulse: HeartbeatState) -> HeartbeatState {
        let snapshot = self.snapshot.load();
        if pulse.revision > snapshot.pulse.revision {
            let told = PeerMessage::Told(pulse.revision);
            // A full queue loses only news that the next heartbeat brings again.
            let _ = self.control.try_send(told);
        }
        snapshot.pulse.clone()
    }

    fn counters(&self, reply: Sender<Vec<Counter>>) {
        // If the queue is full, the reply is dropped and the collector asks again later.
        let _ = self.duties.try_send(DutyMessage::Counters(reply));
    }
}

/// Sends the teams above a revision, and then each change, until the receiver is gone.
async fn stream(
    snapshot: Published,
    control: Inbox<PeerMessage>,
    after: Revision,
    updates: Sender<PeerUpdate>,
) {
    let (wake, changes) = flume::bounded(1);
    let register = PeerMessage::Wake(wake);
    if control.send_async(register).await.is_err() {
        return;
    }
    let mut sent = after;
    let mut due = true;
    loop {
        let current = snapshot.load_full();
        let complete = current.pulse.revision;
        // Entries that follow each other would answer every empty update with another one.
        if complete > sent || (due && complete > Revision(0)) {
            for update in parts(&current.config, sent, complete) {
                if updates.send_async(update).await.is_err() {
                    return;
                }
            }
            sent = sent.max(complete);
        }
        let idle = Box::pin(sleep(IDLE));
        due = match select(changes.recv_async(), idle).await {
            Either::Left((Ok(()), _)) => false,
            Either::Left((Err(_), _)) => return,
            Either::Right(_) => true,
        };
    }
}

/// Splits the teams above a revision into one update each, in the order of their revisions, so
/// that a stream that breaks off leaves the follower complete up to the last one.
fn parts(config: &Config, after: Revision, complete: Revision) -> Vec<PeerUpdate> {
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
