//! The definition of a split: the parent group, its two children, and the hash at which keys are divided between them.
//! Counters that belong to different definitions are never added up.

use crate::query::Child;
use sha2::{Digest, Sha256};

/// The number of equal ranges of hashes. Coverage and differences are counted per range.
pub const RANGE_COUNT: usize = 64;

/// A group and its two children. Keys whose hash is below `split_at` belong to the lower child, all others to the upper
/// child.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitDefinition {
    /// The group whose keys are divided between the two children.
    pub parent: u32,
    /// The group that receives the keys with the lower hashes.
    pub lower_child: u32,
    /// The group that receives the keys with the higher hashes.
    pub upper_child: u32,
    /// The lowest hash that belongs to the upper child.
    pub split_at: u32,
}

/// The groups of the two children, by their role for one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Children {
    /// The child that the key belongs to.
    pub owner: u32,
    /// The child that must not have a row of the key.
    pub non_owner: u32,
}

impl Children {
    pub(crate) fn group(self, child: Child) -> u32 {
        match child {
            Child::Owner => self.owner,
            Child::NonOwner => self.non_owner,
        }
    }
}

impl SplitDefinition {
    /// Returns the hash that determines a key's child: the first four bytes of the key's SHA-256, big-endian.
    pub fn hash(key: &[u8]) -> u32 {
        let hash = Sha256::digest(key);
        hash.first_chunk::<4>().map_or(0, |bytes| u32::from_be_bytes(*bytes))
    }

    /// Returns the index of the range that a hash belongs to, below [`RANGE_COUNT`].
    pub fn range(hash: u32) -> usize {
        hash as usize / ((1usize << 32) / RANGE_COUNT)
    }

    /// Returns a digest of the definition, equal at all processes that have the same definition.
    pub fn digest(&self) -> u64 {
        let mut hash = Sha256::new();
        for part in [self.parent, self.lower_child, self.upper_child, self.split_at, RANGE_COUNT as u32] {
            hash.update(part.to_be_bytes());
        }
        hash.finalize().first_chunk::<8>().map_or(0, |bytes| u64::from_be_bytes(*bytes))
    }

    /// Returns the owner and the non-owner of a key with this hash.
    pub fn children(&self, hash: u32) -> Children {
        if hash < self.split_at {
            Children { owner: self.lower_child, non_owner: self.upper_child }
        } else {
            Children { owner: self.upper_child, non_owner: self.lower_child }
        }
    }
}
