//! Availability of the object API.

use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::stored::Kind;
use crate::domain::event::Event;
use crate::domain::time::Time;

/// Availability of the object API as this process observes it.
#[derive(Clone, Copy, Debug)]
pub(in crate::decision::gateway) struct StoreHealth {
    /// Start of the current outage.
    pub(in crate::decision::gateway) outage_start: Option<Time>,
    /// End of the last outage, initially the start of the process.
    restored_at: Time,
    /// Time at which the calls that had waited in an outage were sent, initially the start of the
    /// process.
    pub(in crate::decision::gateway) returned_at: Time,
}

impl StoreHealth {
    /// Creates the state of a process that starts now.
    pub(in crate::decision::gateway) fn new(now: Time) -> Self {
        Self {
            outage_start: None,
            restored_at: now,
            returned_at: now,
        }
    }

    /// Records that the object API answered or did not.
    pub(in crate::decision::gateway) fn record(&mut self, now: Time, up: bool) {
        if !up {
            self.outage_start.get_or_insert(now);
        } else if self.outage_start.take().is_some() {
            self.restored_at = now;
        }
    }

    /// Returns the length of the current outage, or zero.
    pub(in crate::decision::gateway) fn outage_time(&self, now: Time) -> Duration {
        self.outage_start
            .map_or(Duration::ZERO, |start| now.since(start))
    }

    /// Returns the time since the last outage ended, or zero during an outage.
    pub(in crate::decision::gateway) fn uptime(&self, now: Time) -> Duration {
        match self.outage_start {
            Some(_) => Duration::ZERO,
            None => now.since(self.restored_at),
        }
    }
}

impl Gateway {
    /// Handles the loss or return of contact by the watch of a kind.
    pub(in crate::decision::gateway) fn contact_changed(&mut self, kind: Kind, up: bool) {
        self.store.record(self.now, up);
        if up {
            self.objects_received();
        } else {
            self.store_probed(false);
        }
        if kind == Kind::Targets {
            match up {
                true => self.target_watch.regained(self.now),
                false => self.target_watch.lost(self.now),
            }
        }
        let event = if up {
            Event::WatchRegained
        } else {
            Event::WatchLost
        };
        self.log(event, vec![("kind", format!("{kind:?}"))]);
    }
}
