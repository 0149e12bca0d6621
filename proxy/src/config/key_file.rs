//! The file of keys that proxies of one fleet share.

use super::HEX_RADIX;
use super::error::{ConfigFault, FaultKind};
use birchreach_peer_state::KeysError;
use birchreach_peer_state::frame::{Key, Keys};
use std::error::Error;
use std::fmt::{self, Display};
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// The permissions of all but the owner.
const GROUP_AND_OTHERS: u32 = 0o077;
/// Hexadecimal digits.
const DIGITS_PER_BYTE: usize = 2;

/// What is wrong with a file of keys.
#[derive(Debug)]
pub(crate) enum KeyFileError {
    /// The file cannot be read.
    Unreadable(io::Error),
    /// Others than its owner may read it.
    ReadableByOthers,
    /// A line has no secret.
    MissingSecret,
    /// The number of a key is not a number.
    InvalidNumber,
    /// A secret is not in pairs of hexadecimal digits.
    InvalidSecret,
    /// The keys cannot be used together.
    InvalidKeys(KeysError),
}

impl Display for KeyFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyFileError::Unreadable(error) => error.fmt(f),
            KeyFileError::ReadableByOthers => f.write_str("others may read it: expected mode 0600 or 0400"),
            KeyFileError::MissingSecret => f.write_str("no secret"),
            KeyFileError::InvalidNumber => f.write_str("a key's number is no number"),
            KeyFileError::InvalidSecret => f.write_str("the secret is not in pairs of hexadecimal digits"),
            KeyFileError::InvalidKeys(error) => error.fmt(f),
        }
    }
}

impl Error for KeyFileError {}

/// Reads a file of keys. Each line has the number of a key and its secret in hexadecimal digits; the first key seals what this proxy
/// sends. Only the file's owner may have permission to read it.
pub(super) fn read_key_file(file: &Path) -> Result<Keys, ConfigFault> {
    let fault_at = |line, error| ConfigFault { file: file.into(), line, kind: FaultKind::KeyFile(error) };
    let fault = |error| fault_at(1, error);
    let metadata = std::fs::metadata(file).map_err(|error| fault(KeyFileError::Unreadable(error)))?;
    if metadata.permissions().mode() & GROUP_AND_OTHERS != 0 {
        return Err(fault(KeyFileError::ReadableByOthers));
    }
    let text = std::fs::read_to_string(file).map_err(|error| fault(KeyFileError::Unreadable(error)))?;
    let mut keys = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        keys.push(parse_key(line).map_err(|error| fault_at(index + 1, error))?);
    }
    Keys::new(keys).map_err(|error| fault(KeyFileError::InvalidKeys(error)))
}

/// A key's number and its secret.
fn parse_key(line: &str) -> Result<Key, KeyFileError> {
    let (number, secret) = line.trim().split_once(' ').ok_or(KeyFileError::MissingSecret)?;
    let number = number.parse().map_err(|_| KeyFileError::InvalidNumber)?;
    let secret = parse_secret(secret.trim()).ok_or(KeyFileError::InvalidSecret)?;
    Ok(Key { id: number, secret })
}

/// The bytes of a secret; none if the digits are not pairs of hexadecimal ones.
fn parse_secret(digits: &str) -> Option<Vec<u8>> {
    if !digits.len().is_multiple_of(DIGITS_PER_BYTE) {
        return None;
    }
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, HEX_RADIX).ok();
    digits.as_bytes().chunks(DIGITS_PER_BYTE).map(byte).collect()
}
