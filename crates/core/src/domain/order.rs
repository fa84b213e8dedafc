//! Orders from the holder of a duty to the agent beside a target.

use std::sync::Arc;

use crate::domain::error::ErrorKind;
use crate::domain::ids::Fence;
use crate::domain::ids::WeightVersion;
use crate::domain::name::ModelName;

/// An order to the agent beside one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentOrder {
    /// Fencing token of the sender's lease.
    pub fence: Fence,
    /// Id of the stored intent that records the order.
    pub intent: Arc<str>,
    /// Action that the agent executes.
    pub action: AgentAction,
}

/// Action of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentAction {
    /// Loads a weight version.
    Load {
        /// Model whose weights are loaded.
        model: ModelName,
        /// Weight version to load.
        version: WeightVersion,
    },
    /// Refuses new requests and lets running ones finish.
    Drain,
}

/// Answer of an agent to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// Highest fencing token that this run of the agent has seen.
    pub fence: Fence,
    /// Success, or the reason why the order did not take effect or its effect is unknown.
    pub result: Result<(), ErrorKind>,
}
