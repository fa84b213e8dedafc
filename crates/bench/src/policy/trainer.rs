//! Trainers: one step is generated while the trainer trains on the step before.

use std::time::Duration;

use sardinepath_core::domain::time::Time;

use crate::policy::job::JobId;
use crate::policy::source::TRAIN_TIME;

/// What a trainer does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Wait.
    Wait,
    /// Train on the step that is whole until this time, and post the next step.
    Train(Time),
}

/// State of one trainer.
#[derive(Debug, Default)]
pub struct Trainer {
    /// Samples of the step that is generated.
    pub samples: Vec<JobId>,
    /// Samples that are not whole yet.
    pub open: usize,
    /// End of the training that runs or ran last.
    busy: Option<Time>,
    /// Begin of the first training.
    begin: Option<Time>,
    idle: Duration,
}

impl Trainer {
    /// Notes that a sample is whole. Returns true if its step is.
    pub fn sample(&mut self) -> bool {
        self.open -= 1;
        self.open == 0
    }

    /// Decides what follows when a step is whole or a training has ended.
    pub fn advance(&mut self, now: Time) -> Next {
        if self.open > 0 || self.busy.is_some_and(|end| now < end) {
            return Next::Wait;
        }
        self.idle += self.busy.map_or(Duration::ZERO, |end| now.since(end));
        self.begin.get_or_insert(now);
        let end = now + TRAIN_TIME;
        self.busy = Some(end);
        Next::Train(end)
    }

    /// Returns the idle time and the time since the first training.
    pub fn times(&self, end: Time) -> (Duration, Duration) {
        let waits = self.busy.map_or(Duration::ZERO, |busy| end.since(busy));
        // A trainer that never got a step has waited for the whole run.
        match self.begin {
            Some(begin) => (self.idle + waits, end.since(begin)),
            None => (end.since(Time(0)), end.since(Time(0))),
        }
    }
}
