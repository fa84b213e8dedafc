//! Life cycle of a process. Each state is a type, so a draining process cannot serve again.

use std::time::Duration;

use crate::domain::time::Time;

/// State of a process that prepares to serve.
#[derive(Debug)]
pub struct Starting;

/// State of a process that admits requests.
#[derive(Debug)]
pub struct Serving;

/// State of a process that admits no more requests and finishes the running ones.
#[derive(Debug)]
pub struct Draining {
    /// Time at which the drain ends even if requests are still running.
    until: Time,
}

/// A process in one state of its life cycle.
#[derive(Debug)]
pub struct Process<S> {
    /// Maximum duration of the drain.
    drain_limit: Duration,
    state: S,
}

/// Next step of a draining process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Wait for running requests, at most for this duration.
    Wait(Duration),
    /// Stop although requests are still running.
    GiveUp,
}

/// Result of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEnd {
    /// All running requests finished.
    Finished,
    /// The maximum duration passed first.
    LimitReached,
}

impl Process<Starting> {
    /// Creates a process whose drain takes at most `limit`.
    pub fn new(limit: Duration) -> Self {
        Self {
            drain_limit: limit,
            state: Starting,
        }
    }

    /// Moves to the serving state.
    pub fn serve(self) -> Process<Serving> {
        Process {
            drain_limit: self.drain_limit,
            state: Serving,
        }
    }
}

impl Process<Serving> {
    /// Starts the drain, which the first termination signal requests.
    pub fn drain(self, now: Time) -> Process<Draining> {
        Process {
            drain_limit: self.drain_limit,
            state: Draining {
                until: now + self.drain_limit,
            },
        }
    }
}

impl Process<Draining> {
    /// Returns whether to keep waiting while requests are still running.
    ///
    /// The result does not depend on further termination signals, so they neither shorten nor
    /// extend the drain.
    pub fn step(&self, now: Time) -> DrainStep {
        if now >= self.state.until {
            return DrainStep::GiveUp;
        }
        DrainStep::Wait(self.state.until.since(now))
    }
}

impl<S> Process<S> {
    /// Returns the maximum duration of the drain.
    pub fn drain_limit(&self) -> Duration {
        self.drain_limit
    }
}

/// Number of consecutive panics of a timer after which the state behind it counts as broken.
const MAX_TIMER_PANICS: u32 = 20;

/// What to do after a run of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerStep {
    /// Go on with the next run.
    Continue,
    /// End the process, so that it starts anew with an empty state.
    GiveUp,
}

/// Consecutive panics of a timer.
#[derive(Debug, Default)]
pub struct TimerPanics {
    count: u32,
}

impl TimerPanics {
    /// Records a run of the timer and returns what to do next.
    pub fn record(&mut self, panicked: bool) -> TimerStep {
        self.count = if panicked { self.count + 1 } else { 0 };
        if self.count >= MAX_TIMER_PANICS {
            TimerStep::GiveUp
        } else {
            TimerStep::Continue
        }
    }
}
