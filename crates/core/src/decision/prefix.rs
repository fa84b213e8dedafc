//! Hashes of the prefixes of a prompt, by which cached prefixes are matched.

use crate::domain::hash::OFFSET_BASIS;
use crate::domain::hash::fnv1a;

/// Size of one block in bytes. An incomplete last block is not hashed.
pub const BLOCK_BYTES: usize = 64;

/// Maximum number of blocks that are hashed. Beyond it a longer cached prefix adds little.
const MAX_BLOCKS: usize = 64;

/// Returns one hash for each prefix that consists of whole blocks, shortest first.
///
/// Each hash is FNV-1a over all bytes of its prefix, so equal hashes mean equal prefixes.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .scan(OFFSET_BASIS, |hash, block| {
            *hash = fnv1a(*hash, block);
            Some(*hash)
        })
        .collect()
}
