//! A hash function that returns the same value in every process and after a restart.

/// The offset basis of 64-bit FNV-1a, which is the hash of an empty input.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a, by which the hash is multiplied for each byte of the input.
const PRIME: u64 = 0x0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of these bytes.
pub(crate) fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
