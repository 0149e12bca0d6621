//! Writes of sessions that this process and other processes of this proxy answer. Each process has to know the writes of all, so
//! that the reads of a session see its writes.

use super::{Command, Core, InFlightAttempt, MAX_CLOCK_SKEW_MICROS, RequestPayload};
use birchreach::{AttemptOutcome, Micros, ServerStatus, SessionId};

impl<P: RequestPayload> Core<P> {
    /// Commands the event loop to report a committed write to the other processes of this proxy, if there are any.
    pub(super) fn share_session_write(
        &mut self,
        attempt: &InFlightAttempt,
        outcome: AttemptOutcome,
        status: Option<ServerStatus>,
    ) {
        let is_shared = self.classes.process_count() > 1;
        if !is_shared || outcome != AttemptOutcome::Ok || !self.classes.is_write(attempt.class) {
            return;
        }
        let position = status.and_then(|status| status.position);
        if let (Some(session), Some(position)) = (attempt.session, position) {
            self.commands.push_back(Command::ShareSessionWrite { session, position });
        }
    }

    /// Records a write that another process of this proxy answered.
    pub(crate) fn record_remote_session_write(&mut self, now: Micros, session: SessionId, position: Micros) {
        self.router.record_session_write(session, without_skew(now, position));
    }

    /// Requires this position for all sessions, because another process of this proxy answered writes that it did not report by
    /// session.
    pub(crate) fn require_session_position(&mut self, now: Micros, position: Micros) {
        self.router.require_session_position(without_skew(now, position));
    }

    /// Sets the time until which all writes that other processes of this proxy answered are recorded; `None` if there is no other
    /// process.
    pub(crate) fn set_remote_writes_recorded_until(&mut self, until: Option<Micros>) {
        self.has_other_processes = until.is_some();
        self.router.set_remote_writes_recorded_until(until);
    }

    /// Returns whether another process of this proxy may answer writes.
    pub(crate) fn has_other_processes(&self) -> bool {
        self.has_other_processes
    }
}

/// Limits a position to the greatest that the clock skew allows, so that an invalid message does not keep reads from all replicas.
fn without_skew(now: Micros, position: Micros) -> Micros {
    position.min(now + MAX_CLOCK_SKEW_MICROS)
}
