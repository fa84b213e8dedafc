//! Orders from the holder of a duty to the agent beside a target.

use std::sync::Arc;

use crate::domain::error::ErrorKind;
use crate::domain::ids::Fence;
use crate::domain::ids::WeightVersion;
use crate::domain::name::ModelName;

/// An order to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentOrder {
    /// Fencing token of the sender's lease.
    pub fence: Fence,
    /// Id of the intent that records the order.
    pub intent: Arc<str>,
    /// What to do.
    pub action: AgentAction,
}

/// What an order does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentAction {
    /// Loads a weight version.
    Load {
        /// The model.
        model: ModelName,
        /// The version.
        version: WeightVersion,
    },
    /// Stops new requests. Running ones finish.
    Drain,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// Highest fencing token that this run of the agent has seen.
    pub fence: Fence,
    /// Success, or the reason why the order did not take effect or may not have.
    pub result: Result<(), ErrorKind>,
}
