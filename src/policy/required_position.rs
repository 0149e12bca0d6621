//! Required positions: the log position that a server must have reached to serve a read.

use super::Router;
use super::pending::PendingRequest;
use crate::interface::{Consistency, Micros, Request, RequestId, SessionId, SessionPositionSource};
use std::collections::BTreeMap;

/// Maximum number of sessions whose positions are stored individually.
const MAX_SESSIONS: usize = 65_536;
/// A write has to be known this long after it was answered, by the rules of the platform's protocol.
const MAX_WRITE_PROPAGATION_DELAY: Micros = 100_000;

/// Commit positions of the last write of each session, used if requests do not carry them.
#[derive(Default)]
pub(super) struct SessionPositions {
    by_session: BTreeMap<SessionId, Micros>,
    /// Highest position of the evicted sessions, which is used for each of them. Replicas reach it within
    /// moments.
    evicted: Option<Micros>,
    /// Highest position of writes that another process of this proxy answered and did not report by session.
    /// It applies to all sessions.
    unreported: Option<Micros>,
    /// Time until which all writes that other processes of this proxy answered are recorded. `None` while
    /// there is no other process.
    remote_writes_recorded_until: Option<Micros>,
}

impl SessionPositions {
    /// Position that a read of a session has to see if it arrives at this time. `None` if there is no known
    /// write.
    fn required_at(&self, now: Micros, session: Option<SessionId>) -> Option<Micros> {
        if self.may_miss_remote_writes(now) {
            return Some(now);
        }
        let position = session.and_then(|session| self.by_session.get(&session).copied());
        position.or(self.evicted).max(self.unreported)
    }

    /// Whether another process may have answered a write that a read at this time has to see and that is not
    /// recorded.
    fn may_miss_remote_writes(&self, now: Micros) -> bool {
        let recorded_until = self.remote_writes_recorded_until;
        recorded_until.is_some_and(|until| until < now.saturating_sub(MAX_WRITE_PROPAGATION_DELAY))
    }

    /// Records a write of a session. Evicts all sessions if there are more than [`MAX_SESSIONS`].
    fn record(&mut self, session: SessionId, commit_position: Micros) {
        let last_position = self.by_session.entry(session).or_insert(commit_position);
        *last_position = commit_position.max(*last_position);
        if self.by_session.len() > MAX_SESSIONS {
            self.evicted = self.by_session.values().copied().max();
            self.by_session.clear();
        }
    }
}

impl Router {
    /// Position that a server must have reached to serve the request at this time; `None` if any will do.
    pub(super) fn required_position(&self, request: &PendingRequest, now: Micros) -> Option<Micros> {
        match self.class_of(request).consistency {
            Consistency::Any => None,
            Consistency::Write | Consistency::Strong => Some(Micros::MAX),
            Consistency::BoundedStaleness(max_age) => Some(now - max_age),
            Consistency::Session => request.required_session_position,
        }
    }

    /// Position that a copy must have reached to serve a pending read at this time. `None` if the read
    /// accepts any position or the request is not pending.
    pub fn required_copy_position(&self, now: Micros, request_id: RequestId) -> Option<Micros> {
        self.required_position(self.pending.get(&request_id)?, now.max(self.now))
    }

    /// For a session read: the known position of the last write of its session.
    pub(super) fn session_position_for(&self, request: &Request) -> Option<Micros> {
        let class = &self.settings.classes[request.class.index()];
        if class.consistency != Consistency::Session {
            return None;
        }
        match self.settings.session_positions {
            SessionPositionSource::FromRequest => request.last_write_position,
            SessionPositionSource::FromObservedWrites => {
                self.session_positions.required_at(self.now, request.session)
            }
        }
    }

    /// Records the commit position of a write that this process or another process of this proxy answered,
    /// unless requests carry the positions.
    pub fn record_session_write(&mut self, session: SessionId, commit_position: Micros) {
        if self.settings.session_positions == SessionPositionSource::FromObservedWrites {
            self.session_positions.record(session, commit_position);
        }
    }

    /// Requires this position for the reads of all sessions, because another process of this proxy answered
    /// writes up to this position and did not report them by session.
    pub fn require_session_position(&mut self, position: Micros) {
        let unreported = &mut self.session_positions.unreported;
        *unreported = (*unreported).max(Some(position));
    }

    /// Sets the time until which all writes that other processes of this proxy answered are recorded; `None`
    /// if there is no other process. While this time is too long ago, session reads have to see everything
    /// that was committed before their arrival.
    pub fn set_remote_writes_recorded_until(&mut self, until: Option<Micros>) {
        self.session_positions.remote_writes_recorded_until = until;
    }
}
