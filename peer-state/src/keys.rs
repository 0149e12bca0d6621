//! The secrets that the proxies of one fleet share. Each has a number, so that they can be rotated while all proxies run.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// Keys that are valid at once: two while they are rotated.
const MAX_KEYS: usize = 4;
/// A shorter secret is rejected.
const MIN_SECRET_BYTES: usize = 16;

/// Why a set of keys is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeysError {
    /// None, or more than four.
    Count,
    /// A secret of fewer than 16 bytes.
    ShortSecret,
    /// Two keys have one number.
    DuplicateNumber,
}

impl fmt::Display for KeysError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            KeysError::Count => "expected one to four keys",
            KeysError::ShortSecret => "a secret of fewer than 16 bytes",
            KeysError::DuplicateNumber => "a key's number twice",
        })
    }
}

impl std::error::Error for KeysError {}

/// Secrets by their numbers. The first seals what is sent; all are accepted in what is received.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys(Vec<(u32, Vec<u8>)>);

/// Shows the numbers, never the secrets.
impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(|(id, _)| id)).finish()
    }
}

impl Keys {
    /// Each key is its number and its secret.
    pub fn new(keys: Vec<(u32, Vec<u8>)>) -> Result<Keys, KeysError> {
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return Err(KeysError::Count);
        }
        if keys.iter().any(|(_, secret)| secret.len() < MIN_SECRET_BYTES) {
            return Err(KeysError::ShortSecret);
        }
        if keys.iter().enumerate().any(|(n, (id, _))| keys[..n].iter().any(|(other, _)| other == id)) {
            return Err(KeysError::DuplicateNumber);
        }
        Ok(Keys(keys))
    }

    /// Hashes names under the sealing key, so that nobody without it can construct a collision. `purpose` separates the hashes
    /// of one use from those of another.
    pub fn name_hasher(&self, purpose: &[u8]) -> NameHasher {
        let (key_id, secret) = self.sealing_key();
        let code = Hmac::<Sha256>::new_from_slice(secret).ok();
        NameHasher { key_id, code: code.map(|code| code.chain_update(purpose)) }
    }

    pub(crate) fn get(&self, id: u32) -> Option<&[u8]> {
        self.0.iter().find(|(other, _)| *other == id).map(|(_, secret)| secret.as_slice())
    }

    pub(crate) fn sealing_key(&self) -> (u32, &[u8]) {
        self.0.first().map_or((0, &[][..]), |(id, secret)| (*id, secret.as_slice()))
    }
}

/// Keyed hashes of names, equal at all proxies that seal with the same key.
#[derive(Clone)]
pub struct NameHasher {
    /// The number of the key.
    pub key_id: u32,
    code: Option<Hmac<Sha256>>,
}

impl NameHasher {
    /// The hash of a name in a group.
    pub fn hash(&self, group: u32, name: &[u8]) -> u64 {
        let code = self.code.clone().map(|code| code.chain_update(group.to_be_bytes()).chain_update(name));
        let bytes = code.map(|code| code.finalize().into_bytes());
        bytes.and_then(|bytes| bytes.first_chunk::<8>().copied()).map_or(0, u64::from_be_bytes)
    }
}
