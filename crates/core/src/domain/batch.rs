//! Batch jobs: many requests that are submitted at once and run later.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::fleet::Peer;
use crate::domain::ids::Incarnation;
use crate::domain::ids::WeightVersion;
use crate::domain::name::BatchId;
use crate::domain::name::GroupName;
use crate::domain::name::HostName;
use crate::domain::name::ItemId;
use crate::domain::name::ModelName;
use crate::domain::name::RouteName;
use crate::domain::name::WorkspaceName;
use crate::domain::time::WallTime;

/// What a caller submits. Immutable.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Model whose weights generate the items.
    pub model: Option<ModelName>,
    /// Oldest version that may generate a token.
    pub least: WeightVersion,
    /// Items in the order of the submission.
    pub items: Vec<Arc<Item>>,
    /// The submission as it came, for the object API.
    pub source: Arc<str>,
}

/// One request of a batch job.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Name, also the id of its request at a target.
    pub id: ItemId,
    /// Path of its request.
    pub path: Arc<str>,
    /// Headers of its request.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body of its request.
    pub body: Arc<[u8]>,
    /// Expected output in tokens, for the order of dispatch.
    pub size: u64,
    /// Group of items with a common prompt.
    pub group: Option<GroupName>,
    /// Request that scores the finished text.
    pub scorer: Option<Scorer>,
}

/// The request that scores a text.
#[derive(Clone, Debug, PartialEq)]
pub struct Scorer {
    /// Id of the request.
    pub id: Arc<str>,
    /// Host that selects the route.
    pub host: Arc<str>,
    /// Path.
    pub path: Arc<str>,
    /// Body.
    pub body: Arc<[u8]>,
}

/// The changing part of a batch job, stored as an object. Creating it accepts the job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Owner.
    pub workspace: Option<WorkspaceName>,
    /// Route of the submission.
    pub route: RouteName,
    /// Host of the route.
    pub host: Arc<str>,
    /// Model of the items.
    pub model: Option<ModelName>,
    /// Oldest version that may generate a token.
    pub least: WeightVersion,
    /// Number of items.
    pub total: usize,
    /// Number of objects that hold the submission.
    pub parts: usize,
    /// When the job was accepted, by the clock of the accepting host.
    pub accepted: WallTime,
    /// Process that runs the job, or none after a hand-over.
    pub runner: Option<Runner>,
    /// True if the caller has ended the job.
    pub ended: bool,
}

/// The process that runs a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Host of the process.
    pub host: HostName,
    /// Address for other processes.
    pub address: SocketAddr,
    /// Run of the process.
    pub incarnation: Incarnation,
}

impl From<&Peer> for Runner {
    fn from(peer: &Peer) -> Self {
        Self {
            host: peer.host.clone(),
            address: peer.address,
            incarnation: peer.incarnation,
        }
    }
}

/// Result of an item. It never changes once it is listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The item.
    pub id: ItemId,
    /// True if the text is whole and scored.
    pub complete: bool,
    /// Data of all events, separated by line feeds.
    pub text: Arc<str>,
    /// Every version that generated an event.
    pub versions: Vec<u64>,
    /// Proof of the scoring request's answer.
    pub score: Option<Arc<str>>,
}

/// Consecutive results of a job, stored as one object that is only ever created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The results.
    pub outcomes: Vec<Arc<Outcome>>,
}

/// What has been generated of an item's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// Data of the events so far, separated by line feeds.
    pub text: String,
    /// Number of events so far.
    pub events: u64,
    /// Every version that generated one of them.
    pub versions: Vec<u64>,
}

/// The text of an item that is not listed yet, kept so that another run can go on from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// The item.
    pub id: ItemId,
    /// Text so far.
    pub partial: Partial,
    /// True if the text is whole.
    pub whole: bool,
}

/// Drafts of a job, stored as one object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drafts {
    /// The drafts.
    pub drafts: Vec<Draft>,
}

/// Returns the name of the object that holds a part of a submission.
pub fn part_name(batch: &BatchId, part: usize) -> String {
    format!("{batch}.{part:04}")
}

/// Returns the name of the object that holds the results from a position on.
pub fn page_name(batch: &BatchId, start: usize) -> String {
    format!("{batch}.{start:08}")
}

impl Outcome {
    /// Returns roughly the bytes that the result takes when it is encoded.
    pub fn weight(&self) -> usize {
        const FIELDS: usize = 160;
        self.text.len() + FIELDS
    }
}
