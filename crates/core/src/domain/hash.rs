//! FNV-1a, a hash that is the same on every host.

/// Hash of no bytes.
pub const BASIS: u64 = 0xcbf2_9ce4_8422_2325;

const PRIME: u64 = 0x0100_0000_01b3;

/// Returns the hash of bytes that follow those of `before`. The high bits differ little between
/// similar texts, so users that take a part of the bits mix them first.
pub fn fnv(before: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(before, step)
}
