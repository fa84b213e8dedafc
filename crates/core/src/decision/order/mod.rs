//! Target orders, issued by the holder of the duty `orders/{data centre}`.
//!
//! Each order is recorded as an intent by conditional update before it is sent. There is one
//! intent object per target, so a target has at most one open intent. A new holder waits,
//! completes the open intents under their existing ids, and only then issues its own orders.
//!
//! Call sequence of a holder:
//!
//! ```
//! use std::time::Duration;
//! use sardinepath_core::decision::order::{Dispatcher, Opening, OrderStep, Pacer, TAKEOVER_DELAY};
//! use sardinepath_core::domain::ids::{Fence, Revision};
//! use sardinepath_core::domain::name::{CentreName, TargetName};
//! use sardinepath_core::domain::time::Time;
//! use sardinepath_core::port::order::OrderAction;
//!
//! let start = Time(1_000);
//! let dispatcher = Dispatcher::take_over(CentreName::from("cx1"), Fence(3), start);
//! let Opening::Resolving(dispatcher) = dispatcher.open(start + TAKEOVER_DELAY) else { panic!() };
//! // First list `intents/cx1/`, then read the target states from the interface.
//! let now = start + TAKEOVER_DELAY;
//! let mut dispatcher = dispatcher.resolve(now, vec![], &[], Pacer::new(Duration::from_millis(100)));
//! let target = TargetName::from("e1");
//! dispatcher.order(now, target.clone(), OrderAction::Start)?;
//! let OrderStep::Record(_write) = dispatcher.next(now) else { panic!() };
//! dispatcher.recorded(now, &target, &Ok(Revision(9)));
//! // The sending thread prepares the connection and checks the lease's permit last.
//! let OrderStep::Send(order) = dispatcher.next(now) else { panic!() };
//! assert_eq!((order.intent.as_str(), order.fence), ("e1-3-1", Fence(3)));
//! dispatcher.sent(now, &target, &Ok(()));
//! let OrderStep::Settle(_write) = dispatcher.next(now) else { panic!() };
//! dispatcher.recorded(now, &target, &Ok(Revision(10)));
//! assert_eq!(dispatcher.next(now), OrderStep::Idle);
//! # Ok::<(), sardinepath_core::decision::order::Busy>(())
//! ```
//!
//! # Known limitations
//!
//! An interface that rejects outdated fencing tokens accepts no order of a former holder after the
//! first order of a newer one, however long the former holder is paused. Without that check, the
//! delay after take-over tolerates up to 19 s between the check of the permit and the arrival of
//! the order if the clocks are exact: a challenger acquires at least 4 s after the permit ends (12
//! s - 8 s) and then waits [`TAKEOVER_DELAY`] (15 s). With both clocks wrong by the tolerated 20 %,
//! it is 12.5 s. If a former holder is paused, or the network delays its order, for longer than
//! that, a late order can take effect:
//!
//! - At an interface that remembers all intent ids, the late order has the id under which the new
//!   holder is about to complete it. It runs once and never after a newer order for the same
//!   target, but it can run after the new holder's first order for another target.
//! - At an interface that remembers only the last id of each target, a late order can also run
//!   after a newer one for the same target.

mod dispatcher;
mod intent;
mod pace;
mod policy;

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub use crate::decision::order::dispatcher::Active;
pub use crate::decision::order::dispatcher::Busy;
pub use crate::decision::order::dispatcher::Dispatcher;
pub use crate::decision::order::dispatcher::Opening;
pub use crate::decision::order::dispatcher::OrderStep;
pub use crate::decision::order::dispatcher::Resolving;
pub use crate::decision::order::dispatcher::Waiting;
pub use crate::decision::order::intent::Applied;
pub use crate::decision::order::intent::Drafted;
pub use crate::decision::order::intent::Intent;
pub use crate::decision::order::intent::Recorded;
pub use crate::decision::order::pace::Pacer;
pub use crate::decision::order::policy::PoolFloorPolicy;
pub use crate::decision::order::policy::TargetPolicy;
use crate::domain::ids::Fence;
use crate::domain::name::CentreName;
use crate::domain::name::TargetName;
use crate::port::object::Precondition;
use crate::port::order::OrderAction;

/// Maximum time that an order is assumed to be in flight. Senders abandon a call after this time.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time that a new holder waits before it resolves intents, so that no order of the former holder
/// is still in flight: lease length (10 s), margin (2 s) and [`ORDER_TIMEOUT`] (3 s).
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(15);

/// Delay before a failed call is retried.
pub const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Stored state of an intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentState {
    /// The order may or may not have been sent.
    Open,
    /// The order has taken effect.
    Done,
}

/// Stored content of an intent object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentRecord {
    /// Id of the order: target, fencing token and sequence number, joined by hyphens.
    pub id: Arc<str>,
    /// Fencing token of the holder that recorded the intent.
    pub fence: Fence,
    /// Target that the order addresses.
    pub target: TargetName,
    /// Action that the target performs.
    pub action: OrderAction,
    /// Whether the order has taken effect.
    pub state: IntentState,
}

/// A conditional write of an intent object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentWrite {
    /// Path of the object.
    pub path: Arc<str>,
    /// Content to write.
    pub record: IntentRecord,
    /// Condition under which the write takes effect.
    pub expect: Precondition,
}

/// Returns the path prefix of a data centre's intent objects.
pub fn prefix(centre: &CentreName) -> Arc<str> {
    Arc::from(format!("intents/{centre}/"))
}

/// Returns the path of a target's intent object.
pub fn path(centre: &CentreName, target: &TargetName) -> Arc<str> {
    Arc::from(format!("intents/{centre}/{target}"))
}
