//! The definition of a split: which group is divided into which children, by the hash of a key. Counters of different definitions are
//! never added up.

use crate::query::Child;
use sha2::{Digest, Sha256};

/// Equal parts of the space of hashes for which coverage and differences are counted.
pub const RANGE_COUNT: usize = 64;

/// A group and its two children: keys whose hash is below `split_at` go to the lower child, all others to the upper one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitDefinition {
    /// The group that is split.
    pub parent: u32,
    /// The group that gets the keys with the lower hashes.
    pub lower_child: u32,
    /// The group that gets the keys with the higher hashes.
    pub upper_child: u32,
    /// The lowest hash of the upper child.
    pub split_at: u32,
}

/// The two children as a key sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Children {
    /// The child that the key goes to.
    pub owner: u32,
    /// The child that must not have it.
    pub non_owner: u32,
}

impl Children {
    /// The group of a child.
    pub(crate) fn group(self, child: Child) -> u32 {
        match child {
            Child::Owner => self.owner,
            Child::NonOwner => self.non_owner,
        }
    }
}

impl SplitDefinition {
    /// The hash by which keys are split: the first four bytes of their SHA-256.
    pub fn hash(key: &[u8]) -> u32 {
        let hash = Sha256::digest(key);
        hash.first_chunk::<4>().map_or(0, |bytes| u32::from_be_bytes(*bytes))
    }

    /// The range that a hash belongs to, below [`RANGE_COUNT`].
    pub fn range(hash: u32) -> usize {
        hash as usize / ((1usize << 32) / RANGE_COUNT)
    }

    /// A digest of the definition, equal at all processes that have the same one.
    pub fn digest(&self) -> u64 {
        let mut hash = Sha256::new();
        for part in [self.parent, self.lower_child, self.upper_child, self.split_at, RANGE_COUNT as u32] {
            hash.update(part.to_be_bytes());
        }
        hash.finalize().first_chunk::<8>().map_or(0, |bytes| u64::from_be_bytes(*bytes))
    }

    /// The children of a key with this hash.
    pub fn children(&self, hash: u32) -> Children {
        if hash < self.split_at {
            Children { owner: self.lower_child, non_owner: self.upper_child }
        } else {
            Children { owner: self.upper_child, non_owner: self.lower_child }
        }
    }
}
