//! What splits into what: by the hash of a key, told by the options. Processes with another definition never mix their counters.

use sha2::{Digest, Sha256};

/// Equal parts of the hashes that are kept apart in coverage and flags.
pub const RANGES: usize = 64;

/// A group and its children: keys whose hash is below `at` are to be B's, all others C's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Definition {
    pub parent: u32,
    pub lower_child: u32,
    pub upper_child: u32,
    pub split_at: u32,
}

impl Definition {
    /// The hash by which the installation splits: the first four bytes of SHA-256 of the key.
    pub fn hash(key: &[u8]) -> u32 {
        let hash = Sha256::digest(key);
        hash.first_chunk::<4>().map_or(0, |b| u32::from_be_bytes(*b))
    }

    pub fn range(hash: u32) -> usize {
        hash as usize / ((1usize << 32) / RANGES)
    }

    /// The same at all that compare the same.
    pub fn digest(&self) -> u64 {
        let mut hash = Sha256::new();
        for part in [self.parent, self.lower_child, self.upper_child, self.split_at, RANGES as u32] {
            hash.update(part.to_be_bytes());
        }
        hash.finalize().first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b))
    }

    /// The children of a key: whose it is, and whose it is not.
    pub fn children(&self, hash: u32) -> (u32, u32) {
        if hash < self.split_at {
            (self.lower_child, self.upper_child)
        } else {
            (self.upper_child, self.lower_child)
        }
    }
}
