//! Target orders of the holder of `orders/{data centre}`.
//!
//! Each order is recorded as an intent by conditional update before it is sent. There is one
//! intent object for each target, so a target has at most one open intent. A new holder waits,
//! completes the open intents under their old ids, and only then makes orders of its own.
//!
//! Call sequence of a holder:
//!
//! ```
//! use std::time::Duration;
//! use sardinepath_core::decision::order::{Dispatcher, Opening, OrderStep, Pacer, WAIT};
//! use sardinepath_core::domain::ids::{Fence, Revision};
//! use sardinepath_core::domain::name::{CentreName, TargetName};
//! use sardinepath_core::domain::time::Time;
//! use sardinepath_core::port::order::OrderAction;
//!
//! let start = Time(1_000);
//! let dispatcher = Dispatcher::take_over(CentreName::from("cx1"), Fence(3), start);
//! let Opening::Resolving(dispatcher) = dispatcher.open(start + WAIT) else { panic!() };
//! // Now list `intents/cx1/` and then read the states from the interface, in this order.
//! let now = start + WAIT;
//! let mut dispatcher = dispatcher.resolve(now, vec![], &[], Pacer::new(Duration::from_millis(100)));
//! let target = TargetName::from("e1");
//! dispatcher.order(now, target.clone(), OrderAction::Start)?;
//! let OrderStep::Record(_write) = dispatcher.next(now) else { panic!() };
//! dispatcher.recorded(now, &target, &Ok(Revision(9)));
//! // The sending thread prepares the connection and checks the lease's permit as its last step.
//! let OrderStep::Send(order) = dispatcher.next(now) else { panic!() };
//! assert_eq!((order.intent.as_str(), order.fence), ("e1-3-1", Fence(3)));
//! dispatcher.sent(now, &target, &Ok(()));
//! let OrderStep::Settle(_write) = dispatcher.next(now) else { panic!() };
//! dispatcher.recorded(now, &target, &Ok(Revision(10)));
//! assert_eq!(dispatcher.next(now), OrderStep::Idle);
//! # Ok::<(), sardinepath_core::decision::order::Busy>(())
//! ```
//!
//! # Remaining windows
//!
//! An interface that refuses old fencing tokens accepts no order of a former holder after the
//! first order of a newer one, however long a pause lasts. Without that check, the wait covers a
//! delay between the check of the permit and the arrival of the order of up to 19 s with exact
//! clocks: a challenger acquires at least 4 s after the permit ends (12 s - 8 s) and then waits
//! [`WAIT`] (15 s). With both clocks wrong by the tolerated 20 % it covers 12.5 s. A former holder
//! that is paused, or a network that delays its order, for longer than that can:
//!
//! - at an interface that remembers all intent ids: carry out an order that the new holder is
//!   about to complete under the same id. It runs once and never after a newer order for the same
//!   target, but can run after the new holder's first order for another target.
//! - at an interface that remembers only the last id of each target: also carry out an order
//!   after a newer one for the same target.

mod dispatcher;
mod intent;
mod pace;
mod want;

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
pub use crate::decision::order::want::Floor;
pub use crate::decision::order::want::Want;
use crate::domain::ids::Fence;
use crate::domain::name::CentreName;
use crate::domain::name::TargetName;
use crate::port::object::Expect;
use crate::port::order::OrderAction;

/// Longest time that an order is in flight. Senders give up a call after this time.
pub const FLIGHT: Duration = Duration::from_secs(3);

/// Time that a new holder waits before it resolves intents: lease length 10 s, margin 2 s and
/// [`FLIGHT`], so that no order of the former holder is still on its way.
pub const WAIT: Duration = Duration::from_secs(15);

/// Time after which a failed call is tried again.
pub const RETRY: Duration = Duration::from_secs(1);

/// State of an intent as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentState {
    /// The order may or may not have been sent.
    Open,
    /// The order has taken effect.
    Done,
}

/// An intent as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentRecord {
    /// Id of the order: target, fencing token and number joined by hyphens.
    pub id: Arc<str>,
    /// Fencing token of the recording holder.
    pub fence: Fence,
    /// The target.
    pub target: TargetName,
    /// What the order does.
    pub action: OrderAction,
    /// State of the intent.
    pub state: IntentState,
}

/// A conditional write of an intent object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentWrite {
    /// Path of the object.
    pub path: Arc<str>,
    /// New content.
    pub record: IntentRecord,
    /// Condition of the write.
    pub expect: Expect,
}

/// Returns the prefix of a data centre's intents.
pub fn prefix(centre: &CentreName) -> Arc<str> {
    Arc::from(format!("intents/{centre}/"))
}

/// Returns the path of a target's intent object.
pub fn path(centre: &CentreName, target: &TargetName) -> Arc<str> {
    Arc::from(format!("intents/{centre}/{target}"))
}
