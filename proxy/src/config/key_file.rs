//! Reads the key file that the proxies of a fleet share.

use super::HEX_RADIX;
use super::error::{ConfigDiagnostic, DiagnosticKind};
use birchreach_peer_state::KeysError;
use birchreach_peer_state::frame::{Key, Keys};
use std::error::Error;
use std::fmt::{self, Display};
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// The permission bits of the file's group and of all other users.
const GROUP_AND_OTHERS: u32 = 0o077;
/// The permission bits that a message shows, without the type of the file.
const SHOWN_MODE_BITS: u32 = 0o7777;
const DIGITS_PER_BYTE: usize = 2;

/// An error in a key file. Messages must not contain text from the file, because it may be part of a secret.
#[derive(Debug)]
pub(crate) enum KeyFileError {
    /// The file cannot be read.
    Unreadable(io::Error),
    /// Users other than the owner have permissions for the file.
    ReadableByOthers { mode: u32 },
    /// A line has no space between a number and a secret.
    MissingSecret,
    /// The number of a key is not a 32-bit unsigned integer.
    InvalidNumber,
    /// A secret does not consist of pairs of hexadecimal digits.
    InvalidSecret,
    /// The number of keys, the length of a secret or two equal key numbers make the set of keys invalid.
    InvalidKeys(KeysError),
}

impl Display for KeyFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyFileError::Unreadable(error) => write!(f, "the file cannot be read: {error}"),
            KeyFileError::ReadableByOthers { mode } => write!(
                f,
                "users other than the owner have permissions for the file: expected mode 0600 or 0400, found {mode:04o}"
            ),
            KeyFileError::MissingSecret => {
                f.write_str("the secret is missing: expected a key number, a space and a secret")
            }
            KeyFileError::InvalidNumber => write!(f, "expected a key number from 0 to {}", u32::MAX),
            KeyFileError::InvalidSecret => {
                f.write_str("expected a secret that consists of pairs of hexadecimal digits")
            }
            KeyFileError::InvalidKeys(error) => error.fmt(f),
        }
    }
}

impl Error for KeyFileError {}

/// Reads a key file. Each line contains the number of a key, a space, and the secret in hexadecimal digits. Empty lines
/// and lines that begin with `#` are ignored. The proxy uses the first key to seal the messages that it sends. Only the
/// owner may have permissions for the file.
pub(super) fn read_key_file(file: &Path) -> Result<Keys, ConfigDiagnostic> {
    let error_at =
        |line, error| ConfigDiagnostic { file: file.into(), line, kind: DiagnosticKind::KeyFile(error) };
    let file_error = |error| error_at(1, error);
    let metadata = std::fs::metadata(file).map_err(|error| file_error(KeyFileError::Unreadable(error)))?;
    let mode = metadata.permissions().mode() & SHOWN_MODE_BITS;
    if mode & GROUP_AND_OTHERS != 0 {
        return Err(file_error(KeyFileError::ReadableByOthers { mode }));
    }
    let text = std::fs::read_to_string(file).map_err(|error| file_error(KeyFileError::Unreadable(error)))?;
    let mut keys = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        keys.push(parse_key(line).map_err(|error| error_at(index + 1, error))?);
    }
    Keys::new(keys).map_err(|error| file_error(KeyFileError::InvalidKeys(error)))
}

/// Parses a line with the number of a key and its secret.
fn parse_key(line: &str) -> Result<Key, KeyFileError> {
    let (number, secret) = line.trim().split_once(' ').ok_or(KeyFileError::MissingSecret)?;
    let number = number.parse().map_err(|_| KeyFileError::InvalidNumber)?;
    let secret = parse_secret(secret.trim()).ok_or(KeyFileError::InvalidSecret)?;
    Ok(Key { id: number, secret })
}

/// Returns the bytes of a secret, or `None` if the text does not consist of pairs of hexadecimal digits.
fn parse_secret(digits: &str) -> Option<Vec<u8>> {
    if !digits.len().is_multiple_of(DIGITS_PER_BYTE) {
        return None;
    }
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, HEX_RADIX).ok();
    digits.as_bytes().chunks(DIGITS_PER_BYTE).map(byte).collect()
}
