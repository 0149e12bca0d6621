//! Receives and sends the fleet's datagrams.

use super::FleetMembership;
use crate::fleet::{Direction, DropReason};
use birchreach::Micros;
use birchreach_membership::PayloadError;
use birchreach_peer_state::datagram::{MAX_DATAGRAM_BYTES, OpenedDatagram};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// The most datagrams received in one turn of the event loop. The next turn receives the rest.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// The first byte of each payload for [`birchreach_membership::Membership`].
const MEMBERSHIP_CHANNEL: u8 = 0;
/// The first byte of each payload for [`birchreach_membership::GossipReports`].
const REPORTS_CHANNEL: u8 = 1;

impl FleetMembership {
    /// Receives datagrams, up to a limit, and sends what is due as a result.
    pub(crate) fn receive_datagrams(&mut self, now: Micros) {
        self.may_have_unread = false;
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for received in 0.. {
            let Some(socket) = &self.socket else { return };
            if received == MAX_DATAGRAMS_PER_TURN {
                self.may_have_unread = true;
                break;
            }
            match socket.recv_from(&mut buffer) {
                Ok((length, _)) => self.receive(now, &buffer[..length]),
                // A refusal concerns the recipient of an earlier datagram. The socket stays usable.
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
                Err(_) => break,
            }
        }
        self.flush(now);
    }

    /// Opens a datagram, passes its payload to the membership or the reports, and counts it as received or dropped.
    fn receive(&mut self, now: Micros, bytes: &[u8]) {
        let OpenedDatagram { sender_incarnation: sender, payload } = match self.datagrams.open(now, bytes) {
            Err(error) => return self.metrics.count_dropped(DropReason::Datagram(error)),
            Ok(opened) => opened,
        };
        let mut membership = self.membership.borrow_mut();
        let accepted = match payload.split_first() {
            Some((&MEMBERSHIP_CHANNEL, payload)) => membership.receive(now, sender, payload),
            Some((&REPORTS_CHANNEL, payload)) => {
                let members = membership.members().count() + 1;
                let is_member = |origin| membership.members().any(|member| member.incarnation == origin);
                let new = self.gossip_reports.apply_gossip(now, members, is_member, payload);
                new.map(|new| self.new_reports.extend(new))
            }
            // A later version may send on other channels.
            _ => Err(PayloadError::Malformed),
        };
        match accepted {
            Err(error) => self.metrics.count_dropped(DropReason::Payload(error)),
            Ok(()) => self.metrics.count_datagram(Direction::Received, bytes.len()),
        }
    }

    /// Sends the membership payloads and reports that are due, and logs changes of the membership.
    pub(super) fn flush(&mut self, now: Micros) {
        loop {
            let Some(outgoing) = self.membership.borrow_mut().next_payload() else { break };
            self.send(outgoing.recipient, MEMBERSHIP_CHANNEL, &outgoing.payload);
        }
        let members: Vec<SocketAddr> =
            self.membership.borrow().members().map(|member| member.address).collect();
        if !self.has_left
            && let Some(outgoing) = self.gossip_reports.encode_gossip(now, &members)
        {
            self.send(outgoing.recipient, REPORTS_CHANNEL, &outgoing.payload);
        }
        let changes = self.membership.borrow_mut().take_changes();
        for change in changes {
            self.log_change(change);
        }
    }

    /// Seals and sends a payload, and counts it as sent or dropped.
    fn send(&mut self, to: SocketAddr, channel: u8, payload: &[u8]) {
        let sealed = self.datagrams.seal(&[&[channel], payload].concat());
        let (Some(socket), Some(datagram)) = (&self.socket, sealed) else { return };
        match socket.send_to(&datagram, to) {
            Ok(_) => self.metrics.count_datagram(Direction::Sent, datagram.len()),
            // Treated like a datagram that the network has lost.
            Err(_) => self.metrics.count_dropped(DropReason::Unsent),
        }
    }
}
