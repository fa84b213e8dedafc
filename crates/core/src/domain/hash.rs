//! FNV-1a with 64 bits, a hash that has the same value on every host.

/// Offset basis, which is the hash of an empty input.
pub const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

const PRIME: u64 = 0x0100_0000_01b3;

/// Extends the hash `before` by `bytes`. The high bits differ little between similar inputs, so
/// callers that use only some of the bits must mix them first.
pub fn fnv1a(before: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(before, step)
}
