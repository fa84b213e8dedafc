//! Events of the virtual world in order of time.

use std::collections::BTreeMap;

use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::time::Time;

use crate::policy::job::JobId;

/// What happens at a point in virtual time.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The next call of an open-loop client arrives.
    Arrive(usize),
    /// A trainer has finished training on a step.
    Trained(usize),
    /// A trainer asks again for a sample that was refused.
    Again(JobId),
    /// An attempt reaches its target.
    Reach(JobId, u32, usize),
    /// An attempt has its whole answer.
    Done(JobId, u32, usize),
    /// An attempt fails.
    Fail(JobId, u32, ErrorKind),
    /// A target reports to all entries.
    Report(usize),
    /// Timers of the entries run.
    Tick,
    /// Loads are sampled.
    Sample,
    /// New weights are published.
    Publish,
    /// A target has loaded a weight version.
    Swapped(usize, u64),
    /// The fault schedule begins.
    Break,
    /// The fault schedule ends.
    Mend,
}

/// Events to come. Events of the same time are taken in the order in which they were added.
#[derive(Debug, Default)]
pub struct Agenda {
    events: BTreeMap<(Time, u64), Event>,
    added: u64,
}

impl Agenda {
    /// Adds an event.
    pub fn add(&mut self, time: Time, event: Event) {
        self.added += 1;
        self.events.insert((time, self.added), event);
    }

    /// Takes the next event.
    pub fn take(&mut self) -> Option<(Time, Event)> {
        let ((time, _), event) = self.events.pop_first()?;
        Some((time, event))
    }
}
