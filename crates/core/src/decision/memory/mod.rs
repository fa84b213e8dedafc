//! Budget of the bytes that a process holds for its callers.
//!
//! It answers the load of clients that nobody controls: many large bodies at once, most of which stop
//! short of their end and stay open. Each body is counted as it arrives. When there is no room, the
//! body that has made no progress for longest is shed, first of the owner that holds the most, and
//! only bodies that have stalled. A body that finds no room waits, and is refused after a while.
//! Small bodies have a reserve that large ones cannot use.

mod limits;

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::domain::name::WorkspaceName;
use crate::domain::time::Time;

pub use crate::decision::memory::limits::MemoryLimits;
pub use crate::decision::memory::limits::max_connections;

/// Size up to which a body may use the reserve, in bytes.
pub const SMALL_BYTES: usize = 64 << 10;

/// Time without progress after which a body may be shed if there is no room for another one.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Number of bytes that count as progress. A client that sends a byte now and then makes none.
const PROGRESS_BYTES: usize = 4 << 10;

/// Time for which a body waits for room before it is refused.
pub const MAX_WAIT: Duration = Duration::from_secs(2);

new_key_type! {
    /// Identifies a body that is held.
    pub struct HoldingKey;
}

/// Who is charged for a body.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Owner {
    /// A workspace, known by its key.
    Workspace(WorkspaceName),
    /// All callers of open routes together.
    Open,
}

/// What happens to a body that grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The bytes are counted and may be held.
    Admit,
    /// Nothing is counted. Another body must be shed, and the question asked again.
    Shed(HoldingKey),
    /// Nothing is counted. The question must be asked again when there may be room.
    Wait,
    /// Nothing is counted. The body must be given up.
    Refuse,
}

/// Stage of a body.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// The body arrives.
    Arriving {
        /// Time of the last progress.
        progress: Time,
        /// Size at the last progress.
        mark: usize,
    },
    /// The body waits for room since this time, which is not the fault of its client.
    Waiting(Time),
    /// The body must be released by the task that reads it.
    Shed,
    /// The body is complete and is being served.
    Complete,
}

#[derive(Clone, Debug)]
struct Holding {
    owner: Owner,
    bytes: usize,
    stage: Stage,
}

/// Budget of the bytes of all bodies.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limits: MemoryLimits,
    holdings: SlotMap<HoldingKey, Holding>,
    owners: HashMap<Owner, usize>,
    used: usize,
}

impl MemoryBudget {
    /// Creates a budget without holdings.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            holdings: SlotMap::with_key(),
            owners: HashMap::new(),
            used: 0,
        }
    }

    /// Returns the limits of the budget.
    pub fn limits(&self) -> MemoryLimits {
        self.limits
    }

    /// Returns the number of bytes that are held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of bytes that an owner holds.
    pub fn used_by(&self, owner: &Owner) -> usize {
        self.owners.get(owner).copied().unwrap_or(0)
    }

    /// Adds a body of which nothing has arrived.
    pub fn arrive(&mut self, now: Time, owner: Owner) -> HoldingKey {
        self.holdings.insert(Holding {
            owner,
            bytes: 0,
            stage: Stage::Arriving {
                progress: now,
                mark: 0,
            },
        })
    }

    /// Decides whether a body may grow by this number of bytes.
    pub fn grow(&mut self, now: Time, key: HoldingKey, bytes: usize) -> Grant {
        let Some(holding) = self.holdings.get(key) else {
            return Grant::Refuse;
        };
        if matches!(holding.stage, Stage::Shed) {
            return Grant::Refuse;
        }
        let size = holding.bytes.saturating_add(bytes);
        if size > self.limits.largest().max(SMALL_BYTES) {
            return Grant::Refuse;
        }
        match self.shortage(holding, size) {
            None => self.admit(now, key, size),
            Some(shortage) => self.make_room(now, key, shortage),
        }
    }

    /// Records that this number of bytes of a body has arrived in total.
    pub fn arrived(&mut self, now: Time, key: HoldingKey, total: usize) {
        if let Some(holding) = self.holdings.get_mut(key)
            && let Stage::Arriving { progress, mark } = &mut holding.stage
            && total >= *mark + PROGRESS_BYTES
        {
            (*progress, *mark) = (now, total);
        }
    }

    /// Records that a body is complete. It is not shed any more.
    pub fn complete(&mut self, key: HoldingKey) {
        if let Some(holding) = self.holdings.get_mut(key)
            && !matches!(holding.stage, Stage::Shed)
        {
            holding.stage = Stage::Complete;
        }
    }

    /// Removes a body.
    pub fn release(&mut self, key: HoldingKey) {
        let Some(holding) = self.holdings.remove(key) else {
            return;
        };
        self.used -= holding.bytes;
        if let Some(used) = self.owners.get_mut(&holding.owner) {
            *used -= holding.bytes;
            if *used == 0 {
                self.owners.remove(&holding.owner);
            }
        }
    }

    /// Returns what a body lacks to reach a size, or `None` if there is room.
    fn shortage(&self, holding: &Holding, size: usize) -> Option<Shortage> {
        let more = size - holding.bytes;
        let small = size <= SMALL_BYTES;
        let reserve = if small { 0 } else { self.limits.reserve };
        if self.used + more > self.limits.bodies - reserve {
            return Some(Shortage::Process);
        }
        let share = self.limits.share + if small { self.limits.reserve / 2 } else { 0 };
        if self.used_by(&holding.owner) + more > share {
            return Some(Shortage::Owner);
        }
        None
    }

    fn admit(&mut self, now: Time, key: HoldingKey, size: usize) -> Grant {
        let Some(holding) = self.holdings.get_mut(key) else {
            return Grant::Refuse;
        };
        let more = size - holding.bytes;
        if let Stage::Waiting(_) = holding.stage {
            holding.stage = Stage::Arriving {
                progress: now,
                mark: holding.bytes,
            };
        }
        holding.bytes = size;
        if more > 0 {
            *self.owners.entry(holding.owner.clone()).or_default() += more;
            self.used += more;
        }
        Grant::Admit
    }

    /// Decides how a body gets the room that it lacks.
    fn make_room(&mut self, now: Time, key: HoldingKey, shortage: Shortage) -> Grant {
        let Some(holding) = self.holdings.get_mut(key) else {
            return Grant::Refuse;
        };
        let since = match holding.stage {
            Stage::Waiting(since) => since,
            _ => now,
        };
        if now.since(since) >= MAX_WAIT {
            return Grant::Refuse;
        }
        holding.stage = Stage::Waiting(since);
        let owner = holding.owner.clone();
        let among = match shortage {
            Shortage::Owner => Some(&owner),
            Shortage::Process => None,
        };
        match self.most_stalled(now, among) {
            Some(victim) => {
                self.holdings[victim].stage = Stage::Shed;
                Grant::Shed(victim)
            }
            None => Grant::Wait,
        }
    }

    /// Returns the body that has stalled for longest, of the owner that holds the most or of the
    /// given one.
    fn most_stalled(&self, now: Time, owner: Option<&Owner>) -> Option<HoldingKey> {
        let stalled = self.holdings.iter().filter_map(|(key, holding)| {
            let Stage::Arriving { progress, .. } = holding.stage else {
                return None;
            };
            let counted = owner.is_none_or(|owner| *owner == holding.owner);
            let time = now.since(progress);
            let held = self.used_by(&holding.owner);
            (counted && holding.bytes > 0 && time >= STALL_TIME).then_some((held, time, key))
        });
        stalled.max().map(|(.., key)| key)
    }
}

/// What is short.
#[derive(Clone, Copy, Debug)]
enum Shortage {
    /// The bytes of the whole process.
    Process,
    /// The share of the owner.
    Owner,
}
