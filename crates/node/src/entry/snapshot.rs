//! What the control thread publishes for the traffic threads.

use std::sync::Arc;

use arc_swap::ArcSwap;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::entrance::View;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::peer::HeartbeatState;

/// What traffic threads read without asking.
#[derive(Debug)]
pub struct Snapshot {
    /// The configuration in force.
    pub config: Arc<Config>,
    /// True once a configuration at or above the floor of the other entries was read.
    pub ready: bool,
    /// Time until which keys may be checked.
    pub keys: Option<Time>,
    /// What this entry tells other entries.
    pub pulse: HeartbeatState,
}

/// The published snapshot.
pub type Published = Arc<ArcSwap<Snapshot>>;

/// Creates the snapshot of an entry that has read nothing.
pub fn new_snapshot(pulse: HeartbeatState) -> Published {
    Arc::new(ArcSwap::from_pointee(Snapshot {
        config: Arc::default(),
        ready: false,
        keys: None,
        pulse,
    }))
}

impl Snapshot {
    /// Returns what decisions on new requests need.
    pub fn view(&self) -> View<'_> {
        View {
            config: &self.config,
            ready: self.ready,
            keys: self.keys,
        }
    }
}
