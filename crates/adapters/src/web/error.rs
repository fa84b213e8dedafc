//! Errors of requests that got no response.

use std::fmt;

/// Reason why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The request was not sent.
    NotSent(String),
    /// The connection ended after the request was sent and before the whole response. The server may
    /// have run the request, also if the connection was used before.
    Closed(String),
    /// The request was sent, at least in part, and may have arrived.
    MayHaveArrived(String),
}

/// Whether a connection was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// The request is its first one.
    New,
    /// It carried other requests before.
    Reused,
}

impl SendError {
    /// Returns the error of a request that was written, at least in part, to a connection.
    pub(super) fn of_sent(error: &hyper::Error, connection: ConnectionUse) -> Self {
        match (error.is_parse(), connection) {
            (true, _) => Self::MayHaveArrived(error.to_string()),
            (false, ConnectionUse::New) => Self::Closed(error.to_string()),
            (false, ConnectionUse::Reused) => Self::Closed(format!("{error} (reused)")),
        }
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Closed(reason) => write!(f, "connection closed: {reason}"),
            Self::MayHaveArrived(reason) => write!(f, "no response: {reason}"),
        }
    }
}
