//! Port through which the control thread of a gateway acts.

use crate::decision::gateway::message::Effect;

/// Carries out the effects of a gateway. Answers come back as messages.
pub trait Outlet: Send {
    /// Starts to carry an effect out. Must not wait.
    fn perform(&mut self, effect: Effect);
}
