//! Port from an agent to the target beside it.

use flume::Sender;

use crate::domain::call::Call;
use crate::domain::error::Failure;
use crate::domain::ids::Fence;
use crate::domain::ids::WeightVersion;
use crate::domain::name::ModelName;
use crate::domain::target::StatedVersions;

/// An event of a call at a target.
#[derive(Clone, Debug)]
pub enum TargetEvent {
    /// Status and header fields of the answer.
    Head {
        /// HTTP status code.
        status: u16,
        /// Header fields on the allow-list.
        fields: Vec<crate::domain::call::HeaderField>,
    },
    /// A part of the body, with the token count and the weight versions that it states.
    Chunk {
        /// Body bytes.
        bytes: Vec<u8>,
        /// Weight versions that the part states.
        versions: StatedVersions,
        /// Total number of tokens in the answer, present only in the part that states the usage.
        tokens: Option<u64>,
    },
    /// The answer is complete.
    End,
    /// The call failed.
    Failed(Failure),
}

/// State that a target reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetStatus {
    /// Version of the loaded weights.
    pub version: WeightVersion,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Maximum number of requests that run at once.
    pub capacity: u32,
    /// Sequence number of the last cache event.
    pub sequence: u64,
    /// Hashes of prompt prefixes added to the cache after the requested sequence number.
    pub cached: Vec<u64>,
    /// Hashes of prompt prefixes evicted after the requested sequence number.
    pub evicted: Vec<u64>,
    /// True if events after the requested sequence number are missing.
    pub gap: bool,
}

/// Guard of a running call, which is cancelled when the guard is dropped.
pub trait CallGuard: Send {}

/// Client of one target.
pub trait TargetPort: Send + Sync {
    /// Starts a call. Events arrive on `events`, whose sender is dropped after the last one.
    /// Dropping the guard cancels the call at the target.
    fn call(&self, call: Call, events: Sender<TargetEvent>) -> Box<dyn CallGuard>;

    /// Reads the state of the target, with the cache events after a sequence number.
    fn status(&self, after: u64) -> Result<TargetStatus, Failure>;

    /// Reads the version of the loaded weights. The reply is `None` if the target does not state
    /// it. Dropping the guard cancels the call.
    fn version(&self, reply: Sender<Option<WeightVersion>>) -> Box<dyn CallGuard>;

    /// Orders the target to load a weight version. Blocks until it has been loaded or has failed.
    fn load(&self, model: &ModelName, version: WeightVersion, fence: Fence) -> Result<(), Failure>;
}
