//! Connections for state transfer: the listener for requests from other proxies, and this proxy's requests to them.

use super::super::error::{ListenError, ListenPurpose};
use super::super::sources::Source;
use super::close_reason::LinkError;
use super::listener::listen;
use super::nonce::nonce;
use crate::observe::Shared;
use crate::peer_state::PeerStateObserver;
use birchreach::Micros;
use birchreach_peer_state::frame::Keys;
use birchreach_peer_state::provider::StateProvider;
use birchreach_peer_state::request_scheduler::{RequestScheduler, RequestSettings};
use birchreach_peer_state::transfer_protocol::{StateRequester, StateSender};
use mio::Registry;
use mio::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use tracing::info;

/// Requests state from other proxies, and sends them the state of this proxy.
pub(crate) struct StateTransfer {
    listener: Option<TcpListener>,
    keys: Keys,
    /// Also subscribed to the core's events.
    pub(super) peer_state: Shared<PeerStateObserver>,
    pub(super) requests: RequestScheduler,
    pub(super) provider: StateProvider,
    /// The providers that this proxy names in its answers.
    pub(super) named_providers: Vec<String>,
    /// Whether connections may be waiting to be accepted.
    pub(super) accept_pending: bool,
}

impl StateTransfer {
    /// Opens the listener if the options name its address.
    pub(crate) fn new(
        registry: &Registry,
        options: &birchreach_options::PeerStateOptions,
        keys: Keys,
        peer_state: Shared<PeerStateObserver>,
        seed: u64,
        now: Micros,
    ) -> Result<StateTransfer, ListenError> {
        let open = |address| listen(registry, address, Source::GossipListener, ListenPurpose::PeerState);
        let listener = options.listen.map(open).transpose()?;
        if let Some(at) = listener.as_ref().and_then(|listener| listener.local_addr().ok()) {
            info!(event = "peer-state-listening", %at);
        }
        let requests = RequestSettings { seed, ..options.requests.clone() };
        Ok(StateTransfer {
            listener,
            keys,
            peer_state,
            named_providers: requests.providers.clone(),
            requests: RequestScheduler::new(requests, now),
            provider: StateProvider::new(options.provider.clone(), now),
            accept_pending: true,
        })
    }

    /// Starts to connect to a provider, which is given as `address:port`.
    pub(super) fn connect(
        &self,
        provider: &str,
    ) -> Result<(TcpStream, SocketAddr, Box<StateRequester>), LinkError> {
        let peer: SocketAddr = provider.parse().map_err(|_| LinkError::InvalidAddress)?;
        let nonce = nonce()?;
        let stream = TcpStream::connect(peer).map_err(|_| LinkError::Refused)?;
        Ok((stream, peer, Box::new(StateRequester::new(self.keys.clone(), nonce))))
    }

    /// Accepts the next connection from a requester. Returns `None` if no connection is waiting, or if the system has no random
    /// numbers for a nonce.
    pub(super) fn accept(&mut self) -> Option<(TcpStream, SocketAddr, Box<StateSender>)> {
        let listener = self.listener.as_ref().filter(|_| self.accept_pending)?;
        let Ok((stream, peer)) = listener.accept() else {
            self.accept_pending = false;
            return None;
        };
        Some((stream, peer, Box::new(StateSender::new(self.keys.clone(), nonce().ok()?))))
    }
}
