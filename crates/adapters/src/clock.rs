//! System clocks.

use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use sardinepath_core::domain::time::Time;
use sardinepath_core::domain::time::WallTime;
use sardinepath_core::port::clock::Clock;

/// Clock that reads `CLOCK_BOOTTIME`, which includes suspended time, and the wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostClock;

impl Clock for HostClock {
    fn now(&self) -> Time {
        let boot_time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(boot_time.tv_sec).unwrap_or(0);
        let millis = u64::try_from(boot_time.tv_nsec / 1_000_000).unwrap_or(0);
        Time(seconds * 1000 + millis)
    }

    fn wall_time(&self) -> WallTime {
        let elapsed = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}
