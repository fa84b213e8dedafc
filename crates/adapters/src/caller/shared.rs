//! State that the listener for callers and its connections share.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use sardinepath_core::port::front::CallerFront;

use crate::caller::limits::CallerLimits;
use crate::memory::BodyMemory;

/// State shared by all connections.
pub(super) struct Shared {
    pub(super) limits: CallerLimits,
    pub(super) front: Arc<dyn CallerFront>,
    /// Memory for the bodies of requests.
    pub(super) memory: BodyMemory,
    /// True once new requests are refused.
    pub(super) draining: AtomicBool,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("limits", &self.limits)
            .field("draining", &self.draining)
            .finish_non_exhaustive()
    }
}
