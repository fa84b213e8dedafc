//! Port through which trainers post steps and poll for their samples. An entry implements it, and
//! adapters for any wire format call it.

use std::sync::Arc;

use flume::Sender;

use crate::decision::authorize::Inbound;
use crate::decision::sample::GroupSpec;
use crate::decision::sample::Sample;
use crate::domain::error::Failure;
use crate::domain::ids::Revision;
use crate::domain::ids::WeightVersion;
use crate::domain::name::RouteId;

/// A training step for which a trainer orders samples.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepOrder {
    /// Name of the trainer, unique within its workspace.
    pub trainer: Arc<str>,
    /// Number of the step.
    pub step: u64,
    /// Weight version of the trainer.
    pub version: WeightVersion,
    /// Maximum difference between the trainer's version and the lowest version of a sample.
    pub staleness: u64,
    /// Groups of samples to generate.
    pub groups: Vec<GroupSpec>,
}

/// A poll of a trainer for finished groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepPoll {
    /// Name of the trainer, unique within its workspace.
    pub trainer: Arc<str>,
    /// Number of the step.
    pub step: u64,
    /// Cursor: groups delivered up to this revision are omitted.
    pub after: Revision,
    /// Weight version of the trainer.
    pub version: WeightVersion,
}

/// A delivered group.
#[derive(Clone, Debug, PartialEq)]
pub struct DeliveredGroup {
    /// Name of the group, as the trainer posted it.
    pub group: Arc<str>,
    /// Revision at which the group was delivered.
    pub revision: Revision,
    /// Samples of the group, ordered by index.
    pub samples: Vec<Sample>,
}

/// Response to a poll.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// Groups after the cursor, in the order in which they were delivered.
    pub groups: Vec<DeliveredGroup>,
    /// Cursor for the next poll.
    pub next: Revision,
    /// True if every group of the step has been delivered.
    pub done: bool,
}

/// Service of an entry for trainers. The inbound request carries the key, and a call is refused
/// under the same rules as any other request on the route.
pub trait StepFront: Send + Sync {
    /// Returns `true` if steps can be posted to the route.
    fn is_model_route(&self, route: &RouteId) -> bool;

    /// Stores a step and starts to run it. Posting the same step again has no effect.
    fn post(&self, inbound: &Inbound, order: StepOrder, reply: Sender<Result<(), Failure>>);

    /// Replies with finished groups, waiting for a limited time if there are none.
    fn poll(&self, inbound: &Inbound, poll: StepPoll, reply: Sender<Result<Delivery, Failure>>);
}
