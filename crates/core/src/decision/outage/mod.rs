//! What a process knows of the object API, and what it does with a submission meanwhile.
//!
//! The calls of a process go to the object API or, if that does not answer it, through relays. What
//! it knows is therefore one of three: the API answers here, it answers other processes, or it
//! answers nobody that this process can ask.

use std::time::Duration;

use crate::domain::time::Time;

/// Time before the end of a caller's patience at which a held submission is answered, so that the
/// answer arrives in time also if another process forwarded the submission.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// Minimum remaining patience for which a submission is held. The shortest outages last as long.
pub const MIN_HOLD: Duration = Duration::from_millis(1_000);

/// Delay before a rejected caller should come back, without the parts that distribute callers.
const RETRY_BASE: Duration = Duration::from_millis(600);

/// Part of the delay for each priority rank, so that more urgent callers come back first.
const RETRY_PER_RANK: Duration = Duration::from_millis(400);

/// Highest rank that delays a caller. Callers honour at most a third of the time that they have left.
const MAX_RETRY_RANK: u32 = 3;

/// Maximum random part of the delay in milliseconds.
const RETRY_SPREAD_MS: u64 = 400;

/// From where the object API answers, as far as this process knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It answers this process.
    Direct,
    /// It has not answered direct calls for this time, but relayed ones.
    Relayed(Duration),
    /// Neither direct calls nor relayed ones have been answered for this time.
    Nowhere(Duration),
}

/// What to do with a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Course {
    /// Store it through the object API or through a relay.
    Store,
    /// Hold it until this time, and run its items meanwhile.
    Hold(Time),
    /// Reject it. The caller should come back after this delay.
    Reject(Duration),
}

impl Reach {
    /// Returns the reach that follows from the lengths of the current outages of direct calls and of
    /// all calls, or `None` for calls that are answered.
    pub fn new(direct: Option<Duration>, calls: Option<Duration>) -> Self {
        match (direct, calls) {
            (_, Some(time)) => Self::Nowhere(time),
            (Some(time), None) => Self::Relayed(time),
            (None, None) => Self::Direct,
        }
    }

    /// Returns `true` if calls are answered, directly or through a relay.
    pub fn is_answered(self) -> bool {
        !matches!(self, Self::Nowhere(_))
    }
}

impl Course {
    /// Chooses what to do with a submission that is not stored yet. `until` is the end of the caller's
    /// patience, `failed` whether a call for the submission has failed, and `rank` its priority.
    pub fn choose(
        now: Time,
        reach: Reach,
        until: Time,
        failed: bool,
        rank: u32,
        random: u64,
    ) -> Self {
        let answer = Time(until.0.saturating_sub(millis(ANSWER_MARGIN)));
        if reach.is_answered() && !failed {
            Self::Store
        } else if answer >= now + MIN_HOLD {
            Self::Hold(answer)
        } else {
            Self::Reject(retry_delay(rank, random))
        }
    }
}

/// Returns the delay after which a rejected caller should come back: by priority, and distributed so
/// that not all callers of one rank arrive together.
pub fn retry_delay(rank: u32, random: u64) -> Duration {
    let spread = Duration::from_millis(random % RETRY_SPREAD_MS);
    RETRY_BASE + RETRY_PER_RANK * rank.min(MAX_RETRY_RANK) + spread
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
