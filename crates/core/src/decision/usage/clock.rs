//! Window numbers from a wall clock that can jump.

use std::time::Duration;

use crate::domain::time::Time;
use crate::domain::time::WallTime;

/// Difference between the two clocks that is adopted at once. Covers gradual corrections.
const TOLERANCE: u64 = 2_000;

/// Time for which a jump must last before it is adopted.
const SETTLE: Duration = Duration::from_secs(600);

/// Wall clock that adopts a jump only after it has lasted.
#[derive(Clone, Copy, Debug)]
pub struct WindowClock {
    time: Time,
    wall: WallTime,
    /// When the present jump was first seen, and how far the wall clock was off.
    jump: Option<(Time, i128)>,
}

impl WindowClock {
    /// Starts from a reading of both clocks.
    pub fn new(time: Time, wall: WallTime) -> Self {
        let jump = None;
        Self { time, wall, jump }
    }

    /// Takes in a reading of both clocks and returns the time to use.
    pub fn read(&mut self, time: Time, wall: WallTime) -> WallTime {
        let passed = u64::try_from(time.since(self.time).as_millis()).unwrap_or(u64::MAX);
        let expected = WallTime(self.wall.0.saturating_add(passed));
        let off = i128::from(wall.0) - i128::from(expected.0);
        let near = |a: i128, b: i128| a.abs_diff(b) <= u128::from(TOLERANCE);
        let settled = match self.jump {
            _ if near(off, 0) => true,
            Some((since, first)) if near(first, off) => time.since(since) >= SETTLE,
            _ => {
                self.jump = Some((time, off));
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
    /// Returns the number of the window that runs at this time.
    pub fn window(self, length: Duration) -> u64 {
        let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        self.0 / length.max(1)
    }
}
