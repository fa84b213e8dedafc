//! AveragePace of targets, by which slow ones are told from fast ones.
//!
//! Answers a load of long texts on targets of a few speeds: a step ends with its longest text, so the
//! texts go to the fast targets, and leave slow ones while fast ones have free slots. Runners pass their
//! measurements on to each other, since each one uses only some of the targets.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Weight of the newest measurement in the exponential moving average of the pace.
const SMOOTHING: f64 = 0.4;

/// Age up to which measurements are passed on. It covers two pings.
const TELL_AGE: Duration = Duration::from_millis(1_200);

/// Maximum number of measurements that are passed on at once.
const MAX_TOLD: usize = 256;

/// Divisor of the number of paces that gives the rank of the reference pace, counted from the fastest.
/// Slow targets may be most of those that a process has measured.
const REFERENCE_DIVISOR: usize = 4;

/// Average pace of a target: the interval between two events of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AveragePace {
    /// Interval in milliseconds.
    pub(super) millis: f64,
    /// Time of the newest measurement.
    measured: Time,
}

/// AveragePace of a target as another process measured it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldPace {
    /// Name of the target.
    pub target: TargetName,
    /// Interval between two events in milliseconds.
    pub millis: f64,
    /// Time since the newest measurement in milliseconds.
    pub age: u64,
}

impl AveragePace {
    /// Returns the average after a measurement of this process.
    pub(super) fn measure(before: Option<Self>, now: Time, millis: f64) -> Self {
        let old = before.map_or(millis, |before| before.millis);
        Self {
            millis: old * (1.0 - SMOOTHING) + millis * SMOOTHING,
            measured: now,
        }
    }

    /// Returns the pace that another process told if it is newer, or else the known one.
    pub(super) fn learn(before: Option<Self>, now: Time, told: &ToldPace) -> Option<Self> {
        let measured = Time(now.0.saturating_sub(told.age));
        let sound = told.millis.is_finite() && told.millis > 0.0;
        if !sound || before.is_some_and(|before| before.measured >= measured) {
            return before;
        }
        Some(Self {
            millis: told.millis,
            measured,
        })
    }

    /// Returns the pace for other processes, or `None` if it is too old to help them.
    fn tell(self, now: Time, target: &TargetName) -> Option<ToldPace> {
        let age = now.since(self.measured);
        (age < TELL_AGE).then(|| ToldPace {
            target: target.clone(),
            millis: self.millis,
            age: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }
}

/// Returns the recent paces for other processes.
pub(super) fn recent<'a>(
    now: Time,
    paces: impl Iterator<Item = (&'a TargetName, Option<AveragePace>)>,
) -> Vec<ToldPace> {
    let told = paces.filter_map(|(target, pace)| pace?.tell(now, target));
    told.take(MAX_TOLD).collect()
}

/// Returns the pace of the fast targets in milliseconds, to which others are compared, or `None` if
/// none is known.
pub(super) fn reference(paces: impl Iterator<Item = AveragePace>) -> Option<f64> {
    let mut millis: Vec<f64> = paces.map(|pace| pace.millis).collect();
    millis.sort_by(f64::total_cmp);
    let rank = millis.len().saturating_sub(1) / REFERENCE_DIVISOR;
    millis.get(rank).copied()
}
