//! Hashes of a prompt's leading blocks, by which cached prefixes are compared.

/// Bytes of one block. Only whole blocks count.
pub const BLOCK: usize = 64;

/// Most blocks that are hashed. Longer prompts differ little in what their cache is worth.
const MOST: usize = 64;

const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns one hash for each leading run of whole blocks, the shortest first.
///
/// Each hash covers everything before it (FNV-1a over the bytes so far), so equal hashes mean
/// equal prefixes.
pub fn prefixes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK).take(MOST);
    blocks
        .scan(FNV_BASIS, |hash, block| {
            for byte in block {
                *hash = (*hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
            }
            Some(*hash)
        })
        .collect()
}
