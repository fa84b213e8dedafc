//! Retry budget of a route and backoff between attempts.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Number of retries that each request adds to the budget. With one retry per ten requests a
/// pool whose targets all fail gets at most 1.1 times its load.
const RETRY_RATIO: f64 = 0.1;

/// Initial number of retries, so that a route with little traffic can retry too.
const INITIAL_RETRIES: f64 = 3.0;

/// Maximum number of saved retries. It bounds the burst of retries at a recovering pool.
const MAX_RETRIES: f64 = 10.0;

/// Upper bound of the first backoff.
const BASE_BACKOFF: Duration = Duration::from_millis(50);

/// Upper bound of every backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Number of retries that a route may still make, as a balance with fractions.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds the fraction of a retry that a new request contributes.
    pub(super) fn deposit(&mut self) {
        self.balance = (self.balance + RETRY_RATIO).min(MAX_RETRIES);
    }

    /// Removes one retry. Returns `false` if less than one is left.
    pub(super) fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Returns a random delay before the next attempt, uniform between zero and a bound that doubles
/// with each attempt.
pub(super) fn backoff(attempts: u32, random: &mut impl Rng) -> Duration {
    let bound = BASE_BACKOFF * (1 << attempts.saturating_sub(1).min(6));
    let bound = bound.min(MAX_BACKOFF);
    bound.mul_f64(random.random::<f64>())
}
