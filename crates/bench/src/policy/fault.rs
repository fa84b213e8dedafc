//! Faults that a run can contain, and when they occur.

use std::str::FromStr;

use sardinepath_core::domain::time::Time;
use serde::Serialize;

/// Start of the fault in virtual time. By then the entries have up-to-date load estimates.
pub const FAULT_START: Time = Time(300_000);

/// End of the fault in virtual time.
pub const FAULT_END: Time = Time(480_000);

/// Kind of fault in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// No fault.
    #[default]
    None,
    /// One engine crashes and is restarted.
    Crash,
    /// Half of the engines fail every request but report that they serve.
    Half,
    /// All targets of one data centre are unreachable.
    Centre,
    /// Reports contain a load that is 3 s older than usual.
    Reports,
    /// Every other report signals a gap in the cache events.
    Gaps,
}

impl FaultKind {
    /// All kinds of fault.
    pub const ALL: [FaultKind; 6] = [
        FaultKind::None,
        FaultKind::Crash,
        FaultKind::Half,
        FaultKind::Centre,
        FaultKind::Reports,
        FaultKind::Gaps,
    ];
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Self::None),
            "crash" => Ok(Self::Crash),
            "half" => Ok(Self::Half),
            "centre" => Ok(Self::Centre),
            "reports" => Ok(Self::Reports),
            "gaps" => Ok(Self::Gaps),
            _ => Err(format!("unknown fault {text:?}")),
        }
    }
}
