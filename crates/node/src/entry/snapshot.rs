//! State that the control thread publishes for the traffic threads.

use std::sync::Arc;

use arc_swap::ArcSwap;
use sardinepath_core::decision::admission::EntrySnapshot;
use sardinepath_core::decision::config::Config;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::peer::HeartbeatState;

/// State that traffic threads read without a message to the control thread.
#[derive(Debug)]
pub struct Snapshot {
    /// The current configuration.
    pub config: Arc<Config>,
    /// `true` once a configuration at or above the lowest acceptable revision was read.
    pub ready: bool,
    /// Time until which keys may be checked, or none before the entry is ready.
    pub keys_until: Option<Time>,
    /// Heartbeat that this entry sends to other entries.
    pub heartbeat: HeartbeatState,
}

/// The snapshot that the control thread replaces and traffic threads read.
pub type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

/// Creates the snapshot of an entry that has read no configuration.
pub fn new_snapshot(heartbeat: HeartbeatState) -> SharedSnapshot {
    Arc::new(ArcSwap::from_pointee(Snapshot {
        config: Arc::default(),
        ready: false,
        keys_until: None,
        heartbeat,
    }))
}

impl Snapshot {
    /// Returns the state on which decisions about new requests are based.
    pub fn view(&self) -> EntrySnapshot<'_> {
        EntrySnapshot {
            config: &self.config,
            ready: self.ready,
            keys_until: self.keys_until,
        }
    }
}
