//! A number that is used once, for each link among proxies.

use super::close_reason::LinkError;
use birchreach_peer_state::frame::Nonce;

/// A random nonce.
pub(super) fn nonce() -> Result<Nonce, LinkError> {
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce).map_err(|_| LinkError::NoRandomNumbers)?;
    Ok(nonce)
}
