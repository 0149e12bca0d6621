//! How the split in the tests' options divides the keys, computed without the proxy's code.

use sha2::{Digest, Sha256};

/// The first hash of the upper child's keys; the options have it as `at`.
const FIRST_UPPER_HASH: u32 = 1 << 31;

/// The first four bytes of the key's SHA-256, as the number by which a split divides keys.
pub fn hash(key: &str) -> u32 {
    let digest = Sha256::digest(key.as_bytes());
    u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// Whether the lower child takes over a key.
pub fn goes_to_lower_child(key: &str) -> bool {
    hash(key) < FIRST_UPPER_HASH
}

/// Whether the upper child takes over a key.
pub fn goes_to_upper_child(key: &str) -> bool {
    !goes_to_lower_child(key)
}
