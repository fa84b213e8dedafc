//! Port to the platform's interface for usage reports.

use serde::Deserialize;
use serde::Serialize;

use crate::domain::name::WorkspaceId;

/// The usage of one workspace in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageReport {
    /// Id of the report: team, workspace and window joined by slashes.
    pub id: String,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Number of the window: its start in Unix seconds divided by its length.
    pub window: u64,
    /// Tokens generated.
    pub tokens: u64,
}

/// Why a report did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageError {
    /// The interface holds a report with this id and other figures.
    Contradiction,
    /// The report certainly did not arrive.
    Unavailable(String),
    /// The report may have arrived.
    Unknown(String),
}

/// The interface for usage reports.
pub trait UsagePort: Send + Sync {
    /// Sends one report if it is allowed. `allowed` is asked once the connection is open, as the
    /// last step before the write. A report that is not allowed counts as `Unavailable`.
    fn report_if(&self, report: &UsageReport, allowed: &dyn Fn() -> bool)
    -> Result<(), UsageError>;

    /// Sends one report.
    fn report(&self, report: &UsageReport) -> Result<(), UsageError> {
        self.report_if(report, &|| true)
    }
}
