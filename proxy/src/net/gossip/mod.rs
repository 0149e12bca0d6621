//! Links to other proxies. Some transfer state, others exchange the members of the fleet.
//!
//! This module owns the sockets and timeouts. The crates `birchreach-peer-state` and `birchreach-membership` decide which proxy
//! to request state from, which requests to answer and which data to accept.

mod close_reason;
mod link;
mod link_events;
mod listener;
mod membership_sync;
mod nonce;
mod peer_protocol;
mod state_transfer;

use super::event_loop_context::EventLoopContext;
use super::ids::{LinkKey, LinkSerial};
use super::registration;
use super::sources::Source;
use super::timer_events::TimerEvent;
use birchreach::Micros;
use birchreach_peer_state::request_scheduler::RequestOutcome;
use close_reason::{LinkCloseReason, LinkError};
use link::{LinkKind, LinkRole, PeerLink};
pub(super) use membership_sync::MembershipSync;
use mio::net::TcpStream;
use mio::{Interest, Registry};
use slab::Slab;
pub(super) use state_transfer::StateTransfer;
use std::net::SocketAddr;
use tracing::{info, warn};

/// The limit on open links, incoming and outgoing together. Further connections are closed.
pub(super) const MAX_LINKS: usize = 24;
/// A link that is still open after this time is closed.
const LINK_TIMEOUT_MICROS: Micros = 5_000_000;
/// The most connections accepted from each listener in one turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// The longest time for which the timer is set.
const MAX_TIMER_INTERVAL_MICROS: Micros = 1_000_000;

/// All links to other proxies, and the subsystems that use them.
#[derive(Default)]
pub(super) struct Gossip {
    links: Slab<PeerLink>,
    state_transfer: Option<StateTransfer>,
    membership_sync: Option<MembershipSync>,
    last_serial: LinkSerial,
}

impl Gossip {
    /// Enables state transfer.
    pub(super) fn set_state_transfer(&mut self, state_transfer: StateTransfer) {
        self.state_transfer = Some(state_transfer);
    }

    /// Enables full exchanges of the membership.
    pub(super) fn set_membership_sync(&mut self, membership_sync: MembershipSync) {
        self.membership_sync = Some(membership_sync);
    }

    /// Sets whether this process represents the proxy in the fleet. Only such a process listens for full exchanges.
    pub(super) fn set_active(&mut self, registry: &Registry, active: bool) {
        if let Some(sync) = &mut self.membership_sync {
            sync.set_active(registry, active);
        }
    }

    /// Whether startup no longer waits for the state of other proxies. Always true without state transfer.
    pub(super) fn is_startup_complete(&self) -> bool {
        self.state_transfer.as_ref().is_none_or(|transfer| transfer.requests.is_startup_complete())
    }

    /// Notes that a listener has connections to accept.
    pub(super) fn accept_ready(&mut self, source: Source) {
        match source {
            Source::MembershipListener => {
                self.membership_sync.iter_mut().for_each(|sync| sync.accept_pending = true);
            }
            _ => self.state_transfer.iter_mut().for_each(|transfer| transfer.accept_pending = true),
        }
    }

    /// Closes links that have timed out, accepts connections, sends the requests that are due and sets the next timer.
    pub(super) fn advance(&mut self, context: &mut EventLoopContext) {
        self.close_timed_out_links(context);
        self.accept(context);
        self.send_due_requests(context);
        let latest_timer_at = context.now + MAX_TIMER_INTERVAL_MICROS;
        let next_request =
            self.state_transfer.as_ref().map(|transfer| transfer.requests.next_change(context.now));
        context
            .timers
            .set(next_request.map_or(latest_timer_at, |at| at.min(latest_timer_at)), TimerEvent::Gossip);
    }

    fn close_timed_out_links(&mut self, context: &mut EventLoopContext) {
        let is_timed_out = |link: &PeerLink| context.now - link.opened_at >= LINK_TIMEOUT_MICROS;
        let timed_out: Vec<LinkKey> =
            self.links.iter().filter(|(_, link)| is_timed_out(link)).map(|(slot, _)| LinkKey(slot)).collect();
        timed_out.into_iter().for_each(|key| self.close_link(context, key, LinkCloseReason::Unresponsive));
    }

    /// Requests state from each provider whose request is due. A request that cannot be sent is recorded as failed.
    fn send_due_requests(&mut self, context: &mut EventLoopContext) {
        let Some(transfer) = &mut self.state_transfer else { return };
        for provider in transfer.requests.due_requests(context.now) {
            if let Err(reason) = self.send_request(context, &provider) {
                if let Some(transfer) = &mut self.state_transfer {
                    transfer.requests.record_outcome(context.now, &provider, RequestOutcome::Failed);
                }
                info!(conn = LinkKind::PeerState.as_str(), peer = provider, %reason);
            }
        }
    }

    /// Opens a link that requests state from a provider.
    fn send_request(&mut self, context: &mut EventLoopContext, provider: &str) -> Result<(), LinkError> {
        let Some(transfer) = &self.state_transfer else { return Ok(()) };
        let (stream, peer, requester) = transfer.connect(provider)?;
        let requested_at = context.now;
        let role = LinkRole::RequestsState { requester, provider: provider.into(), requested_at };
        self.open_link(context, stream, peer, role)
    }

    /// Sets the load that clients cause on this process, from 0 to 1.
    pub(super) fn set_load(&mut self, load: f64) {
        if let Some(transfer) = &mut self.state_transfer {
            transfer.provider.set_load(load);
        }
    }

    /// Starts a full exchange with a member. If the link cannot be opened, the reason is logged.
    pub(super) fn begin_exchange(&mut self, context: &mut EventLoopContext, peer: SocketAddr) {
        let Some(sync) = &self.membership_sync else { return };
        let opened = sync.connect(peer).and_then(|(stream, exchange)| {
            self.open_link(context, stream, peer, LinkRole::ExchangesMembers(exchange))
        });
        if let Err(reason) = opened {
            info!(conn = LinkKind::Fleet.as_str(), %peer, %reason);
        }
    }

    /// Registers a connection with the event loop and adds its link. Fails if there are too many links or the registration fails.
    fn open_link(
        &mut self,
        context: &mut EventLoopContext,
        mut stream: TcpStream,
        peer: SocketAddr,
        role: LinkRole,
    ) -> Result<(), LinkError> {
        let is_exchange = |role: &LinkRole| role.kind() == LinkKind::Fleet;
        let exchanges = self.links.iter().filter(|(_, link)| is_exchange(&link.role)).count();
        let too_many_exchanges = is_exchange(&role) && exchanges >= membership_sync::MAX_EXCHANGES;
        if self.links.len() >= MAX_LINKS || too_many_exchanges {
            return Err(LinkError::ConnectionLimit);
        }
        let _ = stream.set_nodelay(true);
        let slot = self.links.vacant_entry();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = Source::Gossip(LinkKey(slot.key())).token();
        registration::register(context.poll.registry(), &mut stream, token, interest)
            .map_err(|_| LinkError::NoSocket)?;
        self.last_serial = self.last_serial.next();
        slot.insert(PeerLink { stream, role, peer, serial: self.last_serial, opened_at: context.now });
        Ok(())
    }

    /// Accepts a bounded number of connections from each listener.
    fn accept(&mut self, context: &mut EventLoopContext) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let request = self.state_transfer.as_mut().and_then(StateTransfer::accept);
            let exchange = self.membership_sync.as_mut().and_then(MembershipSync::accept);
            if request.is_none() && exchange.is_none() {
                return;
            }
            let request = request.map(|(stream, peer, sender)| {
                (stream, peer, LinkRole::SendsState { sender, admitted: false })
            });
            let exchange =
                exchange.map(|(stream, peer, exchange)| (stream, peer, LinkRole::ExchangesMembers(exchange)));
            for (stream, peer, role) in request.into_iter().chain(exchange) {
                let conn = role.kind().as_str();
                if let Err(reason) = self.open_link(context, stream, peer, role) {
                    info!(conn, %peer, %reason);
                }
            }
        }
    }

    /// Continues to send on a link when the send budget allows the next part. Does nothing if the link has ended.
    pub(super) fn continue_sending(
        &mut self,
        context: &mut EventLoopContext,
        key: LinkKey,
        serial: LinkSerial,
    ) {
        if self.links.get(key.0).is_some_and(|link| link.serial == serial) {
            self.process_link(context, key);
        }
    }

    /// Closes a link, records the outcome of its transfer and logs the reason.
    fn close_link(&mut self, context: &mut EventLoopContext, key: LinkKey, reason: LinkCloseReason) {
        let mut link = self.links.remove(key.0);
        let _ = context.poll.registry().deregister(&mut link.stream);
        let is_complete = reason.is_complete();
        if let Some(transfer) = &mut self.state_transfer {
            match &link.role {
                LinkRole::RequestsState { provider, .. } if !is_complete => {
                    transfer.requests.record_outcome(context.now, provider, RequestOutcome::Failed);
                }
                LinkRole::SendsState { admitted: true, .. } => transfer.provider.finish(is_complete),
                _ => {}
            }
        }
        let conn = link.role.kind().as_str();
        if reason.is_rejection() {
            warn!(conn, peer = %link.peer, reason = %crate::log::Quoted(reason));
        } else {
            info!(conn, peer = %link.peer, %reason);
        }
    }
}
