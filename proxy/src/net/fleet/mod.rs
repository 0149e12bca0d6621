//! The datagrams of the fleet. This module seals and opens them, and transfers them between their socket and [`Membership`] or
//! [`GossipReports`].
//!
//! It owns the socket and the timer. The crate `birchreach-membership` decides which processes are members and what each of them
//! is sent.

mod datagrams;
mod start;

use super::event_loop_context::EventLoopContext;
use super::sources::Source;
use crate::fleet::{self, FleetMetrics};
use crate::log::Quoted;
use crate::observe::Shared;
use birchreach::Micros;
use birchreach_membership::{GossipReports, Membership, MembershipChange, ReceivedReport, View, ViewState};
use birchreach_peer_state::datagram::DatagramCodec;
use mio::net::UdpSocket;
use mio::{Interest, Registry};
use std::net::SocketAddr;
use tracing::{info, warn};

/// The interval between attempts to bind the address while another process of this proxy has it.
const BIND_RETRY_INTERVAL_MICROS: Micros = 500_000;
/// The shortest time for which the timer is set, except to receive datagrams that one turn left unread.
const MIN_TIMER_INTERVAL_MICROS: Micros = 1_000;

/// This process as a member of the fleet.
pub(super) struct FleetMembership {
    /// `None` while another process of this proxy represents the proxy in the fleet, or once this process has left.
    socket: Option<UdpSocket>,
    listen: SocketAddr,
    membership: Shared<Membership>,
    gossip_reports: GossipReports,
    /// Received reports that [`FleetMembership::take_new_reports`] has not returned yet.
    new_reports: Vec<ReceivedReport>,
    datagrams: DatagramCodec,
    metrics: FleetMetrics,
    /// The time for which the timer is set, or [`Micros::MAX`] if it is not set.
    timer_at: Micros,
    /// Whether the last turn may have left datagrams unread.
    may_have_unread: bool,
    /// Whether another process of this proxy replaces this one and represents the proxy in its place.
    is_replaced: bool,
    has_left: bool,
}

impl FleetMembership {
    /// Opens the socket. Fails while another process of this proxy has the address.
    fn open(&mut self, registry: &Registry) -> std::io::Result<()> {
        let mut socket = UdpSocket::bind(self.listen)?;
        registry.register(&mut socket, Source::Fleet.token(), Interest::READABLE)?;
        info!(event = "fleet-listening", at = %self.listen);
        self.socket = Some(socket);
        Ok(())
    }

    /// Closes the socket if it is open.
    fn close(&mut self, registry: &Registry) {
        if let Some(mut socket) = self.socket.take() {
            let _ = registry.deregister(&mut socket);
        }
    }

    /// Returns the fleet as this process sees it.
    pub(super) fn view(&self) -> View {
        self.membership.borrow().view()
    }

    /// Returns the random number that identifies this process in the fleet.
    pub(super) fn incarnation(&self) -> u64 {
        self.membership.borrow().identity().incarnation
    }

    /// Publishes a report on a channel, in place of this process's earlier report there.
    pub(super) fn publish_report(&mut self, now: Micros, channel: u8, payload: Vec<u8>) {
        self.gossip_reports.publish(now, channel, payload);
        self.flush(now);
    }

    /// Returns the reports received since the last call.
    pub(super) fn take_new_reports(&mut self) -> Vec<ReceivedReport> {
        std::mem::take(&mut self.new_reports)
    }

    /// Whether this process represents the proxy in the fleet.
    pub(super) fn is_active(&self) -> bool {
        self.socket.is_some()
    }

    /// Handles the timer when it is due: receives unread datagrams, opens the socket if it should be open, and advances the
    /// membership.
    pub(super) fn process_timer(&mut self, context: &EventLoopContext) {
        let now = context.now;
        self.timer_at = Micros::MAX;
        if self.may_have_unread {
            self.receive_datagrams(now);
        }
        if self.socket.is_none() && !self.is_replaced && !self.has_left {
            // After a failure, the timer tries again in `BIND_RETRY_INTERVAL_MICROS`.
            let _ = self.open(context.poll.registry());
        }
        if self.socket.is_some() {
            self.membership.borrow_mut().step(now);
        }
        self.flush(now);
    }

    /// Sets whether another process of this proxy replaces this one. Leaves or rejoins the fleet accordingly, because one process
    /// represents the proxy at a time.
    pub(super) fn set_replaced(&mut self, context: &EventLoopContext, replaced: bool) {
        if std::mem::replace(&mut self.is_replaced, replaced) == replaced {
            return;
        }
        if replaced {
            self.leave(context);
        } else if std::mem::take(&mut self.has_left) {
            self.membership.borrow_mut().rejoin(context.now);
            self.process_timer(context);
        }
    }

    /// Leaves the fleet and closes the socket. Does nothing if this process has already left.
    pub(super) fn leave(&mut self, context: &EventLoopContext) {
        if !std::mem::replace(&mut self.has_left, true) {
            self.membership.borrow_mut().leave(context.now);
            self.flush(context.now);
            self.close(context.poll.registry());
        }
    }

    fn log_change(&self, change: MembershipChange) {
        match change {
            MembershipChange::Joined(peer) => {
                info!(event = "fleet-member-joined", name = %Quoted(peer.name), at = %peer.address);
            }
            MembershipChange::Removed(peer) => {
                info!(event = "fleet-member-removed", name = %Quoted(peer.name), at = %peer.address);
            }
            MembershipChange::EpochRenewed(epoch) => info!(event = "fleet-epoch-renewed", epoch),
            MembershipChange::NameConflict(name) => {
                warn!(event = "fleet-name-conflict", name = %Quoted(name));
            }
            MembershipChange::NameConflictResolved(name) => {
                info!(event = "fleet-name-conflict-resolved", name = %Quoted(name));
            }
            MembershipChange::StateChanged(state @ ViewState::Isolated { .. }) => {
                warn!(event = "fleet", state = state.as_str());
            }
            MembershipChange::StateChanged(state) => {
                let view = self.view();
                let digest = format!("{:016x}", view.digest);
                info!(event = "fleet", state = state.as_str(), members = view.member_count, digest);
            }
        }
    }

    /// Returns the answer of the admin listener to `fleet`.
    pub(super) fn status_lines(&self, now: Micros) -> String {
        fleet::status_lines(&self.membership.borrow(), now)
    }

    /// Returns the metrics of the fleet in the OpenMetrics text format, without the final `# EOF`.
    pub(super) fn metrics_text(&self) -> String {
        self.metrics.text(&self.membership.borrow())
    }

    /// Returns the time for which the timer must be set. `None` means that it is already set for that time or an earlier one, or
    /// that this process has left the fleet.
    fn reschedule_timer(&mut self, now: Micros) -> Option<Micros> {
        let next = match &self.socket {
            _ if self.has_left => return None,
            None => now + BIND_RETRY_INTERVAL_MICROS,
            Some(_) if self.may_have_unread => now,
            Some(_) => {
                let next_change = self.membership.borrow().next_change();
                next_change.min(self.gossip_reports.next_change(now)).max(now + MIN_TIMER_INTERVAL_MICROS)
            }
        };
        (next < self.timer_at).then(|| {
            self.timer_at = next;
            next
        })
    }
}
