//! Request limits that targets state.

use serde::Deserialize;
use serde::Serialize;

/// Highest limit, in requests a second. Higher statements count as this one.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// Number of requests a second that a target accepts from all processes together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestLimit(f64);

/// A number that is no request limit: negative, infinite or not a number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidLimit(pub f64);

/// What an answer of a target says about its request limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitStatement {
    /// The target states this limit.
    Limited(RequestLimit),
    /// The target states no limit.
    Unlimited,
    /// The target states a limit that cannot be read.
    Unreadable,
}

impl RequestLimit {
    /// Creates a limit from a number of requests a second.
    pub fn new(per_second: f64) -> Result<Self, InvalidLimit> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second.min(MAX_PER_SECOND)))
        } else {
            Err(InvalidLimit(per_second))
        }
    }

    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestLimit {
    type Error = InvalidLimit;

    fn try_from(per_second: f64) -> Result<Self, InvalidLimit> {
        Self::new(per_second)
    }
}

impl From<RequestLimit> for f64 {
    fn from(limit: RequestLimit) -> Self {
        limit.0
    }
}

impl std::fmt::Display for RequestLimit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::fmt::Display for InvalidLimit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} is not a request limit", self.0)
    }
}
