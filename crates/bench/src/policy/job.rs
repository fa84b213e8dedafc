//! Requests of the simulation.

use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::time::Time;

/// Index of a job, in order of creation.
pub type JobId = usize;

/// A request with its true cost, which the policy does not know.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the client.
    pub client: usize,
    /// Index of the entry that receives the request.
    pub entry: usize,
    /// Request as the entry receives it.
    pub request: AdmissionRequest,
    /// Length of the answer in tokens. A plain call counts as one.
    pub tokens: u64,
    /// Time of the first submission.
    pub arrival: Time,
    /// Number of the current attempt. Events of older attempts are ignored.
    pub attempt: u32,
    /// Weight version of the target when the last attempt started.
    pub version: WeightVersion,
    /// Start time of the last attempt that ran.
    pub started: Time,
}
