//! Life cycle of the start of a target. Each state is a type, so an invalid transition does not
//! compile.

use std::time::Duration;

use crate::domain::time::Time;

/// Time for which a target that may have become cold counts as such unless its entry says so. An
/// entry is renewed each 1.2 s and arrives with the delay of the watch.
const DOUBT_TIME: Duration = Duration::from_secs(3);

/// Start of a target in one state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start<S> {
    state: S,
}

/// The target may be cold, although its entry does not say so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown {
    until: Time,
}

/// The target is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cold {
    until: Time,
}

/// The target is not cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Open;

/// Start of a target in any state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The target may be cold, although its entry does not say so.
    Unknown(Start<Unknown>),
    /// The target is cold.
    Cold(Start<Cold>),
    /// The target is not cold.
    Open(Start<Open>),
}

impl Start<Unknown> {
    /// Begins the start of a target that may be cold.
    pub fn new(now: Time) -> Self {
        let until = now + DOUBT_TIME;
        Self {
            state: Unknown { until },
        }
    }

    /// Returns the state after an entry, which says for how long the target stays cold. Only an entry
    /// of a target that is seen for the first time tells that it is not cold.
    fn after_entry(self, now: Time, cold: Duration) -> State {
        match cold.is_zero() {
            true => State::Unknown(self),
            false => State::Cold(Start::cold(now, cold)),
        }
    }

    fn after_wait(self, now: Time) -> State {
        match now >= self.state.until {
            true => State::Open(Start { state: Open }),
            false => State::Unknown(self),
        }
    }
}

impl Start<Cold> {
    /// Begins the start of a target that stays cold for some time.
    fn cold(now: Time, time: Duration) -> Self {
        Self {
            state: Cold { until: now + time },
        }
    }

    /// Returns the state after an entry. One without a cold time ends the cold start early.
    fn after_entry(self, now: Time, cold: Duration) -> State {
        match cold.is_zero() {
            true => State::Open(self.open()),
            false => State::Cold(Start::cold(now, cold)),
        }
    }

    fn after_wait(self, now: Time) -> State {
        match now >= self.state.until {
            true => State::Open(self.open()),
            false => State::Cold(self),
        }
    }

    fn open(self) -> Start<Open> {
        Start { state: Open }
    }
}

impl Start<Open> {
    /// Returns the state after an entry. A target may become cold at any moment.
    fn after_entry(self, now: Time, cold: Duration) -> State {
        match cold.is_zero() {
            true => State::Open(self),
            false => State::Cold(Start::cold(now, cold)),
        }
    }
}

impl State {
    /// Returns the state of a target by its first entry.
    pub fn first(now: Time, cold: Duration) -> Self {
        State::Open(Start { state: Open }).after_entry(now, cold)
    }

    /// Returns the state after an entry.
    pub fn after_entry(self, now: Time, cold: Duration) -> Self {
        match self {
            State::Unknown(start) => start.after_entry(now, cold),
            State::Cold(start) => start.after_entry(now, cold),
            State::Open(start) => start.after_entry(now, cold),
        }
    }

    /// Returns the state at a time.
    pub fn at(self, now: Time) -> Self {
        match self {
            State::Unknown(start) => start.after_wait(now),
            State::Cold(start) => start.after_wait(now),
            State::Open(_) => self,
        }
    }

    /// Returns `true` if the target may be cold.
    pub fn may_be_cold(self) -> bool {
        matches!(self, State::Unknown(_) | State::Cold(_))
    }
}
