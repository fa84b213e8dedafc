//! Requests that this process sent to a target lately.

use std::collections::VecDeque;
use std::time::Duration;

use crate::domain::time::Time;

/// Time for which a choice of a target whose requests are counted is valid.
pub const COUNTED_VALIDITY: Duration = Duration::from_millis(400);

/// Longest time that a request needs to its target once it is sent.
const TRANSIT_TIME: Duration = Duration::from_millis(100);

/// Time for which a request counts after its target was chosen. Requests that arrive within any one
/// second were chosen within this time.
pub const SEND_SPAN: Duration = Duration::from_millis(1_500);

const _: () = assert!(
    SEND_SPAN.as_millis() == 1_000 + COUNTED_VALIDITY.as_millis() + TRANSIT_TIME.as_millis()
);

/// Times of the requests that this process sent to a target, the oldest first.
#[derive(Debug, Default)]
pub struct Sends {
    times: VecDeque<Time>,
}

impl Sends {
    /// Records a request for which the target is chosen now.
    pub fn record(&mut self, now: Time) {
        self.drop_old(now);
        self.times.push_back(now);
    }

    /// Removes the last request, which does not count.
    pub fn retract(&mut self) {
        self.times.pop_back();
    }

    /// Returns the number of requests that count.
    pub fn count(&self, now: Time) -> u32 {
        let old = self.times.partition_point(|at| now.since(*at) >= SEND_SPAN);
        u32::try_from(self.times.len() - old).unwrap_or(u32::MAX)
    }

    fn drop_old(&mut self, now: Time) {
        let old = |at: &mut Time| now.since(*at) >= SEND_SPAN;
        while self.times.pop_front_if(old).is_some() {}
    }
}
