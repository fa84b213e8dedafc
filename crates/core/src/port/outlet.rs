//! Port through which the control thread of a gateway executes effects.

use crate::decision::gateway::message::Effect;

/// Executes effects of a gateway. Results return to the control thread as messages.
pub trait Outlet: Send {
    /// Starts an effect. Must not block, because the control thread calls it.
    fn perform(&mut self, effect: Effect);
}
