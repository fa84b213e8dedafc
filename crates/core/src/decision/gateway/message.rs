//! Messages to the control thread of a gateway, and the effects it asks of its adapters.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decision::batch::RunEnd;
use crate::decision::batch::RunId;
use crate::decision::batch::ScoreEnd;
use crate::decision::batch::VersionLimits;
use crate::decision::directory::CallEnd;
use crate::decision::directory::Choice;
use crate::decision::directory::ToldPace;
pub use crate::decision::gateway::call::CallId;
pub use crate::decision::gateway::jobs::submit::SubmitRequest;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::StoreCall;
use crate::decision::gateway::stored::WatchedObject;
use crate::decision::lease::Permit;
use crate::decision::permit::PermitGrant;
use crate::decision::permit::PermitRequest;
use crate::decision::share::Claim;
use crate::decision::tally::Counts;
use crate::decision::target_watch::Lapse;
use crate::decision::weights::Load;
use crate::decision::weights::OrderEnd;
use crate::domain::batch::Batch;
use crate::domain::batch::Item;
use crate::domain::batch::Outcome;
use crate::domain::batch::PartialText;
use crate::domain::batch::Runner;
use crate::domain::batch::Scorer;
use crate::domain::crash::Crash;
use crate::domain::event::Event;
use crate::domain::fingerprint::RequestShape;
use crate::domain::fleet::Peer;
use crate::domain::ids::Incarnation;
use crate::domain::ids::Revision;
use crate::domain::leave::LeaveStatement;
use crate::domain::limit::LimitStatement;
use crate::domain::name::BatchId;
use crate::domain::name::Fingerprint;
use crate::domain::name::HostName;
use crate::domain::name::ItemId;
use crate::domain::name::PoolName;
use crate::domain::name::SoftwareVersion;
use crate::domain::name::StreamId;
use crate::domain::name::TargetName;
use crate::domain::name::WorkspaceName;
use crate::domain::place::Closure;
use crate::domain::place::Homes;
use crate::domain::table::Route;
use crate::domain::table::RouteTable;
use crate::port::object::ObjectError;

/// Message to the control thread of a gateway.
#[derive(Debug)]
pub enum Message {
    /// A traffic thread asks a question. Each question gets exactly one reply.
    Ask(CallId, Question),
    /// A request at a target ended.
    RequestEnded(TargetName, CallEnd),
    /// An answer of a target states its request limit, or no longer does.
    LimitStated(TargetName, LimitStatement),
    /// An answer of a target states that it is leaving.
    LeavingStated(LeaveStatement),
    /// A target crashed while a request of this process ran on it.
    TargetCrashed(Crash),
    /// A target answered a request that may be a suspect.
    RequestSurvived(Fingerprint),
    /// Another process answered a request for permits, or `None` if it did not.
    PermitsAnswered(PermitRequest, SocketAddr, Option<PermitGrant>),
    /// A request of a workspace started running and counts towards its usage.
    RequestStarted(WorkspaceName),
    /// A running generation has produced this text so far.
    RunProgress(RunId, PartialText),
    /// A generation ended with this text.
    RunEnded(RunId, RunEnd, PartialText),
    /// A scoring request ended.
    ScoringEnded(RunId, ScoreEnd),
    /// The object API answered a call.
    Stored(Purpose, Result<Answer, ObjectError>),
    /// A submission was decoded, or `None` if it cannot be decoded.
    Decoded(BatchId, Option<Arc<Batch>>),
    /// A watch delivered all objects of one kind.
    Listing(Kind, Vec<WatchedObject>),
    /// A watch reported that one object changed or was deleted.
    Changed(WatchedObject),
    /// The watch of a kind regained (`true`) or lost (`false`) contact.
    WatchContact(Kind, bool),
    /// A direct probe of the object API succeeded (`true`) or failed (`false`).
    StoreProbed(bool),
    /// A process forwards watched objects, and tells when entries of targets may have lapsed.
    FeedJoined(Lapse),
    /// The process with this address stopped forwarding watched objects.
    FeedLost(SocketAddr, FeedEnd),
    /// The process with this address did not accept a forwarded submission.
    SubmissionNotTaken(SocketAddr),
    /// Another process answered a ping, or `None` if it did not.
    PingEnded(HostName, Option<Pong>),
    /// Another process returned its counts of a usage window, or `None` if it did not answer.
    CountsCollected(u64, HostName, Option<Counts>),
    /// An order to a target to load weights ended.
    OrderEnded(TargetName, OrderEnd),
    /// The report of a usage window ended.
    ReportEnded(u64, ReportEnd),
    /// The process must drain: take no new work and hand over its jobs.
    Drain,
    /// All traffic has ended, so the control thread can stop.
    Stop,
}

/// Question of a traffic thread to the control thread.
#[derive(Debug)]
pub enum Question {
    /// Choose the target of a plain request.
    ChooseTarget {
        /// Pool that serves the request.
        pool: PoolName,
        /// Fingerprint of the request if it may be a suspect, or `None` if it certainly is not.
        request: Option<Fingerprint>,
        /// Targets that were already tried for this request.
        tried: Vec<TargetName>,
        /// Software version that the target must have, or `None` if any will do.
        software: Option<SoftwareVersion>,
        /// Regions that may serve the request, or `None` if all may.
        homes: Option<Homes>,
    },
    /// Find the software version that began a stream.
    FindStream {
        /// Pool that serves the stream.
        pool: PoolName,
        /// Id of the request that began the stream.
        begun: StreamId,
    },
    /// Record the software version that begins a stream, before its first event is forwarded.
    RecordStream {
        /// Pool that serves the stream.
        pool: PoolName,
        /// Id of the request that begins the stream.
        id: StreamId,
        /// Software version of its target.
        software: SoftwareVersion,
    },
    /// Choose the process that accepts and runs a batch job.
    ChooseRunner {
        /// Name of the job.
        id: BatchId,
        /// Route of the job.
        route: Arc<Route>,
        /// Regions that may serve the job, or `None` if all may.
        homes: Option<Homes>,
    },
    /// Accept a batch job.
    Submit(SubmitRequest),
    /// Read results of a job.
    Read {
        /// Name of the job.
        id: BatchId,
        /// Workspace of the key.
        workspace: Option<WorkspaceName>,
        /// Position of the first requested result.
        after: usize,
        /// Time to wait for a result if there is none yet.
        wait: Duration,
        /// Whether this process must answer itself instead of forwarding the read to the runner.
        local: bool,
    },
    /// Read the body of an item.
    ReadItem {
        /// Name of the job.
        id: BatchId,
        /// Workspace of the key.
        workspace: Option<WorkspaceName>,
        /// Name of the item.
        item: ItemId,
    },
    /// End a job.
    EndJob {
        /// Name of the job.
        id: BatchId,
        /// Workspace of the key.
        workspace: Option<WorkspaceName>,
    },
    /// Read the state of this process, on behalf of another one.
    Ping(PingRequest),
    /// Read the counts of this process for a usage window.
    UsageCounts(u64),
    /// Give another process permits for a limited target.
    GrantPermits(PermitRequest),
    /// Learn from another process that it ended a job with this revision of the head.
    JobEnded(BatchId, Revision),
}

/// Reply of the control thread to a question.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Chosen target. The request occupies it until `Message::RequestEnded`.
    Target(Choice),
    /// No target of the pool is available.
    NoTarget,
    /// The targets that are available have reached their request limits.
    LimitsReached,
    /// The targets must not get the request, for this reason.
    Closed(Closure),
    /// Targets crash under the request, which must not be sent for this time.
    Quarantined(Duration),
    /// The job is stored and will run.
    Accepted,
    /// The job is not accepted, and none of its items will run.
    NotAccepted,
    /// The job is not accepted, and none of its items will run. The caller should come back after this
    /// delay.
    Rejected(Duration),
    /// The outcome of the call is unknown because the object API did not answer in time.
    Unsure,
    /// The job or item does not exist, or belongs to another workspace.
    NotFound,
    /// Number of items of the job, position of the first result, and the results.
    Results(usize, usize, Vec<Arc<Outcome>>),
    /// The call must be forwarded to the process with this address.
    Forward(SocketAddr),
    /// This process should handle the submission itself.
    Local,
    /// Body of the item.
    Body(Arc<[u8]>),
    /// The job has ended.
    Ended,
    /// State of this process, for `Question::Ping`.
    Pong(Pong),
    /// Counts of this process for a usage window.
    Counts(Counts),
    /// Permits for a limited target.
    Permits(PermitGrant),
    /// Software version that began the stream, or `None` if it is not known.
    StreamBegun(Option<SoftwareVersion>),
    /// Whether the software version that begins a stream will be found later.
    StreamRecorded(bool),
}

/// Ping of another process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PingRequest {
    /// Targets that said recently that they are leaving.
    pub leaving: Vec<LeaveStatement>,
    /// Whether the sender runs jobs, so that it needs the paces of targets and the demand of others.
    pub paces: bool,
}

/// Answer of a process to a ping.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pong {
    /// Identifies the run of the process, which changes with each restart.
    pub incarnation: Incarnation,
    /// Length of the current outage of the object API at that process in milliseconds, 0 if none.
    pub silence: u64,
    /// Number of its running requests at each target.
    pub load: BTreeMap<TargetName, u32>,
    /// Targets that said recently that they are leaving.
    #[serde(default)]
    pub leaving: Vec<LeaveStatement>,
    /// Paces of targets that this process measured recently, if they were asked for.
    #[serde(default)]
    pub paces: Vec<ToldPace>,
    /// Demand of the jobs of this process, if the paces were asked for.
    #[serde(default)]
    pub claims: Vec<Claim>,
}

/// Reason why a process forwards no watched objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedEnd {
    /// The process does not answer.
    Unresponsive,
    /// The process has no contact to the object API itself.
    Disconnected,
}

/// Source from which a process receives watched objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The object API itself.
    Store,
    /// Another process that watches the object API.
    Peer(SocketAddr),
    /// Another process, used until the object API answers this one again.
    StandIn(SocketAddr),
}

impl Source {
    /// Returns the address of the other process, or `None` for the object API.
    pub fn peer(self) -> Option<SocketAddr> {
        match self {
            Source::Store => None,
            Source::Peer(address) | Source::StandIn(address) => Some(address),
        }
    }
}

/// Outcome of a usage report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEnd {
    /// The report was accepted.
    Accepted,
    /// The report was rejected because a newer lease holder has reported.
    Fenced,
    /// The report was rejected for another reason, or there was no answer.
    Failed,
}

/// Generation of one item at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRequest {
    /// Identifies the attempt.
    pub id: RunId,
    /// Chosen target.
    pub target: Choice,
    /// Value of the `host` header.
    pub host: Arc<str>,
    /// Workspace of the job, or `None` for a job without one.
    pub workspace: Option<WorkspaceName>,
    /// Item to generate.
    pub item: Arc<Item>,
    /// Text generated by earlier attempts, which this one continues.
    pub partial: PartialText,
    /// Weight versions from which the text may come.
    pub versions: VersionLimits,
    /// Priority rank; 0 is the most urgent.
    pub rank: u32,
    /// Time without an event after which the attempt is aborted.
    pub stall_timeout: Duration,
}

/// Action that the adapters carry out for the control thread.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a reply to the traffic thread that asked.
    Reply(CallId, Reply),
    /// Make the traffic threads use this routing table.
    Publish(Arc<RouteTable>),
    /// Make the traffic threads ask about requests with these shapes.
    PublishSuspects(Arc<BTreeSet<RequestShape>>),
    /// Report the process as not ready, and close connections after their running requests.
    StopAccepting,
    /// Receive watched objects from this source from now on.
    SetSource(Source),
    /// Set the processes that relay calls while the object API does not answer this one.
    SetRelays(Vec<Peer>),
    /// Call the object API and answer with `Message::Stored`.
    Store(Purpose, StoreCall),
    /// The same for a call that carries bodies of requests, which only processes in these regions may
    /// relay.
    StoreWithin(Purpose, StoreCall, Homes),
    /// Decode a submission that was read from the object API.
    Decode(BatchId, String),
    /// Start the generation of an item.
    StartRun(Box<RunRequest>),
    /// Abort an attempt. No further message about it is sent.
    StopRun(RunId),
    /// Abort a generation and return its text so far, so that another target continues it.
    MoveRun(RunId),
    /// Send a scoring request to a target.
    Score(RunId, Choice, Scorer),
    /// Ping another process.
    Ping(Runner, PingRequest),
    /// Tell the runner of a job that it was ended with this revision of the head.
    TellEnded(SocketAddr, BatchId, Revision),
    /// Report that the drain is complete.
    Drained,
    /// Ask another process for permits and answer with `Message::PermitsAnswered`.
    AskPermits(SocketAddr, PermitRequest),
    /// Ask another process for its counts of a window.
    CollectCounts(u64, Peer),
    /// Order a target to load a weight version, if the permit still allows it.
    OrderLoad(Load, SocketAddr, Permit),
    /// Report the counts of a usage window, if the permit still allows it.
    ReportUsage(u64, Counts, Permit),
    /// Log an event.
    Log(Event, Vec<(&'static str, String)>),
}
