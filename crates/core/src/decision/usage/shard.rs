//! Division of the workspaces among the duties `usage/{shard}`.

use crate::domain::hash::BASIS;
use crate::domain::hash::fnv;
use crate::domain::name::WorkspaceId;

/// Number of shards. All entries must agree on it, so it is not a setting.
pub const SHARDS: u64 = 16;

/// Returns the shard of a workspace (FNV-1a over `team/workspace`), the same on every host.
pub fn shard(workspace: &WorkspaceId) -> u64 {
    let text = workspace.to_string();
    fnv(BASIS, text.as_bytes()) % SHARDS
}
