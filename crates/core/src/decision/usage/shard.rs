//! Division of the workspaces among the duties `usage/{shard}`.

use crate::domain::name::WorkspaceId;

/// Number of shards. All entries must agree on it, so it is not a setting.
pub const SHARDS: u64 = 16;

const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the shard of a workspace (FNV-1a over `team/workspace`), the same on every host.
pub fn shard(workspace: &WorkspaceId) -> u64 {
    let text = workspace.to_string();
    let hash = text.bytes().fold(FNV_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    hash % SHARDS
}
