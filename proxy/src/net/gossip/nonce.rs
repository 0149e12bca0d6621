//! Random nonces. Each link between proxies uses its own.

use super::close_reason::LinkError;
use birchreach_peer_state::frame::Nonce;

pub(super) fn nonce() -> Result<Nonce, LinkError> {
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce).map_err(|_| LinkError::NoRandomNumbers)?;
    Ok(nonce)
}
