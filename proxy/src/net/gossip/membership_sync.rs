//! Links over which two members of the fleet tell each other all that they know of it. Their listener has the number of the datagrams'
//! address; what is told and believed is the fleet crate's to say.

use super::super::error::ListenPurpose;
use super::super::event_loop_context::EventLoopContext;
use super::super::sources::Source;
use super::super::timer_events::TimerEvent;
use super::listen;
use super::nonce::nonce;
use super::peer_protocol::Next;
use crate::observe::Shared;
use birchreach_membership::Membership;
use birchreach_peer_state::frame::{Keys, Side};
use birchreach_peer_state::full_exchange::{ExchangeEvent, FullExchange};
use mio::Registry;
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Such links at once, both ways: what each may make a process keep is some half a megabyte.
pub const MOST: usize = 6;

pub struct MembershipSync {
    /// None: another process of this proxy has the listener.
    listener: Option<TcpListener>,
    /// Where others reach this process.
    own: SocketAddr,
    keys: Keys,
    machine: Shared<Membership>,
    pub(super) waiting: bool,
}

impl MembershipSync {
    pub fn new(own: SocketAddr, keys: Keys, machine: Shared<Membership>) -> MembershipSync {
        MembershipSync { listener: None, own, keys, machine, waiting: false }
    }

    /// The listener is open while this process speaks for the proxy. Where another still has the address, it is tried again with the
    /// next datagram.
    pub fn speak(&mut self, registry: &Registry, speaks: bool) {
        if speaks && self.listener.is_none() {
            self.listener = listen(registry, self.own, Source::MembershipListener, ListenPurpose::Fleet).ok();
            self.waiting = true;
        } else if !speaks && let Some(mut listener) = self.listener.take() {
            let _ = registry.deregister(&mut listener);
        }
    }

    /// Speaks from its own address, by which others may let it in.
    pub(super) fn ask(&self, peer: SocketAddr) -> Result<(TcpStream, Box<FullExchange>), &'static str> {
        let socket = Socket::new(Domain::for_address(peer), Type::STREAM, Some(Protocol::TCP));
        let socket = socket.map_err(|_| "no-socket")?;
        socket.set_nonblocking(true).map_err(|_| "no-socket")?;
        if !self.own.ip().is_unspecified() {
            socket.bind(&SocketAddr::new(self.own.ip(), 0).into()).map_err(|_| "no-socket")?;
        }
        match socket.connect(&peer.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(IN_PROGRESS) || e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return Err("refused"),
        }
        let stream = TcpStream::from_std(socket.into());
        Ok((stream, Box::new(FullExchange::new(Side::Requester, self.keys.clone(), nonce()?))))
    }

    pub(super) fn accept(&mut self) -> Option<(TcpStream, SocketAddr, Box<FullExchange>)> {
        let listener = self.listener.as_ref().filter(|_| self.waiting)?;
        let Ok((stream, peer)) = listener.accept() else {
            self.waiting = false;
            return None;
        };
        Some((stream, peer, Box::new(FullExchange::new(Side::Provider, self.keys.clone(), nonce().ok()?))))
    }

    /// What the other end has told is taken, and this one tells in its turn.
    pub(super) fn step(&self, context: &mut EventLoopContext, machine: &mut FullExchange) -> Next {
        loop {
            match machine.next_event() {
                Err(refused) => return Next::Refused(refused.to_string()),
                Ok(None) => return Next::Waits,
                Ok(Some(ExchangeEvent::Connected)) => {
                    machine.send_parts(&self.machine.borrow().export_members())
                }
                Ok(Some(ExchangeEvent::Complete(parts))) => {
                    let asked = machine.has_sent();
                    if !asked {
                        machine.send_parts(&self.machine.borrow().export_members());
                    }
                    let taken = self.machine.borrow_mut().import_members(context.now, &parts);
                    // What has changed by it is told and shown by the owner of the datagrams.
                    context.timers.set(context.now, TimerEvent::Fleet);
                    match taken {
                        Err(why) => return Next::Refused(why.as_str().to_string()),
                        Ok(()) if asked => return Next::Over("heard"),
                        Ok(()) => {}
                    }
                }
            }
        }
    }
}

/// A connection that is not up at once: `EINPROGRESS`.
const IN_PROGRESS: i32 = 115;
