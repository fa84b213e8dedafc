//! Port through which the administration address asks a role. It is read-only.

/// What a role shows at the administration address.
pub trait AdminFront: Send + Sync {
    /// Returns all metrics in the text format of Prometheus.
    fn metrics(&self) -> String;

    /// Tells whether new requests may be sent to the process.
    fn ready(&self) -> Readiness;
}

/// Whether new requests may be sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The process takes requests.
    Ready,
    /// The process lacks what it needs, such as a configuration.
    Starting,
    /// The process finishes what runs.
    Draining,
}

impl Readiness {
    /// Returns the text for the reader.
    pub fn text(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Starting => "starting",
            Self::Draining => "draining",
        }
    }
}
