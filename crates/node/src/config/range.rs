//! Ranges of numbers in settings, checked while they are read so that faults have a position.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

/// Allowed numbers of traffic threads. A host of today has fewer cores than the upper end.
const THREADS: RangeInclusive<u64> = 1..=64;

/// Allowed drain limits in seconds, up to a day.
const DRAIN_LIMIT: RangeInclusive<u64> = 1..=86_400;

/// Default drain limit in seconds. Above the longest request deadline of ten minutes.
const DRAIN_LIMIT_DEFAULT: u64 = 900;

/// Allowed lengths of a usage window in seconds, up to a day.
const WINDOW: RangeInclusive<u64> = 1..=86_400;

/// Default length of a usage window in seconds.
const WINDOW_DEFAULT: u64 = 300;

/// Reads a number of threads.
pub(super) fn threads<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    let number = within(from, &THREADS)?;
    usize::try_from(number).map_err(D::Error::custom)
}

/// Reads a drain limit in seconds.
pub(super) fn drain_limit<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    within(from, &DRAIN_LIMIT)
}

/// Returns the default drain limit in seconds.
pub(super) fn default_drain_limit() -> u64 {
    DRAIN_LIMIT_DEFAULT
}

/// Reads the length of a usage window in seconds.
pub(super) fn window<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    within(from, &WINDOW)
}

/// Returns the default length of a usage window in seconds.
pub(super) fn default_window() -> u64 {
    WINDOW_DEFAULT
}

fn within<'de, D: Deserializer<'de>>(
    from: D,
    range: &RangeInclusive<u64>,
) -> Result<u64, D::Error> {
    let number = u64::deserialize(from)?;
    if range.contains(&number) {
        return Ok(number);
    }
    let (start, end) = (range.start(), range.end());
    Err(D::Error::custom(format!(
        "{number} is not between {start} and {end}"
    )))
}
