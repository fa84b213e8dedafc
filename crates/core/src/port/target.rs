//! Port from the agent to the target beside it.

use flume::Sender;

use crate::domain::call::Call;
use crate::domain::error::Failure;
use crate::domain::ids::Fence;
use crate::domain::ids::WeightVersion;
use crate::domain::name::ModelName;
use crate::domain::target::Naming;

/// What a target yields for one call.
#[derive(Clone, Debug)]
pub enum TargetEvent {
    /// Status and header fields.
    Head {
        /// HTTP status code.
        status: u16,
        /// Header fields on the allow-list.
        fields: Vec<crate::domain::call::Field>,
    },
    /// A part of the body, with the tokens and the weight versions that it names, if it does.
    Chunk {
        /// Body bytes.
        bytes: Vec<u8>,
        /// Weight versions named in this part.
        naming: Naming,
        /// Total tokens of the answer, in the part that carries the usage.
        tokens: Option<u64>,
    },
    /// The answer is whole.
    Whole,
    /// The call failed.
    Failed(Failure),
}

/// State that a target tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetStatus {
    /// Version of the loaded weights.
    pub version: WeightVersion,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that can run at once.
    pub capacity: u32,
    /// Sequence number of the last cache event.
    pub sequence: u64,
    /// Prompt prefixes added to the cache after the sequence number asked for.
    pub cached: Vec<u64>,
    /// Prompt prefixes evicted after the sequence number asked for.
    pub evicted: Vec<u64>,
    /// True if events between the two sequence numbers are missing.
    pub gap: bool,
}

/// Stops a running call when dropped.
pub trait CallGuard: Send {}

/// Access to one target.
pub trait TargetPort: Send + Sync {
    /// Starts a call. Events arrive on `events`; the sender is dropped after the last one.
    /// Dropping the guard cancels the call at the target.
    fn call(&self, call: Call, events: Sender<TargetEvent>) -> Box<dyn CallGuard>;

    /// Reads the state, with the cache events after a sequence number.
    fn status(&self, after: u64) -> Result<TargetStatus, Failure>;

    /// Reads the version of the loaded weights, or none if the target does not tell. Dropping the
    /// guard gives the question up.
    fn version(&self, reply: Sender<Option<WeightVersion>>) -> Box<dyn CallGuard>;

    /// Orders the target to load a weight version. Blocks until it has been loaded or has failed.
    fn load(&self, model: &ModelName, version: WeightVersion, fence: Fence) -> Result<(), Failure>;
}
