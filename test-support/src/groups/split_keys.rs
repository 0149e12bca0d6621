//! The assignment of keys to the children of the split in the tests' options, computed independently of the proxy's
//! code.

use sha2::{Digest, Sha256};

/// The lowest hash of the upper child's keys. It is `at` in the options.
const FIRST_UPPER_HASH: u32 = 1 << 31;

/// The hash by which a split assigns keys to children: the first four bytes of the key's SHA-256, in big-endian order.
pub fn hash(key: &str) -> u32 {
    let digest = Sha256::digest(key.as_bytes());
    u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// Whether the lower child owns a key.
pub fn belongs_to_lower_child(key: &str) -> bool {
    hash(key) < FIRST_UPPER_HASH
}

/// Whether the upper child owns a key.
pub fn belongs_to_upper_child(key: &str) -> bool {
    !belongs_to_lower_child(key)
}
