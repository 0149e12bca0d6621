//! State transfer with other proxies: the listener for their requests, and this proxy's own requests.

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

/// This proxy's state, its requests to others, and its answers to theirs.
pub(crate) struct StateTransfer {
    listener: Option<TcpListener>,
    keys: Keys,
    /// Observes the core too.
    pub(super) peer_state: Shared<PeerStateObserver>,
    pub(super) requests: RequestScheduler,
    pub(super) provider: StateProvider,
    /// Other providers that an answer names.
    pub(super) named_providers: Vec<String>,
    /// Connections may wait to be accepted.
    pub(super) accept_pending: bool,
}

impl StateTransfer {
    /// Opens the listener, if the options name one.
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

    /// Begins a connection to a provider.
    pub(super) fn connect(
        &self,
        provider: &str,
    ) -> Result<(TcpStream, SocketAddr, Box<StateRequester>), LinkError> {
        let peer: SocketAddr = provider.parse().map_err(|_| LinkError::InvalidAddress)?;
        let nonce = nonce()?;
        let stream = TcpStream::connect(peer).map_err(|_| LinkError::Refused)?;
        Ok((stream, peer, Box::new(StateRequester::new(self.keys.clone(), nonce))))
    }

    /// The next connection of a requester, if one waits.
    pub(super) fn accept(&mut self) -> Option<(TcpStream, SocketAddr, Box<StateSender>)> {
        let listener = self.listener.as_ref().filter(|_| self.accept_pending)?;
        let Ok((stream, peer)) = listener.accept() else {
            self.accept_pending = false;
            return None;
        };
        Some((stream, peer, Box::new(StateSender::new(self.keys.clone(), nonce().ok()?))))
    }
}
