//! Requests as the virtual world knows them.

use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::time::Time;

/// Index of a job in the order of creation.
pub type JobId = usize;

/// One request with what it truly costs.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the client.
    pub client: usize,
    /// Entry that receives it.
    pub entry: usize,
    /// What the entry is told.
    pub ask: AdmissionRequest,
    /// True length of the answer.
    pub tokens: u64,
    /// First arrival.
    pub born: Time,
    /// Attempts so far. An event of an older attempt is ignored.
    pub attempt: u32,
    /// Lowest weight version of the answer.
    pub version: WeightVersion,
    /// Start of the last attempt that ran.
    pub start: Time,
}
