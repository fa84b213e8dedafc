//! Port through which trainers post steps and poll for their samples. An entry implements it, and
//! adapters of any wire format call it.

use std::sync::Arc;

use flume::Sender;

use crate::decision::authorize::Inbound;
use crate::decision::sample::GroupSpec;
use crate::decision::sample::Sample;
use crate::domain::error::Failure;
use crate::domain::ids::Revision;
use crate::domain::ids::WeightVersion;
use crate::domain::name::RouteId;

/// A step as a trainer posts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepOrder {
    /// The trainer's own name, unique within its workspace.
    pub trainer: Arc<str>,
    /// Number of the step.
    pub step: u64,
    /// The trainer's weight version.
    pub version: WeightVersion,
    /// Largest difference between the trainer's version and a sample's lowest version.
    pub staleness: u64,
    /// The groups.
    pub groups: Vec<GroupSpec>,
}

/// A trainer's question for samples.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepPoll {
    /// The trainer's own name.
    pub trainer: Arc<str>,
    /// Number of the step.
    pub step: u64,
    /// Cursor: groups that were delivered up to this revision are left out.
    pub after: Revision,
    /// The trainer's weight version.
    pub version: WeightVersion,
}

/// A delivered group.
#[derive(Clone, Debug, PartialEq)]
pub struct DeliveredGroup {
    /// Name of the group as posted.
    pub group: Arc<str>,
    /// Revision of the delivery.
    pub revision: Revision,
    /// Samples by index.
    pub samples: Vec<Sample>,
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// Groups after the cursor, in the order of their delivery.
    pub groups: Vec<DeliveredGroup>,
    /// Cursor of the next poll.
    pub next: Revision,
    /// True if every group of the step was delivered.
    pub done: bool,
}

/// What an entry offers to trainers. The inbound request carries the key; each call is refused
/// under the same rules as any other request of the route.
pub trait StepFront: Send + Sync {
    /// Tells whether steps can be posted to the route.
    fn is_model_route(&self, route: &RouteId) -> bool;

    /// Stores a step and has it run. Posting the same step again changes nothing.
    fn post(&self, inbound: &Inbound, order: StepOrder, reply: Sender<Result<(), Failure>>);

    /// Delivers samples. The answer waits a bounded time for a group.
    fn poll(&self, inbound: &Inbound, poll: StepPoll, reply: Sender<Result<Delivery, Failure>>);
}
