//! Wall clock for window numbers that tolerates jumps.

use std::time::Duration;

use crate::domain::time::Time;
use crate::domain::time::WallTime;

/// Difference between the two clocks, in milliseconds, that is adopted immediately. Allows for
/// gradual corrections.
const JUMP_TOLERANCE_MS: u64 = 2_000;

/// Time for which a jump must persist before it is adopted.
const JUMP_SETTLE_TIME: Duration = Duration::from_secs(600);

/// Wall clock that adopts a jump only after it has persisted.
#[derive(Clone, Copy, Debug)]
pub struct WindowClock {
    time: Time,
    wall: WallTime,
    /// Time at which the current jump was first observed, and its size in milliseconds.
    jump: Option<(Time, i128)>,
}

impl WindowClock {
    /// Creates a clock from a reading of both clocks.
    pub fn new(time: Time, wall: WallTime) -> Self {
        let jump = None;
        Self { time, wall, jump }
    }

    /// Returns the wall time to use for a reading of both clocks.
    pub fn read(&mut self, time: Time, wall: WallTime) -> WallTime {
        let passed = u64::try_from(time.since(self.time).as_millis()).unwrap_or(u64::MAX);
        let expected = WallTime(self.wall.0.saturating_add(passed));
        let offset = i128::from(wall.0) - i128::from(expected.0);
        let is_near = |a: i128, b: i128| a.abs_diff(b) <= u128::from(JUMP_TOLERANCE_MS);
        let settled = match self.jump {
            _ if is_near(offset, 0) => true,
            Some((since, first)) if is_near(first, offset) => time.since(since) >= JUMP_SETTLE_TIME,
            _ => {
                self.jump = Some((time, offset));
                false
            }
        };
        if settled {
            *self = Self::new(time, wall);
            return wall;
        }
        expected
    }
}

impl WallTime {
    /// Returns the number of the window that contains this time.
    pub fn window(self, length: Duration) -> u64 {
        let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        self.0 / length.max(1)
    }
}
