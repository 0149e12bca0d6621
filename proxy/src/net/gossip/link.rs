//! One link to another proxy: its connection, and the role that this process has on it.

use super::super::ids::LinkSerial;
use super::super::stream;
use birchreach::Micros;
use birchreach_peer_state::full_exchange::FullExchange;
use birchreach_peer_state::transfer_protocol::{StateRequester, StateSender};
use mio::net::TcpStream;
use std::net::SocketAddr;

/// The most bytes that one read takes.
const READ_BYTES: usize = 16 << 10;

/// The kind of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkKind {
    /// State is transferred.
    PeerState,
    /// Members of the fleet are exchanged.
    Fleet,
}

impl LinkKind {
    /// The name for the log.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            LinkKind::PeerState => "peer-state",
            LinkKind::Fleet => "fleet",
        }
    }
}

/// What this process does on a link.
pub(super) enum LinkRole {
    /// Requests state from a provider.
    RequestsState { requester: Box<StateRequester>, provider: String, requested_at: Micros },
    /// Sends state to a requester.
    SendsState {
        sender: Box<StateSender>,
        /// The request was admitted: it counts towards the limit of [`birchreach_peer_state::provider::StateProvider`].
        admitted: bool,
    },
    /// Exchanges all members with another member of the fleet.
    ExchangesMembers(Box<FullExchange>),
}

impl LinkRole {
    /// The kind of the link.
    pub(super) fn kind(&self) -> LinkKind {
        match self {
            LinkRole::RequestsState { .. } | LinkRole::SendsState { .. } => LinkKind::PeerState,
            LinkRole::ExchangesMembers(_) => LinkKind::Fleet,
        }
    }

    /// Takes bytes that were read.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        match self {
            LinkRole::RequestsState { requester, .. } => requester.feed(bytes),
            LinkRole::SendsState { sender, .. } => sender.feed(bytes),
            LinkRole::ExchangesMembers(exchange) => exchange.feed(bytes),
        }
    }

    /// Bytes to be written.
    pub(super) fn output(&mut self) -> &mut Vec<u8> {
        match self {
            LinkRole::RequestsState { requester, .. } => &mut requester.output,
            LinkRole::SendsState { sender, .. } => &mut sender.output,
            LinkRole::ExchangesMembers(exchange) => &mut exchange.output,
        }
    }

    /// Once the output is written, this side has nothing more to send. A requester's link ends with the answer instead.
    pub(super) fn has_sent_everything(&self) -> bool {
        match self {
            LinkRole::RequestsState { .. } => false,
            LinkRole::SendsState { sender, .. } => sender.is_finished(),
            LinkRole::ExchangesMembers(exchange) => exchange.is_finished(),
        }
    }

    /// A part of the answer is still to be put into the output.
    pub(super) fn is_sending(&self) -> bool {
        matches!(self, LinkRole::SendsState { sender, .. } if sender.is_sending())
    }
}

/// A link in its slot. The serial distinguishes it from earlier links in the same slot.
pub(super) struct PeerLink {
    pub(super) stream: TcpStream,
    pub(super) role: LinkRole,
    pub(super) peer: SocketAddr,
    pub(super) serial: LinkSerial,
    pub(super) opened_at: Micros,
}

impl PeerLink {
    /// Whether the connection is established.
    fn is_connected(&self) -> bool {
        self.stream.peer_addr().is_ok()
    }

    /// Reads what has arrived.
    pub(super) fn read_input(&mut self, scratch: &mut [u8]) -> Result<(), stream::StreamEnd> {
        if !self.is_connected() {
            return Ok(());
        }
        let read_bytes = READ_BYTES.min(scratch.len());
        let read = stream::read(&mut self.stream, &mut scratch[..read_bytes], |bytes| {
            self.role.feed(bytes);
            true
        });
        read.map(drop)
    }

    /// Writes the output as far as the socket accepts it.
    pub(super) fn write_output(&mut self) -> Result<(), stream::StreamEnd> {
        if !self.is_connected() {
            return Ok(());
        }
        let output = self.role.output();
        let written = stream::write_some(&mut self.stream, output)?;
        output.drain(..written);
        Ok(())
    }
}
