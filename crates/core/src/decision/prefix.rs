//! Hashes of a prompt's leading blocks, by which cached prefixes are compared.

use crate::domain::hash::BASIS;
use crate::domain::hash::fnv;

/// Bytes of one block. Only whole blocks count.
pub const BLOCK: usize = 64;

/// Most blocks that are hashed. Longer prompts differ little in what their cache is worth.
const MOST: usize = 64;

/// Returns one hash for each leading run of whole blocks, the shortest first.
///
/// Each hash covers everything before it (FNV-1a over the bytes so far), so equal hashes mean
/// equal prefixes.
pub fn prefixes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK).take(MOST);
    blocks
        .scan(BASIS, |hash, block| {
            *hash = fnv(*hash, block);
            Some(*hash)
        })
        .collect()
}
