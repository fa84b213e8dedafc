//! Objects of the object API as the gateway reads and writes them, and its calls.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::decision::lease::LeaseRecord;
use crate::decision::tally::Figures;
use crate::domain::batch::Drafts;
use crate::domain::batch::Head;
use crate::domain::batch::Page;
use crate::domain::fleet::Listed;
use crate::domain::fleet::Peer;
use crate::domain::ids::Revision;
use crate::domain::ids::WeightVersion;
use crate::domain::name::BatchId;
use crate::domain::name::HostName;
use crate::domain::name::ModelName;
use crate::domain::name::TargetName;
use crate::domain::table::RouteTable;

/// Why a call to the object API is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Read or change the lease.
    Lease,
    /// Store a part of a submission.
    Part(BatchId, usize),
    /// Accept a job.
    Accept(BatchId),
    /// Find a job that is not known here.
    Find(BatchId),
    /// Read a job whose state is in doubt.
    Refresh(BatchId),
    /// Read a part of a submission.
    LoadPart(BatchId, usize),
    /// Read the page at a position.
    LoadPage(BatchId, usize),
    /// Write the page at a position.
    Append(BatchId, usize),
    /// Write the drafts of a job.
    Draft(BatchId),
    /// Read the drafts of a job.
    LoadDrafts(BatchId),
    /// Mark a job as ended.
    End(BatchId),
    /// Become the runner of a job.
    TakeOver(BatchId),
    /// Hand a job over.
    HandOver(BatchId),
    /// Store the figures of a window.
    Freeze(u64),
    /// Read the figures of a window.
    Frozen(u64),
    /// Announce this process.
    Announce,
    /// Read the entry of this process.
    Announced,
    /// Remove the entry of this process.
    Leave,
    /// Remove the objects of an old job.
    Retire(BatchId),
    /// Remove something that is of no more use.
    Forget,
}

/// Kinds of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The configuration, written by operators.
    Config,
    /// Targets, written by themselves.
    Targets,
    /// Versions of weights, written by trainers.
    Versions,
    /// Store hosts to be emptied, written by operators.
    Retirements,
    /// Leases.
    Leases,
    /// Heads of batch jobs.
    Heads,
    /// Parts of submissions.
    Parts,
    /// Pages of results.
    Pages,
    /// Drafts of texts.
    Drafts,
    /// Processes of the system.
    Peers,
    /// Figures of usage windows.
    Windows,
}

/// Content of an object of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A lease.
    Lease(LeaseRecord),
    /// Head of a batch job.
    Head(Head),
    /// A part of a submission, as text.
    Part(Arc<str>),
    /// A page of results.
    Page(Page),
    /// Drafts of texts.
    Drafts(Drafts),
    /// A process of the system.
    Peer(Peer),
    /// Figures of a usage window.
    Window(Figures),
}

/// A call to the object API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Read an object.
    Get(Kind, Arc<str>),
    /// Create an object that must not exist.
    Create(Kind, Arc<str>, Record),
    /// Replace an object that must be at this revision.
    Update(Kind, Arc<str>, Record, Revision),
    /// Delete an object, whatever its revision.
    Delete(Kind, Arc<str>),
}

/// Answer of the object API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The write took effect at this revision.
    Written(Revision),
    /// The object, or none if it does not exist.
    Found(Option<(Revision, Record)>),
}

/// An object, or its absence, as a watch reports it.
#[derive(Clone, Debug, PartialEq)]
pub enum View {
    /// A version of the configuration.
    Table(Arc<RouteTable>),
    /// A target.
    Target(Listed),
    /// A target whose entry is gone.
    TargetGone(TargetName),
    /// The newest version of a model.
    Version(ModelName, WeightVersion),
    /// A batch job.
    Head(BatchId, Revision, Head),
    /// A batch job that was deleted.
    HeadGone(BatchId),
    /// A process of the system.
    Peer(Peer),
    /// A process that has left.
    PeerGone(HostName),
}
