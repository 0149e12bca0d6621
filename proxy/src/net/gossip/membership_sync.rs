//! Full exchanges of the membership with other members of the fleet: the listener for them, and the connections that this process
//! opens. The listener has the same address and port as the datagrams. [`Membership`] decides what is sent and accepted.

use super::super::error::ListenPurpose;
use super::super::event_loop_context::EventLoopContext;
use super::super::sources::Source;
use super::super::timer_events::TimerEvent;
use super::close_reason::{LinkCloseReason, LinkError, LinkProgress};
use super::listener::listen;
use super::nonce::nonce;
use crate::observe::Shared;
use birchreach_membership::{Membership, PayloadError};
use birchreach_peer_state::frame::{Keys, Side};
use birchreach_peer_state::full_exchange::{ExchangeEvent, FullExchange};
use mio::Registry;
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// The limit on links for full exchanges, incoming and outgoing together. Each link may use about half a megabyte of memory.
pub(super) const MAX_EXCHANGES: usize = 6;
/// Linux's error number for a connect that has not completed yet.
const EINPROGRESS: i32 = 115;

/// Opens and accepts connections for full exchanges, and merges the members received on them.
pub(crate) struct MembershipSync {
    /// `None` while another process of this proxy has the address or represents the proxy in the fleet.
    listener: Option<TcpListener>,
    /// The address of the listener. Outgoing connections use its IP address too.
    local_address: SocketAddr,
    keys: Keys,
    membership: Shared<Membership>,
    /// Whether connections may be waiting to be accepted.
    pub(super) accept_pending: bool,
}

impl MembershipSync {
    /// Creates the state without a listener, which [`MembershipSync::set_active`] opens.
    pub(crate) fn new(
        local_address: SocketAddr,
        keys: Keys,
        membership: Shared<Membership>,
    ) -> MembershipSync {
        MembershipSync { listener: None, local_address, keys, membership, accept_pending: false }
    }

    /// Opens the listener if this process represents the proxy in the fleet, and closes it otherwise. If another process still
    /// has the address, opening it is tried again with the next datagram.
    pub(crate) fn set_active(&mut self, registry: &Registry, active: bool) {
        if active && self.listener.is_none() {
            self.listener =
                listen(registry, self.local_address, Source::MembershipListener, ListenPurpose::Fleet).ok();
            self.accept_pending = true;
        } else if !active && let Some(mut listener) = self.listener.take() {
            let _ = registry.deregister(&mut listener);
        }
    }

    /// Starts to connect to a member. The connection comes from this process's own IP address, because the member may use the
    /// source address to admit it.
    pub(super) fn connect(&self, peer: SocketAddr) -> Result<(TcpStream, Box<FullExchange>), LinkError> {
        let socket = Socket::new(Domain::for_address(peer), Type::STREAM, Some(Protocol::TCP));
        let socket = socket.map_err(|_| LinkError::NoSocket)?;
        socket.set_nonblocking(true).map_err(|_| LinkError::NoSocket)?;
        let local_ip = self.local_address.ip();
        if !local_ip.is_unspecified() {
            socket.bind(&SocketAddr::new(local_ip, 0).into()).map_err(|_| LinkError::NoSocket)?;
        }
        match socket.connect(&peer.into()) {
            Ok(()) => {}
            Err(error)
                if error.raw_os_error() == Some(EINPROGRESS) || error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return Err(LinkError::Refused),
        }
        let stream = TcpStream::from_std(socket.into());
        Ok((stream, Box::new(FullExchange::new(Side::Requester, self.keys.clone(), nonce()?))))
    }

    /// Accepts the next connection from a member. Returns `None` if no connection is waiting, or if the system has no random
    /// numbers for a nonce.
    pub(super) fn accept(&mut self) -> Option<(TcpStream, SocketAddr, Box<FullExchange>)> {
        let listener = self.listener.as_ref().filter(|_| self.accept_pending)?;
        let Ok((stream, peer)) = listener.accept() else {
            self.accept_pending = false;
            return None;
        };
        Some((stream, peer, Box::new(FullExchange::new(Side::Provider, self.keys.clone(), nonce().ok()?))))
    }

    /// Merges the members that the other side has sent, and sends those of this process.
    pub(super) fn process_exchange(
        &self,
        context: &mut EventLoopContext,
        exchange: &mut FullExchange,
    ) -> LinkProgress {
        loop {
            match exchange.next_event() {
                Err(error) => return LinkProgress::Close(LinkCloseReason::Frame(error)),
                Ok(None) => return LinkProgress::Continue,
                Ok(Some(ExchangeEvent::Connected)) => self.send_members(exchange),
                Ok(Some(ExchangeEvent::Complete(parts))) => {
                    let already_sent = exchange.has_sent();
                    if !already_sent {
                        self.send_members(exchange);
                    }
                    match self.import_members(context, &parts) {
                        Err(error) => return LinkProgress::Close(LinkCloseReason::Members(error)),
                        Ok(()) if already_sent => return LinkProgress::Close(LinkCloseReason::Received),
                        Ok(()) => {}
                    }
                }
            }
        }
    }

    /// Sends all members that this process knows.
    fn send_members(&self, exchange: &mut FullExchange) {
        exchange.send_parts(&self.membership.borrow().export_members());
    }

    /// Merges the members of the other side. Sets the fleet's timer to the present time, so that
    /// [`super::super::fleet::FleetMembership`] logs the changes and sends gossip.
    fn import_members(&self, context: &mut EventLoopContext, parts: &[Vec<u8>]) -> Result<(), PayloadError> {
        let result = self.membership.borrow_mut().import_members(context.now, parts);
        context.timers.set(context.now, TimerEvent::Fleet);
        result
    }
}
