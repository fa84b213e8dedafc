//! Slots of a pool that can serve a model.

use crate::decision::directory::Directory;
use crate::decision::directory::TargetNeeds;
use crate::domain::ids::WeightVersion;
use crate::domain::name::ModelName;
use crate::domain::name::PoolName;
use crate::domain::time::Time;

/// Slots of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Number of slots of all targets that serve the model.
    pub slots: u32,
    /// Number of them at which no request is known to run.
    pub free: u32,
}

impl Directory {
    /// Returns the slots of the targets of a pool that serve a model, or of all targets without one.
    pub fn room(
        &self,
        now: Time,
        pool: &PoolName,
        model: Option<&(ModelName, WeightVersion)>,
    ) -> Room {
        let need = TargetNeeds {
            model: model.cloned(),
            ..TargetNeeds::default()
        };
        let fitting = self
            .targets
            .values()
            .filter(|t| t.fits(now, pool, &need, &self.places));
        fitting.fold(Room::default(), |room, target| {
            let slots = target.entry.slots;
            let busy = target.running.saturating_add(target.remote_running);
            Room {
                slots: room.slots.saturating_add(slots),
                free: room.free.saturating_add(slots.saturating_sub(busy)),
            }
        })
    }
}
