//! The secret keys that the proxies of one fleet share. Each key has an identifier, so that keys can be
//! rotated while all proxies run.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// The maximum number of keys. A rotation needs two.
const MAX_KEYS: usize = 4;
/// The minimum length of a secret.
const MIN_SECRET_BYTES: usize = 16;

/// Why a set of keys is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeysError {
    /// The set is empty, or has more than four keys.
    Count,
    /// A secret is shorter than 16 bytes.
    ShortSecret,
    /// Two keys have the same identifier.
    DuplicateId,
}

impl fmt::Display for KeysError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            KeysError::Count => "expected one to four keys",
            KeysError::ShortSecret => "expected secrets of at least 16 bytes",
            KeysError::DuplicateId => "two keys have the same number",
        })
    }
}

impl std::error::Error for KeysError {}

/// A secret that the proxies of a fleet share, with the number by which messages refer to it.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// The identifier that frames and datagrams carry: the number in the key file.
    pub id: u32,
    /// The key of the HMAC, at least 16 bytes.
    pub secret: Vec<u8>,
}

/// Shows the identifier, never the secret.
impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.id.fmt(formatter)
    }
}

/// The keys of a fleet. The first key seals sent messages. Received messages may be sealed with any of the
/// keys.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys(Vec<Key>);

/// Shows the identifiers, never the secrets.
impl fmt::Debug for Keys {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.debug_list().entries(&self.0).finish()
    }
}

impl Keys {
    /// Creates a set of keys. The first one seals.
    ///
    /// # Errors
    ///
    /// Returns why the keys were rejected.
    pub fn new(keys: Vec<Key>) -> Result<Keys, KeysError> {
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return Err(KeysError::Count);
        }
        if keys.iter().any(|key| key.secret.len() < MIN_SECRET_BYTES) {
            return Err(KeysError::ShortSecret);
        }
        let is_duplicate =
            |(index, key): (usize, &Key)| keys[..index].iter().any(|earlier| earlier.id == key.id);
        if keys.iter().enumerate().any(is_duplicate) {
            return Err(KeysError::DuplicateId);
        }
        Ok(Keys(keys))
    }

    /// Creates a hasher of names with the sealing key, so that a collision cannot be constructed without the
    /// key. `purpose` separates the hashes of one use from those of another.
    pub fn name_hasher(&self, purpose: &[u8]) -> NameHasher {
        let Some(key) = self.sealing_key() else { return NameHasher { key_id: 0, mac: None } };
        let mac = Hmac::<Sha256>::new_from_slice(&key.secret).ok();
        NameHasher { key_id: key.id, mac: mac.map(|mac| mac.chain_update(purpose)) }
    }

    /// The secret of the key with this identifier.
    pub(crate) fn secret(&self, id: u32) -> Option<&[u8]> {
        self.0.iter().find(|key| key.id == id).map(|key| key.secret.as_slice())
    }

    /// The key that seals sent messages. [`Keys::new`] ensures that there is one.
    pub(crate) fn sealing_key(&self) -> Option<&Key> {
        self.0.first()
    }
}

/// A keyed hash function for names. Its results are equal at all proxies that seal with the same key.
#[derive(Clone)]
pub struct NameHasher {
    /// The identifier of the key that the names are hashed with; 0 without a key.
    pub key_id: u32,
    /// The HMAC after the purpose was hashed. `None` if HMAC does not accept the secret.
    mac: Option<Hmac<Sha256>>,
}

impl NameHasher {
    /// Hashes a name in a group: the first 8 bytes of the HMAC, or 0 if there is no key.
    pub fn hash(&self, group: u32, name: &[u8]) -> u64 {
        let mac = self.mac.clone().map(|mac| mac.chain_update(group.to_be_bytes()).chain_update(name));
        let bytes = mac.map(|mac| mac.finalize().into_bytes());
        bytes.and_then(|bytes| bytes.first_chunk::<8>().copied()).map_or(0, u64::from_be_bytes)
    }
}
