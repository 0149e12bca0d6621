//! A number that is used once, for each link among proxies.

use birchreach_peer_state::frame::Nonce;

/// A random nonce.
pub(super) fn nonce() -> Result<Nonce, &'static str> {
    let mut nonce = [0; 16];
    getrandom::fill(&mut nonce).map_err(|_| "no-random-numbers")?;
    Ok(nonce)
}
