//! Port to the platform's order interface, which starts and stops targets by data centre.

use serde::Deserialize;
use serde::Serialize;

use crate::domain::ids::Fence;
use crate::domain::name::CentreName;
use crate::domain::name::TargetName;

/// An order to start or stop one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetOrder {
    /// Id of the stored intent that records the order. The interface ignores a repeated id.
    pub intent: String,
    /// Fencing token of the sender's lease.
    pub fence: Fence,
    /// Data centre of the target.
    pub centre: CentreName,
    /// Target to start or stop.
    pub target: TargetName,
    /// Action that the platform executes.
    pub action: OrderAction,
}

/// Action of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Starts the target.
    Start,
    /// Stops the target.
    Stop,
}

/// State of a target, as the order interface reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetState {
    /// Name of the target.
    pub target: TargetName,
    /// True if the target is started or starting.
    pub started: bool,
    /// Id of the intent of the last order that took effect.
    pub intent: String,
}

/// Reason why a call to the order interface failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The interface has received a newer fencing token.
    Fenced,
    /// The order had no effect. Contains the reason.
    Unavailable(String),
    /// The order may have taken effect, so the state must be read to find out. Contains the reason.
    Unknown(String),
}

/// Client of the order interface.
pub trait OrderPort: Send + Sync {
    /// Opens a connection, so that the next `send` only has to write the order.
    fn prepare(&self) -> Result<(), OrderError>;

    /// Sends an order.
    fn send(&self, order: &TargetOrder) -> Result<(), OrderError>;

    /// Reads the state of all targets in a data centre.
    fn states(&self, centre: &CentreName) -> Result<Vec<TargetState>, OrderError>;
}
