//! Records of the object API and the calls that read and write them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::decision::gateway::call::CallId;
use crate::decision::lease::LeaseRecord;
use crate::decision::tally::WindowCounts;
use crate::domain::batch::Drafts;
use crate::domain::batch::Failures;
use crate::domain::batch::Head;
use crate::domain::batch::Page;
use crate::domain::crash::Crash;
use crate::domain::fleet::Peer;
use crate::domain::fleet::TargetEntry;
use crate::domain::ids::Revision;
use crate::domain::ids::WeightVersion;
use crate::domain::limit::RequestLimit;
use crate::domain::name::BatchId;
use crate::domain::name::CentreName;
use crate::domain::name::HostName;
use crate::domain::name::ModelName;
use crate::domain::name::PoolName;
use crate::domain::name::SoftwareVersion;
use crate::domain::name::StreamId;
use crate::domain::name::TargetName;
use crate::domain::table::RouteTable;
use crate::domain::time::WallTime;

/// Purpose of a call to the object API. It selects the handler of the answer.
///
/// The names of the variants are logged (field `purpose` of `store_failed`), so they stay as they
/// are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Read or write the duty lease.
    Lease,
    /// Store the part of a submission with this index.
    Part(BatchId, usize),
    /// Create the head of a job, which accepts the job.
    Accept(BatchId),
    /// Read the head of a job that this process does not know.
    Find(BatchId),
    /// Read the head of a job again after a write whose outcome is unknown.
    Refresh(BatchId),
    /// Read the part of a submission with this index.
    LoadPart(BatchId, usize),
    /// Read the page of results that starts at this position.
    LoadPage(BatchId, usize),
    /// Create the page of results that starts at this position.
    Append(BatchId, usize),
    /// Store the drafts of a job.
    Draft(BatchId),
    /// Read the drafts of a job.
    LoadDrafts(BatchId),
    /// Store the failures of a job, or read them after a conflict.
    Failures(BatchId),
    /// Read the failures of a job before it runs.
    LoadFailures(BatchId),
    /// Read the drafts of a job to see whether its runner still writes.
    Witness(BatchId),
    /// Mark a job as ended.
    End(BatchId),
    /// Make this process the runner of a job.
    TakeOver(BatchId),
    /// Clear the runner of a job so that another process takes it over.
    HandOver(BatchId),
    /// Store the counts of a usage window.
    Freeze(u64),
    /// Read the stored counts of a usage window.
    Frozen(u64),
    /// Write the peer entry of this process.
    Announce,
    /// Read the peer entry of this host after a conflict.
    Announced,
    /// Delete the peer entry of this process.
    Leave,
    /// Read or delete an object of an old job.
    Retire(BatchId),
    /// Delete the counts of an old usage window.
    Forget,
    /// Store or delete the request limit of a target.
    Limit(TargetName),
    /// Read the software version that began a stream, for a question about the pool.
    FindStream(CallId, PoolName),
    /// Store the software version that begins a stream, for a question.
    RecordStream(CallId, StreamId),
    /// Store the software version of the streams of a pool that have no record.
    Settle(PoolName),
    /// Store the crash of a target under a request.
    StoreCrash(Crash),
    /// Delete a crash that no longer counts.
    ForgetCrash(Crash),
}

impl Purpose {
    /// Returns the name under which calls of this purpose are counted.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::Part(..) => "part",
            Self::Accept(_) => "accept",
            Self::Find(_) => "find",
            Self::Refresh(_) => "refresh",
            Self::LoadPart(..) => "load_part",
            Self::LoadPage(..) => "load_page",
            Self::Append(..) => "append",
            Self::Draft(_) => "draft",
            Self::LoadDrafts(_) => "load_drafts",
            Self::Failures(_) => "failures",
            Self::LoadFailures(_) => "load_failures",
            Self::Witness(_) => "witness",
            Self::End(_) => "end",
            Self::TakeOver(_) => "take_over",
            Self::HandOver(_) => "hand_over",
            Self::Freeze(_) => "freeze",
            Self::Frozen(_) => "frozen",
            Self::Announce => "announce",
            Self::Announced => "announced",
            Self::Leave => "leave",
            Self::Retire(_) => "retire",
            Self::Forget => "forget",
            Self::Limit(_) => "limit",
            Self::FindStream(..) => "find_stream",
            Self::RecordStream(..) => "record_stream",
            Self::Settle(_) => "settle",
            Self::StoreCrash(_) => "store_crash",
            Self::ForgetCrash(_) => "forget_crash",
        }
    }
}

/// Kind of an object, which determines its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Configuration, written by operators.
    Config,
    /// Targets, registered by the targets themselves.
    Targets,
    /// Newest weight versions, written by trainers.
    Versions,
    /// Requests to empty store hosts, written by operators.
    Retirements,
    /// Evacuations of data centres, written by operators.
    Evacuations,
    /// Leases of duties.
    Leases,
    /// Heads of batch jobs.
    Heads,
    /// Parts of submissions.
    Parts,
    /// Pages of results.
    Pages,
    /// Unfinished texts of running batch jobs.
    Drafts,
    /// Failures of the items of running batch jobs.
    Failures,
    /// Gateway processes.
    Peers,
    /// Counts of usage windows.
    Windows,
    /// Request limits that targets stated.
    Limits,
    /// Software versions of pools, at which all streams without a record began.
    Software,
    /// Streams that began at another software version.
    Streams,
    /// Crashes of targets under requests.
    Crashes,
}

/// Content of a stored object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Lease of a duty.
    Lease(LeaseRecord),
    /// Head of a batch job.
    Head(Head),
    /// Part of the text of a submission.
    Part(Arc<str>),
    /// Page of results.
    Page(Page),
    /// Unfinished texts of a batch job.
    Drafts(Drafts),
    /// Failures of the items of a batch job.
    Failures(Failures),
    /// Gateway process.
    Peer(Peer),
    /// Counts of a usage window.
    Window(WindowCounts),
    /// Request limit of a target.
    Limit(StoredLimit),
    /// Software version of a pool or of a stream.
    Software(SoftwareRecord),
    /// Crash of a target under a request.
    Crash(StoredCrash),
}

/// Crash of a target under a request as stored, so that all processes know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrash {
    /// Request and target.
    #[serde(flatten)]
    pub crash: Crash,
    /// Time of the crash.
    pub at: WallTime,
}

/// Software version of a pool or of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareRecord {
    /// Software version.
    pub software: SoftwareVersion,
}

/// Request limit of a target as stored, so that a process that starts knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredLimit {
    /// Limit for all processes together.
    pub limit: RequestLimit,
    /// Start of the run of the target that stated it.
    pub started_at: u64,
}

/// Call to the object API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Read an object.
    Get(Kind, Arc<str>),
    /// Create an object. Fails if it exists.
    Create(Kind, Arc<str>, Record),
    /// Replace an object. Fails unless it is at this revision.
    Update(Kind, Arc<str>, Record, Revision),
    /// Delete an object at any revision. A call without an answer may take effect late, so this is
    /// only for names that are not used again.
    Delete(Kind, Arc<str>),
    /// Delete an object. Fails unless it is at this revision.
    DeleteAt(Kind, Arc<str>, Revision),
}

/// Successful answer of the object API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The write took effect at this revision.
    Written(Revision),
    /// The object with its revision, or `None` if it does not exist.
    Found(Option<(Revision, Record)>),
}

/// Object or deletion reported by a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchedObject {
    /// Routing table built from the current configuration.
    Table(Arc<RouteTable>),
    /// Registered target.
    Target(TargetEntry),
    /// Target whose entry was deleted.
    TargetGone(TargetName),
    /// The entry of a target cannot be read, so it names no target.
    TargetUnreadable(TargetName),
    /// Newest weight version of a model.
    Version(ModelName, WeightVersion),
    /// Head of a batch job.
    Head(BatchId, Revision, Head),
    /// Batch job whose head was deleted.
    HeadGone(BatchId),
    /// Gateway process, with the revision of its entry.
    Peer(Revision, Peer),
    /// Gateway process whose entry was deleted, with the last revision of the entry if it is known.
    PeerGone(HostName, Option<Revision>),
    /// Request limit of a target.
    Limit(TargetName, StoredLimit),
    /// Software version of the streams of a pool that have no record.
    Software(PoolName, Revision, SoftwareVersion),
    /// Crash of a target under a request.
    Crash(StoredCrash),
    /// Crash that no longer counts.
    CrashGone(Crash),
    /// Data centre that is evacuated.
    Evacuation(CentreName),
    /// Data centre whose evacuation was taken back.
    EvacuationGone(CentreName),
}
