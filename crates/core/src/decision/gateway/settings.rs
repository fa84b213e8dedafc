//! Identity and settings of a gateway process.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decision::lease::Terms;
use crate::decision::memory::MemoryLimits;
use crate::domain::cold::ColdTolerance;
use crate::domain::fleet::Peer;
use crate::domain::name::CentreName;
use crate::domain::name::RegionName;

/// Identity and settings of a gateway process.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Host, address and incarnation of this process.
    pub peer: Peer,
    /// Data centre of this process. Targets in it are preferred.
    pub centre: CentreName,
    /// Region of this process.
    pub region: RegionName,
    /// Region of each data centre.
    pub regions: BTreeMap<CentreName, RegionName>,
    /// Whether the deployment has evacuations and homes.
    pub places: bool,
    /// Wall-clock time at `Time(0)`, in milliseconds since the Unix epoch.
    pub epoch: u64,
    /// Durations of the duty lease.
    pub lease: Terms,
    /// Whether the platform and the targets reject calls with an old fencing token.
    pub fence_checked: bool,
    /// Length of a usage window, or `None` if usage is not reported.
    pub usage_window: Option<Duration>,
    /// Shortest interruption of the object API in which the entry of a living target lapses.
    pub entry_lapse: Duration,
    /// Time after acceptance during which an ended job can still be read.
    pub job_retention: Duration,
    /// Bounds on what the process holds for its callers.
    pub memory: MemoryLimits,
    /// Time after the end of a usage window within which it must be reported.
    pub report_deadline: Duration,
    /// Number of requests that a cold target may get above the rate that it tolerates.
    pub cold_tolerance: ColdTolerance,
    /// Seed of the random numbers that distribute requests.
    pub seed: u64,
}
