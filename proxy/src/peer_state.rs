//! Adapter between the core and the crate `birchreach-peer-state`. It translates this proxy's observations of servers into facts,
//! and the facts of other proxies into positions and role checks for the router.
//!
//! The crate decides what a fact may be used for. No write is sent because of a fact.

#[cfg(test)]
mod tests;

use crate::observe::{CoreEvent, Observer};
use crate::reply::Reply;
use birchreach::{LoadReport, Micros};
use birchreach_peer_state::{
    ObservationSource, PeerState, Role, ServerIncarnation, TransferPart, TransferredServer, advice,
};
use std::collections::HashMap;

/// Maximum age of a position that is reported to the router. The router measures the lag of a replica from the time at which a
/// position is reported. An older position would make the router avoid the replica for a while.
const MAX_POSITION_AGE_MICROS: Micros = 5_000_000;
/// Minimum trust in the observation of a primary. A server with less trust is not checked.
const MIN_TRUST: f64 = 0.05;

/// This proxy's peer state, kept up to date from the core's events.
pub(crate) struct PeerStateObserver {
    /// The facts that are known about servers.
    pub state: PeerState,
    /// Last position of each server that was reported to the router, by the name of the server.
    reported_positions: HashMap<String, Micros>,
}

/// The position of a server, as another proxy observed it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RemotePosition {
    /// Name of the server in the endpoint list.
    pub uid: String,
    /// Load report that contains only the position.
    pub report: LoadReport,
}

/// Hints for the router from the state of another proxy.
#[derive(Debug, Default)]
pub(crate) struct PeerHints {
    /// Positions of servers in the endpoint list.
    pub positions: Vec<RemotePosition>,
    /// Names of servers whose role should be checked, because each may be the primary of its group.
    pub primary_candidates: Vec<String>,
}

impl PeerStateObserver {
    /// Creates an observer without facts. `observer` is a random number that identifies this process.
    pub(crate) fn new(observer: u64) -> PeerStateObserver {
        PeerStateObserver { state: PeerState::new(observer), reported_positions: HashMap::new() }
    }

    /// Records the role, the position and the health of a server, as its reply shows them.
    fn record_reply(&mut self, now: Micros, uid: &str, reply: &Reply) {
        if let Some(status) = reply.status {
            let source = ObservationSource::ServerStatus;
            self.state.record_role(now, uid, to_peer_role(status.role), source);
            self.record_position(now, uid, status.position, source);
        }
        if let Some(report) = reply.load_report {
            let source = ObservationSource::LoadReport;
            if let Some(role) = report.role {
                self.state.record_role(now, uid, to_peer_role(role), source);
            }
            self.record_position(now, uid, report.position, source);
        }
        let has_answered = reply.status.is_some() || reply.load_report.is_some();
        if has_answered || reply.connection_refused {
            self.state.record_health(now, uid, reply.connection_refused);
        }
    }

    /// Records the position of a server and its lag. Does nothing if there is no position.
    fn record_position(
        &mut self,
        now: Micros,
        uid: &str,
        position: Option<Micros>,
        source: ObservationSource,
    ) {
        if let Some(position) = position {
            let lag = (now - position).max(0);
            self.state.record_position(now, uid, position, lag, source);
        }
    }

    /// Merges a part of another proxy's state, and returns the hints that follow from it. `requested_at` is the time at which the
    /// part was requested.
    pub(crate) fn apply_transfer(
        &mut self,
        now: Micros,
        requested_at: Micros,
        part: &TransferPart,
    ) -> PeerHints {
        self.state.apply_transfer(requested_at, part);
        let positions =
            part.servers.iter().filter_map(|server| self.new_position(now, &server.uid)).collect();
        let primary_candidates = self
            .groups_of(&part.servers)
            .into_iter()
            .filter_map(|group| self.primary_candidate(now, group))
            .collect();
        let state = &self.state;
        self.reported_positions.retain(|uid, _| state.facts(uid).is_some());
        PeerHints { positions, primary_candidates }
    }

    /// Returns the position of a server if another proxy observed it, if it is recent, and if it is later than the positions that
    /// were already reported to the router.
    fn new_position(&mut self, now: Micros, uid: &str) -> Option<RemotePosition> {
        let observation = advice::position(&self.state, uid)?;
        let is_recent_and_remote =
            observation.hop_count > 0 && observation.age(now) <= MAX_POSITION_AGE_MICROS;
        let is_later = self.reported_positions.get(uid).is_none_or(|reported| *reported < observation.value);
        if !is_recent_and_remote || !is_later {
            return None;
        }
        self.reported_positions.insert(uid.into(), observation.value);
        let report = LoadReport { position: Some(observation.value), role: None };
        Some(RemotePosition { uid: uid.into(), report })
    }

    /// Returns the groups of those servers that have facts, without duplicates.
    fn groups_of(&self, servers: &[TransferredServer]) -> Vec<u32> {
        let mut groups = Vec::new();
        for facts in servers.iter().filter_map(|server| self.state.facts(&server.uid)) {
            if !groups.contains(&facts.group) {
                groups.push(facts.group);
            }
        }
        groups
    }

    /// Returns the most likely primary of a group. Returns `None` if this proxy has observed the role of this server itself, or
    /// if the trust is too low.
    fn primary_candidate(&self, now: Micros, group: u32) -> Option<String> {
        let candidate = advice::primary_candidates(&self.state, group, now).into_iter().next()?;
        (candidate.observation.hop_count > 0 && candidate.trust >= MIN_TRUST).then_some(candidate.uid)
    }
}

impl Observer for PeerStateObserver {
    fn on_event(&mut self, now: Micros, event: CoreEvent<'_>) {
        match event {
            CoreEvent::Listed { uid, group, started_ms, .. } => {
                self.state.add_listed_server(uid, ServerIncarnation { started_ms, group: group.0 });
            }
            CoreEvent::Unlisted { uid, .. } => self.state.remove_listed_server(uid),
            CoreEvent::AttemptEnded { uid, reply, .. } => self.record_reply(now, uid, reply),
            _ => {}
        }
    }
}

/// Converts a role of the router to a role of the crate.
fn to_peer_role(role: birchreach::Role) -> Role {
    match role {
        birchreach::Role::Primary => Role::Primary,
        birchreach::Role::Replica => Role::Replica,
    }
}
