//! Retry budget of a route.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Share of a retry that each request earns. Ten requests pay for one retry, so a pool that
/// fails wholly sees at most 1.1 times its load.
const EARNED: f64 = 0.1;

/// Retries that a route with little traffic has at hand.
const FLOOR: f64 = 3.0;

/// Most retries that can be saved up. More would let a burst of retries meet a recovering pool.
const CEILING: f64 = 10.0;

/// Upper bound of the first delay.
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// Upper bound of any delay.
const LAST_DELAY: Duration = Duration::from_secs(2);

/// Retries that a route may still make.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    level: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { level: FLOOR }
    }
}

impl Budget {
    /// Notes a new request.
    pub(super) fn earn(&mut self) {
        self.level = (self.level + EARNED).min(CEILING);
    }

    /// Takes one retry, if there is one.
    pub(super) fn take(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

/// Draws the delay before a retry, uniformly between zero and a bound that doubles each time.
pub(super) fn delay(attempts: u32, random: &mut impl Rng) -> Duration {
    let bound = FIRST_DELAY * (1 << attempts.saturating_sub(1).min(6));
    let bound = bound.min(LAST_DELAY);
    bound.mul_f64(random.random::<f64>())
}
