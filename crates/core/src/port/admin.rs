//! Port through which the administration server reads the state of a role.

/// Read-only state that a role exposes to the administration server.
pub trait AdminFront: Send + Sync {
    /// Returns all metrics in the text format of Prometheus.
    fn metrics(&self) -> String;

    /// Returns the readiness of the process for new requests.
    fn ready(&self) -> Readiness;
}

/// Readiness of a process for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The process takes requests.
    Ready,
    /// The process does not take requests yet, for example without a configuration.
    Starting,
    /// The process finishes running requests and takes no new ones.
    Draining,
}

impl Readiness {
    /// Returns the text of the readiness response.
    pub fn text(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Starting => "starting",
            Self::Draining => "draining",
        }
    }
}
