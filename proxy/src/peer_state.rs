//! Peer state in the proxy: translates this proxy's observations of servers into the facts of the crate `birchreach-peer-state`,
//! and the facts of other proxies into positions and role checks for the router. The crate decides what a fact may be used for; no
//! write is sent because of one.

#[cfg(test)]
mod tests;

use crate::observe::{CoreEvent, Observer};
use crate::reply::Reply;
use birchreach::{LoadReport, Micros};
use birchreach_peer_state::{
    ObservationSource, PeerState, Role, ServerIncarnation, TransferPart, TransferredServer, advice,
};
use std::collections::HashMap;

/// An older position is not reported to the router, which measures the lag of a replica from the time at which a position is
/// reported, and would avoid the replica for a while.
const MAX_POSITION_AGE_MICROS: Micros = 5_000_000;
/// A server whose observation as primary is trusted less than this is not checked.
const MIN_TRUST: f64 = 0.05;

/// This proxy's peer state, kept up to date from the core's events.
pub(crate) struct PeerStateObserver {
    /// The facts.
    pub state: PeerState,
    /// The last position of each server that was reported to the router.
    reported_positions: HashMap<String, Micros>,
}

/// A position of a server that another proxy observed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RemotePosition {
    /// The server.
    pub uid: String,
    /// Its position.
    pub report: LoadReport,
}

/// What the router may use of another proxy's state.
#[derive(Debug, Default)]
pub(crate) struct PeerHints {
    /// Positions of servers on the endpoint list.
    pub positions: Vec<RemotePosition>,
    /// Servers whose role should be checked, as each may be its group's primary.
    pub primary_candidates: Vec<String>,
}

impl PeerStateObserver {
    /// Nothing is known. `observer` is random and identifies this process.
    pub(crate) fn new(observer: u64) -> PeerStateObserver {
        PeerStateObserver { state: PeerState::new(observer), reported_positions: HashMap::new() }
    }

    /// Records the status that a server reported, with an answer or a load report.
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

    /// Records a position, if there is one, and its lag.
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

    /// Merges a part of another proxy's state, which was requested at this time.
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

    /// A recent position that another proxy observed, if it is later than those reported to the router.
    fn new_position(&mut self, now: Micros, uid: &str) -> Option<RemotePosition> {
        let seen = advice::position(&self.state, uid)?;
        let is_recent_and_remote = seen.hop_count > 0 && seen.age(now) <= MAX_POSITION_AGE_MICROS;
        let is_later = self.reported_positions.get(uid).is_none_or(|before| *before < seen.value);
        if !is_recent_and_remote || !is_later {
            return None;
        }
        self.reported_positions.insert(uid.into(), seen.value);
        let report = LoadReport { position: Some(seen.value), role: None };
        Some(RemotePosition { uid: uid.into(), report })
    }

    /// The groups of those servers that have facts, each once.
    fn groups_of(&self, servers: &[TransferredServer]) -> Vec<u32> {
        let mut groups = Vec::new();
        for facts in servers.iter().filter_map(|server| self.state.facts(&server.uid)) {
            if !groups.contains(&facts.group) {
                groups.push(facts.group);
            }
        }
        groups
    }

    /// The most likely primary of a group, unless this proxy has observed it itself or trust is too low.
    fn primary_candidate(&self, now: Micros, group: u32) -> Option<String> {
        let first = advice::primary_candidates(&self.state, group, now).into_iter().next()?;
        (first.observation.hop_count > 0 && first.trust >= MIN_TRUST).then_some(first.uid)
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

/// The role as the crate defines it.
fn to_peer_role(role: birchreach::Role) -> Role {
    match role {
        birchreach::Role::Primary => Role::Primary,
        birchreach::Role::Replica => Role::Replica,
    }
}
