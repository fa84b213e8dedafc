//! What a gateway is told, and what it asks of its adapters.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decision::batch::RunEnd;
use crate::decision::batch::RunId;
use crate::decision::batch::ScoreEnd;
use crate::decision::batch::VersionTerms;
use crate::decision::directory::CallEnd;
use crate::decision::directory::Choice;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::StoreCall;
use crate::decision::gateway::stored::View;
use crate::decision::lease::Permit;
use crate::decision::tally::Counts;
use crate::decision::weights::Load;
use crate::decision::weights::OrderEnd;
use crate::domain::batch::Batch;
use crate::domain::batch::Item;
use crate::domain::batch::Outcome;
use crate::domain::batch::Partial;
use crate::domain::batch::Runner;
use crate::domain::batch::Scorer;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::ids::Incarnation;
use crate::domain::name::BatchId;
use crate::domain::name::HostName;
use crate::domain::name::ItemId;
use crate::domain::name::PoolName;
use crate::domain::name::RouteName;
use crate::domain::name::TargetName;
use crate::domain::name::WorkspaceName;
use crate::domain::table::Route;
use crate::domain::table::RouteTable;
use crate::port::object::ObjectError;

/// Identifies a question of a traffic thread that waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Everything that a gateway is told.
#[derive(Debug)]
pub enum Message {
    /// A question of a traffic thread. Each gets one reply.
    Ask(CallId, Question),
    /// A request at a target ended.
    Released(TargetName, CallEnd),
    /// A request of a workspace began to run.
    Began(WorkspaceName),
    /// A generation has this text so far.
    Advanced(RunId, Partial),
    /// A generation ended with this text.
    RunEnded(RunId, RunEnd, Partial),
    /// A scoring request ended.
    Scored(RunId, ScoreEnd),
    /// The object API answered a call.
    Stored(Purpose, Result<Answer, ObjectError>),
    /// A submission was decoded, or cannot be.
    Decoded(BatchId, Option<Arc<Batch>>),
    /// All objects of one kind.
    Listing(Kind, Vec<View>),
    /// One object changed.
    Changed(View),
    /// The watch of a kind lost or regained contact.
    Contact(Kind, bool),
    /// Whether the object API answers this process without the help of another one.
    Probed(bool),
    /// The process that passed objects on does so no longer.
    FeedLost(SocketAddr, FeedEnd),
    /// The process with this address did not take a submission.
    Shunned(SocketAddr),
    /// Another process answered, or did not.
    Pinged(HostName, Option<Pong>),
    /// Another process told its counts of a window, or did not.
    Collected(u64, HostName, Option<Counts>),
    /// An order to a target ended.
    Ordered(TargetName, OrderEnd),
    /// A usage report ended.
    Reported(u64, ReportEnd),
    /// The process has to end.
    Drain,
    /// All traffic has ended, and with it the work of the control thread.
    Stop,
}

/// A question of a traffic thread.
#[derive(Debug)]
pub enum Question {
    /// Where a request should go.
    Pick {
        /// Pool that serves it.
        pool: PoolName,
        /// Targets that had it already.
        tried: Vec<TargetName>,
    },
    /// Which process should accept and run a batch job.
    Place {
        /// Name of the job.
        id: BatchId,
        /// Route.
        route: RouteName,
    },
    /// Accept a batch job.
    Submit {
        /// Name of the job.
        id: BatchId,
        /// Workspace of the key.
        workspace: Option<WorkspaceName>,
        /// Route.
        route: Arc<Route>,
        /// The submission.
        batch: Arc<Batch>,
    },
    /// Results of a job.
    Read {
        /// Name of the job.
        id: BatchId,
        /// Workspace of the key.
        workspace: Option<WorkspaceName>,
        /// Position of the first wanted result.
        after: usize,
        /// Time to wait for a result.
        wait: Duration,
        /// True if this process must answer itself.
        here: bool,
    },
    /// Body of an item.
    Body {
        /// Name of the job.
        id: BatchId,
        /// Workspace of the key.
        workspace: Option<WorkspaceName>,
        /// The item.
        item: ItemId,
    },
    /// End a job.
    End {
        /// Name of the job.
        id: BatchId,
        /// Workspace of the key.
        workspace: Option<WorkspaceName>,
    },
    /// What this process tells others of itself.
    Ping,
    /// Counts of a usage window.
    Count(u64),
}

/// Reply to a question.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The target, which counts as busy until `Released`.
    Target(Choice),
    /// No target can take the request now.
    NoTarget,
    /// The job is accepted.
    Accepted,
    /// The job is not accepted, and nothing of it will run.
    NotAccepted,
    /// It is not known whether the call had its effect.
    Unsure,
    /// There is no such job or item.
    Absent,
    /// Results with the number of items and the position of the first result.
    Results(usize, usize, Vec<Arc<Outcome>>),
    /// The process with this address has the answer.
    Forward(SocketAddr),
    /// This process should do it itself.
    Here,
    /// Body of the item.
    Body(Arc<[u8]>),
    /// The job has ended.
    Ended,
    /// State of this process.
    Pong(Pong),
    /// Counts of a window.
    Counts(Counts),
}

/// What a process tells others of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pong {
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Milliseconds since the object API last answered it.
    pub silence: u64,
    /// Its requests at each target.
    pub load: BTreeMap<TargetName, u32>,
}

/// Why a process passes no objects on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedEnd {
    /// It does not answer.
    Silent,
    /// It has no contact to the object API itself.
    Blind,
}

/// From where a process learns of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the object API.
    Store,
    /// From another process, which watches the object API.
    Peer(SocketAddr),
    /// From another process until the object API answers this one again.
    StandIn(SocketAddr),
}

impl Source {
    /// Returns the address of the other process.
    pub fn peer(self) -> Option<SocketAddr> {
        match self {
            Source::Store => None,
            Source::Peer(address) | Source::StandIn(address) => Some(address),
        }
    }
}

/// How a usage report ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEnd {
    /// It was accepted.
    Accepted,
    /// A newer holder has reported.
    Fenced,
    /// It was not accepted, or there was no answer.
    Failed,
}

/// A generation at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct RunOrder {
    /// The attempt.
    pub id: RunId,
    /// The target.
    pub target: Choice,
    /// Value of the host header.
    pub host: Arc<str>,
    /// Workspace that it runs for.
    pub workspace: Option<WorkspaceName>,
    /// The item.
    pub item: Arc<Item>,
    /// Text so far.
    pub partial: Partial,
    /// Which versions the text may hold.
    pub terms: VersionTerms,
    /// Rank, 0 is the most urgent.
    pub rank: u32,
    /// Silence after which the attempt is given up.
    pub patience: Duration,
}

/// What a gateway asks of its adapters.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Pass a reply to the traffic thread that asked.
    Reply(CallId, Reply),
    /// Put a routing table in force on the traffic threads.
    Publish(Arc<RouteTable>),
    /// Stop being ready, and let connections end after their running requests.
    Close,
    /// Learn of objects from this source from now on.
    Follow(Source),
    /// Make calls through these processes while the object API does not answer this one.
    Relay(Vec<SocketAddr>),
    /// Call the object API.
    Store(Purpose, StoreCall),
    /// Decode a submission that was read from the object API.
    Decode(BatchId, String),
    /// Generate an item.
    Run(Box<RunOrder>),
    /// Stop an attempt. Nothing more is told of it.
    Stop(RunId),
    /// End a generation early. Its text comes back as of a broken one.
    Move(RunId),
    /// Score a text.
    Score(RunId, Choice, Scorer),
    /// Ask another process for its state.
    Ping(Runner),
    /// All work has been handed over after a drain.
    Drained,
    /// Ask another process for its counts of a window.
    Collect(u64, Peer),
    /// Order a target to load a version, if the permit still allows it.
    Order(Load, SocketAddr, Permit),
    /// Report a window, if the permit still allows it.
    Report(u64, Counts, Permit),
    /// Log an event.
    Log(Event, Vec<(&'static str, String)>),
}
