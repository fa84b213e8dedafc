//! Delays before an item or its scoring request is sent again.

use std::time::Duration;

/// Delay before an item is sent to another target after a failed attempt.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Delay after a target refused an item without running it. The target itself is paused for longer.
pub(super) const REFUSAL_DELAY: Duration = Duration::from_millis(20);

/// Delay before an item is sent again after a second crash of a target under it. It doubles with each
/// further one. An item is still owed, but must not take one target after the other down.
const CRASH_DELAY: Duration = Duration::from_millis(500);

/// Maximum delay after a crash. An item may not wait much longer while targets are free.
const MAX_CRASH_DELAY: Duration = Duration::from_secs(2);

/// Returns the delay before an item is sent again after a crash, by the number of crashes before it.
pub(super) fn crash_delay(earlier: u32) -> Duration {
    match earlier.checked_sub(1) {
        Some(doublings) => {
            (CRASH_DELAY * 2_u32.saturating_pow(doublings.min(8))).min(MAX_CRASH_DELAY)
        }
        None => RETRY_DELAY,
    }
}
