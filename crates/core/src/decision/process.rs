//! Life cycle of a process. Each state is a type, so a process that drains cannot serve again.

use std::time::Duration;

use crate::domain::time::Time;

/// Prepares to serve.
#[derive(Debug)]
pub struct Starting;

/// Admits requests.
#[derive(Debug)]
pub struct Serving;

/// Admits no requests and finishes those that run.
#[derive(Debug)]
pub struct Draining {
    /// End of the drain, finished or not.
    until: Time,
}

/// A process in one state of its life cycle.
#[derive(Debug)]
pub struct Process<S> {
    limit: Duration,
    state: S,
}

/// What a draining process does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Wait for running requests, at most for this long.
    Wait(Duration),
    /// Stop although requests are running.
    GiveUp,
}

/// How a drain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEnd {
    /// All running requests finished.
    Finished,
    /// The drain limit passed first.
    LimitReached,
}

impl Process<Starting> {
    /// Starts the life of a process whose drain takes at most `limit`.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            state: Starting,
        }
    }

    /// Notes that the process admits requests.
    pub fn serve(self) -> Process<Serving> {
        Process {
            limit: self.limit,
            state: Serving,
        }
    }
}

impl Process<Serving> {
    /// Starts the drain at the first termination signal.
    pub fn drain(self, now: Time) -> Process<Draining> {
        Process {
            limit: self.limit,
            state: Draining {
                until: now + self.limit,
            },
        }
    }
}

impl Process<Draining> {
    /// Decides whether to wait on for requests that are still running.
    ///
    /// A further termination signal is no input, so it can neither shorten nor extend the drain.
    pub fn step(&self, now: Time) -> DrainStep {
        if now >= self.state.until {
            return DrainStep::GiveUp;
        }
        DrainStep::Wait(self.state.until.since(now))
    }
}

impl<S> Process<S> {
    /// Returns the longest time that the drain takes.
    pub fn limit(&self) -> Duration {
        self.limit
    }
}
