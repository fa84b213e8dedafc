//! Errors of requests that got no response.

use std::fmt;

/// Reason why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The request was not sent.
    NotSent(String),
    /// A reused connection closed before any response. The request may have arrived.
    Dropped(String),
    /// The connection ended after the request was sent and before the whole response.
    Closed(String),
    /// The request was sent, at least in part, and may have arrived.
    MayHaveArrived(String),
}

impl SendError {
    /// Returns the error of a request that was written to a new connection.
    pub(super) fn of_new(error: &hyper::Error) -> Self {
        match error.is_parse() {
            true => Self::MayHaveArrived(error.to_string()),
            false => Self::Closed(error.to_string()),
        }
    }

    /// Returns the error of a request that was written to a reused connection. A malformed response
    /// shows that the server received the request, so only other errors count as a closed connection.
    pub(super) fn of_reused(error: &hyper::Error) -> Self {
        match Self::of_new(error) {
            Self::Closed(reason) => Self::Dropped(reason),
            other => other,
        }
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Dropped(reason) => write!(f, "reused connection closed: {reason}"),
            Self::Closed(reason) => write!(f, "connection closed: {reason}"),
            Self::MayHaveArrived(reason) => write!(f, "no response: {reason}"),
        }
    }
}
