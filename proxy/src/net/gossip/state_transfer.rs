//! Links over which knowledge of databases travels: their listener, and whom this process asks.

use super::super::sources::Source;
use super::listen;
use super::nonce::nonce;
use crate::observe::Shared;
use crate::peer_knowledge::PeerKnowledge;
use birchreach::Micros;
use birchreach_peer_state::frame::Keys;
use birchreach_peer_state::provider::StateProvider;
use birchreach_peer_state::request_scheduler::{self, RequestScheduler};
use birchreach_peer_state::transfer_protocol::{StateRequester, StateSender};
use mio::Registry;
use mio::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use tracing::info;

pub struct StateTransfer {
    listener: Option<TcpListener>,
    keys: Keys,
    /// What is known, which listens to the core.
    pub(super) peer_knowledge: Shared<PeerKnowledge>,
    pub(super) joiner: RequestScheduler,
    pub(super) donor: StateProvider,
    /// Whom askers are told of besides.
    pub(super) named: Vec<String>,
    pub(super) waiting: bool,
}

impl StateTransfer {
    pub fn new(
        registry: &Registry,
        options: &birchreach_options::PeerStateOptions,
        keys: Keys,
        peer_knowledge: Shared<PeerKnowledge>,
        seed: u64,
        now: Micros,
    ) -> Result<StateTransfer, String> {
        let open = |at| listen(registry, at, Source::GossipListener, "knowledge");
        let listener = options.listen.map(open).transpose()?;
        if let Some(at) = listener.as_ref().and_then(|l| l.local_addr().ok()) {
            info!(event = "knowledge-listening", %at);
        }
        let join = request_scheduler::RequestSettings { seed, ..options.requests.clone() };
        Ok(StateTransfer {
            listener,
            keys,
            peer_knowledge,
            named: join.providers.clone(),
            joiner: RequestScheduler::new(join, now),
            donor: StateProvider::new(options.provider.clone(), now),
            waiting: true,
        })
    }

    pub(super) fn ask(
        &self,
        donor: &str,
    ) -> Result<(TcpStream, SocketAddr, Box<StateRequester>), &'static str> {
        let peer: SocketAddr = donor.parse().map_err(|_| "no-address")?;
        let nonce = nonce()?;
        let stream = TcpStream::connect(peer).map_err(|_| "refused")?;
        Ok((stream, peer, Box::new(StateRequester::new(self.keys.clone(), nonce))))
    }

    /// The next that wants to ask, if one waits.
    pub(super) fn accept(&mut self) -> Option<(TcpStream, SocketAddr, Box<StateSender>)> {
        let listener = self.listener.as_ref().filter(|_| self.waiting)?;
        let Ok((stream, peer)) = listener.accept() else {
            self.waiting = false;
            return None;
        };
        Some((stream, peer, Box::new(StateSender::new(self.keys.clone(), nonce().ok()?))))
    }
}
