//! Assignment of workspaces to the duties `usage/{shard}`.

use crate::domain::hash::OFFSET_BASIS;
use crate::domain::hash::fnv1a;
use crate::domain::name::WorkspaceId;

/// Number of shards. It is not configurable because all entries must use the same value.
pub const SHARD_COUNT: u64 = 16;

/// Returns the shard of a workspace, an FNV-1a hash of `team/workspace` that is the same on every
/// host.
pub fn shard(workspace: &WorkspaceId) -> u64 {
    let text = workspace.to_string();
    fnv1a(OFFSET_BASIS, text.as_bytes()) % SHARD_COUNT
}
