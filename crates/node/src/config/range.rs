//! Ranges of numbers in settings. They are checked while a file is read, so that errors have a
//! position.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

/// Allowed numbers of traffic threads. Hosts have fewer cores than the maximum.
const THREAD_RANGE: RangeInclusive<u64> = 1..=64;

/// Allowed drain limits in seconds, up to one day.
const DRAIN_LIMIT_RANGE: RangeInclusive<u64> = 1..=86_400;

/// Default drain limit in seconds. It exceeds the maximum request deadline of ten minutes.
const DEFAULT_DRAIN_LIMIT: u64 = 900;

/// Allowed lengths of a usage window in seconds, up to one day.
const WINDOW_RANGE: RangeInclusive<u64> = 1..=86_400;

/// Default length of a usage window in seconds.
const DEFAULT_WINDOW: u64 = 300;

/// Allowed memory of a host in megabytes. With less, the largest body and its copies have no room.
const MEMORY_RANGE: RangeInclusive<u64> = 64..=1 << 20;

/// Default memory of a host in megabytes.
const DEFAULT_MEMORY: usize = 256;

/// Deserializes the memory of a host in megabytes.
pub(super) fn memory<'de, D: Deserializer<'de>>(input: D) -> Result<usize, D::Error> {
    let number = in_range(input, &MEMORY_RANGE)?;
    usize::try_from(number).map_err(D::Error::custom)
}

/// Returns the default memory of a host in megabytes.
pub(super) fn default_memory() -> usize {
    DEFAULT_MEMORY
}

/// Deserializes a number of threads.
pub(super) fn threads<'de, D: Deserializer<'de>>(input: D) -> Result<usize, D::Error> {
    let number = in_range(input, &THREAD_RANGE)?;
    usize::try_from(number).map_err(D::Error::custom)
}

/// Deserializes a drain limit in seconds.
pub(super) fn drain_limit<'de, D: Deserializer<'de>>(input: D) -> Result<u64, D::Error> {
    in_range(input, &DRAIN_LIMIT_RANGE)
}

/// Returns the default drain limit in seconds.
pub(super) fn default_drain_limit() -> u64 {
    DEFAULT_DRAIN_LIMIT
}

/// Deserializes the length of a usage window in seconds.
pub(super) fn window<'de, D: Deserializer<'de>>(input: D) -> Result<u64, D::Error> {
    in_range(input, &WINDOW_RANGE)
}

/// Returns the default length of a usage window in seconds.
pub(super) fn default_window() -> u64 {
    DEFAULT_WINDOW
}

fn in_range<'de, D: Deserializer<'de>>(
    input: D,
    range: &RangeInclusive<u64>,
) -> Result<u64, D::Error> {
    let number = u64::deserialize(input)?;
    if range.contains(&number) {
        return Ok(number);
    }
    let (start, end) = (range.start(), range.end());
    Err(D::Error::custom(format!(
        "{number} is not between {start} and {end}"
    )))
}
