//! The secrets that proxies of one fleet have: by number, so that they can be changed while all run.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// Keys in force at once: two while they change.
pub const MAX_KEYS: usize = 4;
/// A shorter secret is none.
pub const MIN_SECRET_BYTES: usize = 16;

/// Secrets by their numbers; the first is the one to speak with.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys(Vec<(u32, Vec<u8>)>);

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(|(id, _)| id)).finish()
    }
}

impl Keys {
    pub fn new(keys: Vec<(u32, Vec<u8>)>) -> Result<Keys, &'static str> {
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return Err("expected one to four keys");
        }
        if keys.iter().any(|(_, secret)| secret.len() < MIN_SECRET_BYTES) {
            return Err("a secret of fewer than 16 bytes");
        }
        if keys.iter().enumerate().any(|(n, (id, _))| keys[..n].iter().any(|(other, _)| other == id)) {
            return Err("a key's number twice");
        }
        Ok(Keys(keys))
    }

    /// Numbers for names, under the secret that is spoken with: nobody without it can make two names that meet. `purpose` keeps the
    /// numbers of one use apart from those of another.
    pub fn name_hasher(&self, purpose: &[u8]) -> NameHasher {
        let (secret, key) = self.sealing_key();
        let code = Hmac::<Sha256>::new_from_slice(key).ok();
        NameHasher { key_id: secret, code: code.map(|code| code.chain_update(purpose)) }
    }

    pub(crate) fn get(&self, id: u32) -> Option<&[u8]> {
        self.0.iter().find(|(other, _)| *other == id).map(|(_, secret)| secret.as_slice())
    }

    pub(crate) fn sealing_key(&self) -> (u32, &[u8]) {
        self.0.first().map_or((0, &[][..]), |(id, secret)| (*id, secret.as_slice()))
    }
}

/// Numbers for names, the same at all that have the secret.
#[derive(Clone)]
pub struct NameHasher {
    /// The number of the secret.
    pub key_id: u32,
    code: Option<Hmac<Sha256>>,
}

impl NameHasher {
    pub fn hash(&self, group: u32, name: &[u8]) -> u64 {
        let code = self.code.clone().map(|code| code.chain_update(group.to_be_bytes()).chain_update(name));
        let bytes = code.map(|code| code.finalize().into_bytes());
        bytes.and_then(|b| b.first_chunk::<8>().copied()).map_or(0, u64::from_be_bytes)
    }
}
