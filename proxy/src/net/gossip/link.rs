//! A link to another proxy: its connection, and the role of this process on it.

use super::super::ids::LinkSerial;
use super::super::stream;
use birchreach::Micros;
use birchreach_peer_state::full_exchange::FullExchange;
use birchreach_peer_state::transfer_protocol::{StateRequester, StateSender};
use mio::net::TcpStream;
use std::net::SocketAddr;

/// The size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The purpose of a link, which determines the protocol on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkKind {
    /// One side requests state, the other sends it.
    PeerState,
    /// Both sides send the members of the fleet that they know.
    Fleet,
}

impl LinkKind {
    /// Returns the value of the log field `conn`.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            LinkKind::PeerState => "peer-state",
            LinkKind::Fleet => "fleet",
        }
    }
}

/// The role of this process on a link.
pub(super) enum LinkRole {
    RequestsState {
        requester: Box<StateRequester>,
        provider: String,
        requested_at: Micros,
    },
    SendsState {
        sender: Box<StateSender>,
        /// Whether the request was admitted and counts towards the limit of
        /// [`birchreach_peer_state::provider::StateProvider`].
        admitted: bool,
    },
    ExchangesMembers(Box<FullExchange>),
}

impl LinkRole {
    pub(super) fn kind(&self) -> LinkKind {
        match self {
            LinkRole::RequestsState { .. } | LinkRole::SendsState { .. } => LinkKind::PeerState,
            LinkRole::ExchangesMembers(_) => LinkKind::Fleet,
        }
    }

    /// Passes bytes that were read to the protocol.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        match self {
            LinkRole::RequestsState { requester, .. } => requester.feed(bytes),
            LinkRole::SendsState { sender, .. } => sender.feed(bytes),
            LinkRole::ExchangesMembers(exchange) => exchange.feed(bytes),
        }
    }

    /// Returns the bytes that wait to be written.
    pub(super) fn output(&mut self) -> &mut Vec<u8> {
        match self {
            LinkRole::RequestsState { requester, .. } => &mut requester.output,
            LinkRole::SendsState { sender, .. } => &mut sender.output,
            LinkRole::ExchangesMembers(exchange) => &mut exchange.output,
        }
    }

    /// Whether this side has nothing more to send once the output is written. Always false for a requester of state, whose link
    /// ends when the answer is complete.
    pub(super) fn has_sent_everything(&self) -> bool {
        match self {
            LinkRole::RequestsState { .. } => false,
            LinkRole::SendsState { sender, .. } => sender.is_finished(),
            LinkRole::ExchangesMembers(exchange) => exchange.is_finished(),
        }
    }

    /// Whether parts of the answer have yet to be appended to the output.
    pub(super) fn is_sending(&self) -> bool {
        matches!(self, LinkRole::SendsState { sender, .. } if sender.is_sending())
    }
}

/// An open link in its slot.
pub(super) struct PeerLink {
    pub(super) stream: TcpStream,
    pub(super) role: LinkRole,
    pub(super) peer: SocketAddr,
    /// Distinguishes the link from earlier links in the same slot.
    pub(super) serial: LinkSerial,
    pub(super) opened_at: Micros,
}

impl PeerLink {
    /// Whether the connection is established. A connect does not block, so it may complete later.
    fn is_connected(&self) -> bool {
        self.stream.peer_addr().is_ok()
    }

    /// Reads the bytes that have arrived. Does nothing before the connection is established.
    pub(super) fn read_input(&mut self, scratch: &mut [u8]) -> Result<(), stream::StreamEnd> {
        if !self.is_connected() {
            return Ok(());
        }
        let buffer_length = READ_BUFFER_BYTES.min(scratch.len());
        let read = stream::read(&mut self.stream, &mut scratch[..buffer_length], |bytes| {
            self.role.feed(bytes);
            true
        });
        read.map(drop)
    }

    /// Writes as much of the output as the socket accepts. Does nothing before the connection is established.
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
