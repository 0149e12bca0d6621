//! Required positions: the log position that a server must have reached to serve a read.

use super::Router;
use super::pending::PendingRequest;
use crate::interface::{Consistency, Micros, Request, RequestId, SessionId, SessionPositionSource};
use std::collections::BTreeMap;

/// Maximum number of sessions whose positions are stored individually.
const MAX_SESSIONS: usize = 65_536;

/// Commit positions of the last write of each session, used if requests do not carry them.
#[derive(Default)]
pub(super) struct SessionPositions {
    by_session: BTreeMap<SessionId, Micros>,
    /// Highest position of the evicted sessions, which is used for each of them. Replicas reach it within
    /// moments.
    evicted: Option<Micros>,
}

impl SessionPositions {
    /// Position of the last write of a session. For an unknown session, the highest position of the evicted
    /// sessions.
    fn get(&self, session: Option<SessionId>) -> Option<Micros> {
        let position = session.and_then(|session| self.by_session.get(&session).copied());
        position.or(self.evicted)
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
            SessionPositionSource::FromObservedWrites => self.session_positions.get(request.session),
        }
    }

    /// Records the commit position of a write, unless requests carry the positions.
    pub(super) fn record_session_write(&mut self, session: SessionId, commit_position: Micros) {
        if self.settings.session_positions == SessionPositionSource::FromObservedWrites {
            self.session_positions.record(session, commit_position);
        }
    }
}
