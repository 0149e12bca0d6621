//! The datagrams of other proxies: moved between their socket and the machines, sealed and opened on the way. It owns the
//! socket and the times; who is there, and who is told what, is the fleet crate's to say.

mod start;

use super::sources::Source;
use crate::fleet::{self, Metrics, Way};
use crate::log::Quoted;
use crate::observe::Shared;
use birchreach::Micros;
use birchreach_membership::{
    GossipReports, Membership, MembershipChange, PayloadError, ReceivedReport, View, ViewState,
};
use birchreach_peer_state::datagram::{DatagramCodec, MAX_DATAGRAM_BYTES};
use mio::net::UdpSocket;
use mio::{Interest, Registry};
use std::io::ErrorKind;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Datagrams taken in one turn; the rest waits for the next.
const TURN: usize = 64;
/// The address is looked at again so often while another process of this proxy holds it.
const AGAIN: Micros = 500_000;
/// What a datagram holds, by its first byte: words of the view, or reports of members.
const VIEW: u8 = 0;
const REPORTS: u8 = 1;

pub struct FleetMembership {
    /// None: another process of this proxy speaks, or this one has said goodbye.
    socket: Option<UdpSocket>,
    listen: SocketAddr,
    registry: Registry,
    machine: Shared<Membership>,
    gossip_reports: GossipReports,
    /// Reports that are new here, until their channels take them.
    fresh: Vec<ReceivedReport>,
    datagrams: DatagramCodec,
    metrics: Metrics,
    /// When the timer that is set goes off.
    armed: Micros,
    /// More may have come than one turn takes.
    unread: bool,
    replaced: bool,
    left: bool,
}

impl FleetMembership {
    fn open(&mut self) -> std::io::Result<()> {
        let mut socket = UdpSocket::bind(self.listen)?;
        self.registry.register(&mut socket, Source::Fleet.token(), Interest::READABLE)?;
        info!(event = "fleet-listening", at = %self.listen);
        self.socket = Some(socket);
        Ok(())
    }

    fn close(&mut self) {
        if let Some(mut socket) = self.socket.take() {
            let _ = self.registry.deregister(&mut socket);
        }
    }

    pub fn view(&self) -> View {
        self.machine.borrow().view()
    }

    pub fn boot(&self) -> u64 {
        self.machine.borrow().own().incarnation
    }

    /// What this process tells all others of itself, on a channel.
    pub fn say(&mut self, now: Micros, channel: u8, payload: Vec<u8>) {
        self.gossip_reports.publish(now, channel, payload);
        self.flush(now);
    }

    /// Reports that are new here.
    pub fn fresh(&mut self) -> Vec<ReceivedReport> {
        std::mem::take(&mut self.fresh)
    }

    /// It is this process that speaks for the proxy.
    pub fn speaks(&self) -> bool {
        self.socket.is_some()
    }

    /// What came, a bounded number at once.
    pub fn ready(&mut self, now: Micros) {
        self.unread = false;
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for n in 0.. {
            let Some(socket) = &self.socket else { return };
            if n == TURN {
                self.unread = true;
                break;
            }
            match socket.recv_from(&mut buffer) {
                Ok((length, _)) => self.take(now, &buffer[..length]),
                // A refusal of what was sent to one that is gone; the socket is well.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
                Err(_) => break,
            }
        }
        self.flush(now);
    }

    fn take(&mut self, now: Micros, bytes: &[u8]) {
        let (boot, payload) = match self.datagrams.open(now, bytes) {
            Err(dropped) => return self.metrics.drop(dropped.as_str()),
            Ok(opened) => opened,
        };
        let mut machine = self.machine.borrow_mut();
        let taken = match payload.split_first() {
            Some((&VIEW, payload)) => machine.receive(now, boot, payload),
            Some((&REPORTS, payload)) => {
                let members = machine.members().count() + 1;
                let member = |origin| machine.members().any(|m| m.incarnation == origin);
                self.gossip_reports
                    .apply_gossip(now, members, member, payload)
                    .map(|new| self.fresh.extend(new))
            }
            // Of a later version of the program.
            _ => Err(PayloadError::Malformed),
        };
        match taken {
            Err(why) => self.metrics.drop(why.as_str()),
            Ok(()) => self.metrics.count(Way::Taken, bytes.len()),
        }
    }

    /// A time has come.
    pub fn due(&mut self, now: Micros) {
        self.armed = Micros::MAX;
        if self.unread {
            self.ready(now);
        }
        if self.socket.is_none() && !self.replaced && !self.left {
            // Whoever holds the address speaks for this proxy until then.
            let _ = self.open();
        }
        if self.socket.is_some() {
            self.machine.borrow_mut().step(now);
        }
        self.flush(now);
    }

    /// Another process takes this one's place, or does not after all: one speaks for the proxy at a time.
    pub fn replaced(&mut self, now: Micros, replaced: bool) {
        if std::mem::replace(&mut self.replaced, replaced) == replaced {
            return;
        }
        if replaced {
            self.leave(now);
        } else if std::mem::take(&mut self.left) {
            self.machine.borrow_mut().rejoin(now);
            self.due(now);
        }
    }

    /// Says goodbye.
    pub fn leave(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.left, true) {
            self.machine.borrow_mut().leave(now);
            self.flush(now);
            self.close();
        }
    }

    fn flush(&mut self, now: Micros) {
        loop {
            let Some((to, payload)) = self.machine.borrow_mut().next_payload() else { break };
            self.send(to, VIEW, &payload);
        }
        let members: Vec<SocketAddr> = self.machine.borrow().members().map(|m| m.address).collect();
        if !self.left
            && let Some((to, payload)) = self.gossip_reports.encode_gossip(now, &members)
        {
            self.send(to, REPORTS, &payload);
        }
        let changes = self.machine.borrow_mut().take_changes();
        for change in changes {
            self.tell(change);
        }
    }

    fn send(&mut self, to: SocketAddr, kind: u8, payload: &[u8]) {
        let sealed = self.datagrams.seal(&[&[kind], payload].concat());
        let (Some(socket), Some(datagram)) = (&self.socket, sealed) else { return };
        match socket.send_to(&datagram, to) {
            Ok(_) => self.metrics.count(Way::Sent, datagram.len()),
            // As lost on the way: it is asked for again.
            Err(_) => self.metrics.drop("unsent"),
        }
    }

    fn tell(&self, change: MembershipChange) {
        match change {
            MembershipChange::Joined(peer) => {
                info!(event = "fleet-member-joined", name = %Quoted(peer.name), at = %peer.address)
            }
            MembershipChange::Removed(peer) => {
                info!(event = "fleet-member-removed", name = %Quoted(peer.name), at = %peer.address)
            }
            MembershipChange::EpochRenewed(epoch) => info!(event = "fleet-epoch-renewed", epoch),
            MembershipChange::NameConflict(name) => warn!(event = "fleet-name-conflict", name = %Quoted(name)),
            MembershipChange::NameConflictResolved(name) => {
                info!(event = "fleet-name-conflict-resolved", name = %Quoted(name))
            }
            MembershipChange::State(state @ ViewState::Blind { .. }) => {
                warn!(event = "fleet", state = state.as_str())
            }
            MembershipChange::State(state) => {
                let view = self.machine.borrow().view();
                let digest = format!("{:016x}", view.digest);
                info!(event = "fleet", state = state.as_str(), members = view.members, digest);
            }
        }
    }

    pub fn lines(&self, now: Micros) -> String {
        fleet::lines(&self.machine.borrow(), now)
    }

    pub fn metrics(&self) -> String {
        self.metrics.text(&self.machine.borrow())
    }

    /// When it is to be woken, if that is sooner than it was.
    fn wake(&mut self, now: Micros) -> Option<Micros> {
        let next = match &self.socket {
            _ if self.left => return None,
            None => now + AGAIN,
            Some(_) if self.unread => now,
            Some(_) => {
                self.machine.borrow().next_change().min(self.gossip_reports.next_change(now)).max(now + 1_000)
            }
        };
        (next < self.armed).then(|| {
            self.armed = next;
            next
        })
    }
}
