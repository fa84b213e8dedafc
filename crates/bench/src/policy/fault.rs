//! Fault schedules.

use std::str::FromStr;

use sardinepath_core::domain::time::Time;
use serde::Serialize;

/// Begin of a fault, after the entries have learnt the load.
pub const BREAK: Time = Time(300_000);

/// End of a fault.
pub const MEND: Time = Time(480_000);

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Nothing.
    #[default]
    None,
    /// One engine crashes and is started again.
    Crash,
    /// Half of the engines fail every request but report themselves as serving.
    Half,
    /// All targets of one data centre cannot be reached.
    Centre,
    /// Load reports show a state that is 3 s older than usual.
    Reports,
    /// Every second cache report announces a gap.
    Gaps,
}

impl FaultKind {
    /// All fault schedules.
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
            _ => Err(format!("fault schedule {text:?} does not exist")),
        }
    }
}
