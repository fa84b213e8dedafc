//! Port to the platform's interface for usage reports.

use serde::Deserialize;
use serde::Serialize;

use crate::domain::name::WorkspaceId;

/// Usage of one workspace in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageReport {
    /// Id of the report: team, workspace and window, separated by slashes.
    pub id: String,
    /// Workspace whose usage is reported.
    pub workspace: WorkspaceId,
    /// Number of the window: its start in Unix seconds divided by its length.
    pub window: u64,
    /// Number of generated tokens.
    pub tokens: u64,
}

/// Reason why a report failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageError {
    /// The interface has a report with the same id but different content.
    Contradiction,
    /// The report did not arrive. Contains the reason.
    Unavailable(String),
    /// The report may have arrived. Contains the reason.
    Unknown(String),
}

/// Client of the interface for usage reports.
pub trait UsagePort: Send + Sync {
    /// Sends a report if `allowed` returns `true`. It is called once the connection is open, as the
    /// last step before the write. Otherwise the call fails with `UsageError::Unavailable`.
    fn report_if(&self, report: &UsageReport, allowed: &dyn Fn() -> bool)
    -> Result<(), UsageError>;

    /// Sends a report.
    fn report(&self, report: &UsageReport) -> Result<(), UsageError> {
        self.report_if(report, &|| true)
    }
}
