//! The file of keys that proxies of one fleet share.

use super::Fault;
use birchreach_peer_state::frame::Keys;
use std::path::Path;

/// A file of keys: one a line, its number and its secret in hexadecimal digits; the first is the one to speak with. Nobody
/// but its owner may read it.
pub(super) fn keys(path: &Path) -> Result<Keys, Fault> {
    use std::os::unix::fs::PermissionsExt;
    let fault = |line, message: String| Fault { file: path.into(), line, element: "key".into(), message };
    let meta = std::fs::metadata(path).map_err(|e| fault(1, e.to_string()))?;
    if meta.permissions().mode() & 0o077 != 0 {
        return Err(fault(1, "others may read it: expected mode 0600 or 0400".into()));
    }
    let text = std::fs::read_to_string(path).map_err(|e| fault(1, e.to_string()))?;
    let mut keys = Vec::new();
    for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty() && !l.starts_with('#')) {
        let (id, secret) = line.trim().split_once(' ').ok_or_else(|| fault(n + 1, "no secret".into()))?;
        let id = id.parse().map_err(|_| fault(n + 1, "a key's number is no number".into()))?;
        let digits = secret.trim().as_bytes();
        let pair = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
        let secret: Option<Vec<u8>> = digits.chunks(2).map(pair).collect();
        let secret = secret.filter(|_| digits.len() % 2 == 0);
        keys.push((
            id,
            secret.ok_or_else(|| fault(n + 1, "the secret is not in pairs of hexadecimal digits".into()))?,
        ));
    }
    Keys::new(keys).map_err(|why| fault(1, why.to_string()))
}
