//! The file of keys that proxies of one fleet share.

use super::error::ConfigFault;
use birchreach_peer_state::frame::{Key, Keys};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// The permissions of all but the owner.
const GROUP_AND_OTHERS: u32 = 0o077;
const HEX_RADIX: u32 = 16;
const DIGITS_PER_BYTE: usize = 2;

/// A file of keys: one a line, its number and its secret in hexadecimal digits; the first one seals what this proxy sends. Nobody
/// but its owner may read it.
pub(super) fn read_key_file(file: &Path) -> Result<Keys, ConfigFault> {
    let fault =
        |line, message: String| ConfigFault { file: file.into(), line, element: "key".into(), message };
    let metadata = std::fs::metadata(file).map_err(|error| fault(1, error.to_string()))?;
    if metadata.permissions().mode() & GROUP_AND_OTHERS != 0 {
        return Err(fault(1, "others may read it: expected mode 0600 or 0400".into()));
    }
    let text = std::fs::read_to_string(file).map_err(|error| fault(1, error.to_string()))?;
    let mut keys = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        keys.push(parse_key(line).map_err(|message| fault(index + 1, message.into()))?);
    }
    Keys::new(keys).map_err(|error| fault(1, error.to_string()))
}

/// A key's number and its secret.
fn parse_key(line: &str) -> Result<Key, &'static str> {
    let (number, secret) = line.trim().split_once(' ').ok_or("no secret")?;
    let number = number.parse().map_err(|_| "a key's number is no number")?;
    let secret = parse_secret(secret.trim()).ok_or("the secret is not in pairs of hexadecimal digits")?;
    Ok(Key { number, secret })
}

fn parse_secret(digits: &str) -> Option<Vec<u8>> {
    if !digits.len().is_multiple_of(DIGITS_PER_BYTE) {
        return None;
    }
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, HEX_RADIX).ok();
    digits.as_bytes().chunks(DIGITS_PER_BYTE).map(byte).collect()
}
