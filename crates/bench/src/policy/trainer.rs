//! Trainer model. A trainer trains on one step while the samples of the next step are generated.

use std::time::Duration;

use sardinepath_core::domain::time::Time;

use crate::policy::job::JobId;
use crate::policy::source::TRAINING_TIME;

/// Next action of a trainer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrainerAction {
    /// Wait for samples or for the end of the training.
    Wait,
    /// Train on the completed step until this time, and post the next step.
    Train(Time),
}

/// State of a trainer.
#[derive(Debug, Default)]
pub struct Trainer {
    /// Samples of the step that is being generated.
    pub samples: Vec<JobId>,
    /// Number of samples of this step that are not complete yet.
    pub incomplete: usize,
    /// End of the current or last training. `None` before the first one.
    training_end: Option<Time>,
    /// Start of the first training.
    first_training: Option<Time>,
    idle: Duration,
}

impl Trainer {
    /// Records that a sample is complete. Returns `true` if its step is complete as well.
    pub fn complete_sample(&mut self) -> bool {
        self.incomplete -= 1;
        self.incomplete == 0
    }

    /// Returns the next action after a step was completed or a training has ended.
    pub fn advance(&mut self, now: Time) -> TrainerAction {
        if self.incomplete > 0 || self.training_end.is_some_and(|end| now < end) {
            return TrainerAction::Wait;
        }
        self.idle += self
            .training_end
            .map_or(Duration::ZERO, |end| now.since(end));
        self.first_training.get_or_insert(now);
        let end = now + TRAINING_TIME;
        self.training_end = Some(end);
        TrainerAction::Train(end)
    }

    /// Returns the idle time and the total time since the first training started.
    pub fn idle_and_total(&self, end: Time) -> (Duration, Duration) {
        let current_idle = self
            .training_end
            .map_or(Duration::ZERO, |training_end| end.since(training_end));
        // A trainer without any completed step has been idle for the whole run.
        match self.first_training {
            Some(first_training) => (self.idle + current_idle, end.since(first_training)),
            None => (end.since(Time(0)), end.since(Time(0))),
        }
    }
}
