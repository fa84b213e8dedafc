//! Port to the platform's interface that starts and stops targets by data centre.

use serde::Deserialize;
use serde::Serialize;

use crate::domain::ids::Fence;
use crate::domain::name::CentreName;
use crate::domain::name::TargetName;

/// An order to start or stop one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetOrder {
    /// Id of the intent that records the order. The interface ignores a repeated id.
    pub intent: String,
    /// Fencing token of the sender's lease.
    pub fence: Fence,
    /// Data centre of the target.
    pub centre: CentreName,
    /// The target.
    pub target: TargetName,
    /// What to do.
    pub action: OrderAction,
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Starts the target.
    Start,
    /// Stops the target.
    Stop,
}

/// State of a target as the interface knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetState {
    /// The target.
    pub target: TargetName,
    /// True if it is started or starting.
    pub started: bool,
    /// Intent of the last order that took effect.
    pub intent: String,
}

/// Why an order did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The interface has seen a newer fencing token.
    Fenced,
    /// The order certainly had no effect.
    Unavailable(String),
    /// The order may have taken effect; ask for the state.
    Unknown(String),
}

/// The interface for target orders.
pub trait OrderPort: Send + Sync {
    /// Opens a connection, so that a following `send` only writes.
    fn prepare(&self) -> Result<(), OrderError>;

    /// Sends one order.
    fn send(&self, order: &TargetOrder) -> Result<(), OrderError>;

    /// Reads the state of the targets of a data centre.
    fn states(&self, centre: &CentreName) -> Result<Vec<TargetState>, OrderError>;
}
