//! Reports of the session writes that this process answers, and of the roles that servers confirm to it, to another process of this
//! proxy.

#[cfg(test)]
mod tests;

use super::{ConfirmedRole, HandoverMessage, HandoverProtocol};
use birchreach::{Micros, SessionId};

/// The most bytes of the output buffer of a link. Writes are not reported one by one while it is full.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Which writes the other process has been told of.
#[derive(Default)]
pub(crate) struct SessionWriteReports {
    /// Whether the other process understands the reports.
    active: bool,
    /// The highest position of the writes that were not reported one by one. `None`: all were reported.
    missed: Option<Micros>,
}

impl SessionWriteReports {
    /// Starts the reports after the other process has shown that it understands them. Writes up to the position `answered_before`
    /// were answered before the link existed.
    pub(crate) fn start(&mut self, answered_before: Option<Micros>) {
        if !std::mem::replace(&mut self.active, true) {
            self.missed = self.missed.max(answered_before);
        }
    }

    /// Reports a write. If that is not possible now, the next [`SessionWriteReports::announce`] covers it.
    pub(crate) fn report(&mut self, protocol: &mut HandoverProtocol, session: SessionId, position: Micros) {
        if self.active && has_space(protocol) {
            protocol.send(HandoverMessage::SessionWritten { session, position });
        } else {
            self.add_missed(position);
        }
    }

    /// Reports the confirmed role of a server. Left out if that is not possible now: the other process then learns the role from the
    /// server's next response.
    pub(crate) fn report_role(&self, protocol: &mut HandoverProtocol, role: ConfirmedRole) {
        if self.active && has_space(protocol) && role.is_sendable() {
            protocol.send(HandoverMessage::RoleConfirmed(role));
        }
    }

    /// Adds writes up to this position to those that the next [`SessionWriteReports::announce`] covers.
    pub(crate) fn add_missed(&mut self, position: Micros) {
        self.missed = self.missed.max(Some(position));
    }

    /// Announces that all writes answered before this time, in Unix microseconds, are reported. Announces nothing while the output
    /// buffer is full: the other process then expects that it does not know all writes.
    pub(crate) fn announce(&mut self, protocol: &mut HandoverProtocol, reported_until: Micros) {
        if self.send_missed(protocol) {
            protocol.send(HandoverMessage::SessionWritesReportedUntil(reported_until));
        }
    }

    /// Announces that no further write will be answered.
    pub(crate) fn finish(&mut self, protocol: &mut HandoverProtocol) {
        if self.send_missed(protocol) {
            protocol.send(HandoverMessage::SessionWritesFinished);
        }
    }

    /// Reports the position of the writes that were not reported one by one. Returns whether all writes are reported now.
    fn send_missed(&mut self, protocol: &mut HandoverProtocol) -> bool {
        if !self.active || !has_space(protocol) {
            return false;
        }
        if let Some(position) = self.missed.take() {
            protocol.send(HandoverMessage::SessionWritesMissed(position));
        }
        true
    }
}

fn has_space(protocol: &HandoverProtocol) -> bool {
    protocol.outbox.buffered_bytes() < MAX_BUFFERED_BYTES
}
