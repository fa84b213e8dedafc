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
use crate::domain::name::SoftwareVersion;
use crate::domain::name::WorkspaceName;
use crate::domain::time::WallTime;

/// Size of the names and separators of the fields of a stored result or draft, in bytes.
const FIELDS_BYTES: usize = 160;

/// Memory of an item beside its texts, in bytes.
const ITEM_BYTES: usize = 512;

/// Memory of a header beside its texts, in bytes.
const FIELD_BYTES: usize = 64;

/// A batch job as submitted by a caller. Immutable.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Model that generates the items, or `None` if the submission names none.
    pub model: Option<ModelName>,
    /// Oldest version that may generate a token.
    pub min_version: WeightVersion,
    /// Items in the order of the submission.
    pub items: Vec<Arc<Item>>,
    /// Encoded submission as received, which is what the object API stores.
    pub source: Arc<str>,
}

impl Batch {
    /// Returns the size of the submission in memory, in bytes.
    pub fn bytes(&self) -> usize {
        let items: usize = self.items.iter().map(|item| item.bytes()).sum();
        items + self.source.len()
    }
}

/// One request of a batch job.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Name of the item, which is also the request id at a target.
    pub id: ItemId,
    /// Path of the request.
    pub path: Arc<str>,
    /// Headers of the request.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body of the request.
    pub body: Arc<[u8]>,
    /// Expected number of output tokens, which determines the order of dispatch.
    pub expected_tokens: u64,
    /// Group of items that share a prompt.
    pub group: Option<GroupName>,
    /// Request that scores the complete text, or `None` if it is not scored.
    pub scorer: Option<Scorer>,
}

impl Item {
    /// Returns the size of the item in memory, in bytes.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers
            .map(|(name, value)| name.len() + value.len() + FIELD_BYTES)
            .sum();
        let scorer = self.scorer.as_ref().map_or(0, |scorer| scorer.body.len());
        self.body.len() + self.path.len() + headers + scorer + ITEM_BYTES
    }
}

/// A request that scores the text of an item.
#[derive(Clone, Debug, PartialEq)]
pub struct Scorer {
    /// Id of the request.
    pub id: Arc<str>,
    /// Value of the host header, which selects the route.
    pub host: Arc<str>,
    /// Path of the request, which selects the route.
    pub path: Arc<str>,
    /// Body of the request.
    pub body: Arc<[u8]>,
}

/// The mutable state of a batch job, stored as an object. The job is accepted when the object is
/// created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Workspace that owns the job, or `None` if the route needs no key.
    pub workspace: Option<WorkspaceName>,
    /// Route of the submission.
    pub route: RouteName,
    /// Host of the route.
    pub host: Arc<str>,
    /// Model that generates the items.
    pub model: Option<ModelName>,
    /// Oldest version that may generate a token.
    #[serde(rename = "least")]
    pub min_version: WeightVersion,
    /// Number of items.
    pub total: usize,
    /// Number of objects over which the encoded submission is split.
    pub parts: usize,
    /// Time at which the job was accepted, by the clock of the accepting host.
    pub accepted: WallTime,
    /// Process that runs the job, or `None` after the runner handed it over.
    pub runner: Option<Runner>,
    /// Number of times that a process took the job from a runner that had not handed it over.
    #[serde(default)]
    pub takeovers: u32,
    /// True once the caller has ended the job.
    pub ended: bool,
}

/// The process that runs a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Host of the process.
    pub host: HostName,
    /// Address of the process for other processes.
    pub address: SocketAddr,
    /// Run of the process, which changes at each restart.
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

/// Result of an item. It does not change once it is listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Item of the result.
    pub id: ItemId,
    /// True if the text is complete and has been scored where the item asks for it.
    pub complete: bool,
    /// Data of all events, separated by line feeds.
    pub text: Arc<str>,
    /// Weight versions that generated the events.
    pub versions: Vec<u64>,
    /// Digest of the response to the scoring request.
    pub score: Option<Arc<str>>,
}

/// Consecutive results of a job, stored as one object that is only ever created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Results in the order in which they were listed.
    pub outcomes: Vec<Arc<Outcome>>,
}

/// The text generated so far for an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialText {
    /// Data of the events so far, separated by line feeds.
    pub text: String,
    /// Number of events so far.
    pub events: u64,
    /// Weight versions that generated the events so far.
    pub versions: Vec<u64>,
    /// Software version of the target that generated the events, or `None` if there are none or an
    /// older process stored them without it.
    #[serde(default)]
    pub software: Option<SoftwareVersion>,
}

/// The text of an item without a listed result. It is stored so that another run of the item can
/// continue from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// Item of the draft.
    pub id: ItemId,
    /// Text generated so far.
    pub partial: PartialText,
    /// True if the text is complete.
    pub whole: bool,
}

/// All drafts of a batch job, stored as one object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drafts {
    /// Drafts, at most one for each item.
    pub drafts: Vec<Draft>,
}

/// What the answers of targets have shown of an item without a listed result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemFailures {
    /// Item that failed.
    pub id: ItemId,
    /// Number of runs at which a target failed.
    pub runs: u32,
    /// Number of scoring requests at which a target failed.
    pub scorings: u32,
    /// True if the item can never be done.
    pub impossible: bool,
}

/// Failures of the items of a batch job, stored as one object. An item is sent again only once its last
/// failure is stored, so that the next runner goes on counting.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// Failures, at most one entry for each item.
    pub items: Vec<ItemFailures>,
}

/// Returns the name of the object that holds a part of the encoded submission.
pub fn part_name(batch: &BatchId, part: usize) -> String {
    format!("{batch}.{part:04}")
}

/// Returns the name of the object that holds the page of results whose first one is at `start`.
pub fn page_name(batch: &BatchId, start: usize) -> String {
    format!("{batch}.{start:08}")
}

impl Draft {
    /// Returns the largest size that the draft has when it is stored, in bytes.
    pub fn encoded_size(&self) -> usize {
        let software = self.partial.software.as_ref();
        let software = software.map_or(0, |version| escaped_size(version.as_str()));
        let names = escaped_size(self.id.as_str()) + software;
        let versions = versions_size(&self.partial.versions);
        escaped_size(&self.partial.text) + names + versions + FIELDS_BYTES
    }

    /// Returns the text of a complete result as a draft, which is never continued.
    pub fn of_outcome(outcome: &Outcome) -> Self {
        Self {
            id: outcome.id.clone(),
            partial: PartialText {
                text: outcome.text.to_string(),
                events: 1,
                versions: outcome.versions.clone(),
                software: None,
            },
            whole: true,
        }
    }
}

impl ItemFailures {
    /// Returns the largest size that the failures have when they are stored, in bytes.
    pub fn encoded_size(&self) -> usize {
        escaped_size(self.id.as_str()) + FIELDS_BYTES
    }
}

impl Outcome {
    /// Returns the largest size that the result has when it is stored, in bytes.
    pub fn encoded_size(&self) -> usize {
        let score = self.score.as_deref().map_or(0, escaped_size);
        let names = escaped_size(self.id.as_str()) + score;
        escaped_size(&self.text) + names + versions_size(&self.versions) + FIELDS_BYTES
    }
}

/// Returns the size of a text as a JSON string without its quotes, in bytes.
fn escaped_size(text: &str) -> usize {
    let size = |byte: u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0x00..0x20 => 6,
        _ => 1,
    };
    text.bytes().map(size).sum()
}

/// Returns the largest size of a list of versions, in bytes.
fn versions_size(versions: &[u64]) -> usize {
    const VERSION_BYTES: usize = 21;
    versions.len() * VERSION_BYTES
}
