//! Which log position a server must have reached to serve a read.

use super::Router;
use super::pending::PendingRequest;
use crate::interface::{Consistency, Micros, Request, RequestId, SessionId, SessionPositionSource};
use std::collections::BTreeMap;

/// Sessions whose positions are kept apart.
const MAX_SESSIONS: usize = 65_536;

/// Commit positions of the sessions' last writes, where requests do not carry them.
#[derive(Default)]
pub(super) struct SessionPositions {
    by_session: BTreeMap<SessionId, Micros>,
    /// The highest position among the sessions that were evicted. It stands in for each of them: replicas
    /// pass it within moments.
    evicted: Option<Micros>,
}

impl SessionPositions {
    /// The position of a session's last write; for an unknown session, that of the evicted ones.
    fn get(&self, session: Option<SessionId>) -> Option<Micros> {
        let position = session.and_then(|session| self.by_session.get(&session).copied());
        position.or(self.evicted)
    }

    /// Records a write of a session. With too many sessions all are evicted.
    fn record(&mut self, session: SessionId, commit_position: Micros) {
        let newest = self.by_session.entry(session).or_insert(commit_position);
        *newest = commit_position.max(*newest);
        if self.by_session.len() > MAX_SESSIONS {
            self.evicted = self.by_session.values().copied().max();
            self.by_session.clear();
        }
    }
}

impl Router {
    /// The position that a server must have reached to serve the request at this time, if it matters.
    pub(super) fn required_position(&self, request: &PendingRequest, now: Micros) -> Option<Micros> {
        match self.class_of(request).consistency {
            Consistency::Any => None,
            Consistency::Write | Consistency::Strong => Some(Micros::MAX),
            Consistency::BoundedStaleness(max_age) => Some(now - max_age),
            Consistency::Session => request.required_session_position,
        }
    }

    /// The position that a copy must have reached to answer a pending read, if it matters.
    pub fn required_copy_position(&self, now: Micros, request_id: RequestId) -> Option<Micros> {
        self.required_position(self.pending.get(&request_id)?, now.max(self.now))
    }

    /// The position of the last write of the request's session, for a session read.
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

    /// Records the commit position of a write, where requests do not carry it.
    pub(super) fn record_session_write(&mut self, session: SessionId, commit_position: Micros) {
        if self.settings.session_positions == SessionPositionSource::FromObservedWrites {
            self.session_positions.record(session, commit_position);
        }
    }
}
