//! Queue of simulation events, ordered by time.

use std::collections::BTreeMap;

use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::time::Time;

use crate::policy::job::JobId;

/// Event at a point in virtual time. Clients and targets are given by their index.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The next call of this open-loop client arrives at an entry.
    Arrive(usize),
    /// The trainer of this client finishes training on a step.
    Trained(usize),
    /// A trainer resubmits this sample, which was refused.
    Resubmit(JobId),
    /// This attempt of the job reaches this target.
    Reach(JobId, u32, usize),
    /// This attempt of the job ends at this target, with a complete answer or at its deadline.
    Done(JobId, u32, usize),
    /// This attempt of the job fails.
    Fail(JobId, u32, ErrorKind),
    /// This target sends a report to all entries.
    Report(usize),
    /// The timers of the entries run.
    Tick,
    /// The loads of all targets are sampled.
    Sample,
    /// A new weight version is published.
    Publish,
    /// This target finishes loading this weight version.
    WeightsLoaded(usize, u64),
    /// The fault of the run starts.
    FaultStart,
    /// The fault of the run ends.
    FaultEnd,
}

/// Queue of future events. Events of the same time are returned in the order in which they were
/// added.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn push(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    /// Removes and returns the earliest event, or `None` if there is none.
    pub fn pop(&mut self) -> Option<(Time, Event)> {
        let ((time, _), event) = self.events.pop_first()?;
        Some((time, event))
    }
}
