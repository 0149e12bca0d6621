//! The secrets that the proxies of one fleet share. Each has a number, so that they can be rotated while all
//! proxies run.

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
    DuplicateId,
}

impl fmt::Display for KeysError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            KeysError::Count => "expected one to four keys",
            KeysError::ShortSecret => "a secret of fewer than 16 bytes",
            KeysError::DuplicateId => "a key's number twice",
        })
    }
}

impl std::error::Error for KeysError {}

/// A secret and its number.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// The number, by which frames and datagrams name the key.
    pub id: u32,
    /// The secret.
    pub secret: Vec<u8>,
}

/// Shows the number, never the secret.
impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.id.fmt(formatter)
    }
}

/// The keys of a fleet. The first seals what is sent; all are accepted in what is received.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys(Vec<Key>);

/// Shows the numbers, never the secrets.
impl fmt::Debug for Keys {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.debug_list().entries(&self.0).finish()
    }
}

impl Keys {
    /// These keys, the sealing one first.
    ///
    /// # Errors
    ///
    /// The reason why they are rejected.
    pub fn new(keys: Vec<Key>) -> Result<Keys, KeysError> {
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return Err(KeysError::Count);
        }
        if keys.iter().any(|key| key.secret.len() < MIN_SECRET_BYTES) {
            return Err(KeysError::ShortSecret);
        }
        let is_repeated =
            |(index, key): (usize, &Key)| keys[..index].iter().any(|earlier| earlier.id == key.id);
        if keys.iter().enumerate().any(is_repeated) {
            return Err(KeysError::DuplicateId);
        }
        Ok(Keys(keys))
    }

    /// Hashes names under the sealing key, so that nobody without it can construct a collision. `purpose`
    /// separates the hashes of one use from those of another.
    pub fn name_hasher(&self, purpose: &[u8]) -> NameHasher {
        let Some(key) = self.sealing_key() else { return NameHasher { key_id: 0, code: None } };
        let code = Hmac::<Sha256>::new_from_slice(&key.secret).ok();
        NameHasher { key_id: key.id, code: code.map(|code| code.chain_update(purpose)) }
    }

    /// The secret with this number.
    pub(crate) fn secret(&self, id: u32) -> Option<&[u8]> {
        self.0.iter().find(|key| key.id == id).map(|key| key.secret.as_slice())
    }

    /// The key that seals what is sent. There is always one.
    pub(crate) fn sealing_key(&self) -> Option<&Key> {
        self.0.first()
    }
}

/// Keyed hashes of names, equal at all proxies that seal with the same key.
#[derive(Clone)]
pub struct NameHasher {
    /// The number of the key.
    pub key_id: u32,
    /// The code of the purpose; none if the secret cannot be used.
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
