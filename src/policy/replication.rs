//! Replication state: the proven role and log position of each server.

use super::Router;
use crate::interface::{GroupId, LoadReport, Micros, Role, ServerId, ServerStatus};

/// How long a replica that was too far behind is not considered again.
const LAG_RECHECK_INTERVAL: Micros = 500_000;

/// Role and log position of a server, as far as its statements prove them.
#[derive(Default)]
pub(super) struct ReplicationState {
    position: Option<Micros>,
    /// How far behind the present the position was when it was last reported, and when that was.
    lag: Micros,
    lag_observed_at: Option<Micros>,
    /// The last time at which the server is proven to have been primary, and replica.
    primary_confirmed_at: Option<Micros>,
    replica_confirmed_at: Option<Micros>,
}

impl ReplicationState {
    pub(super) fn reset_for_new_process(&mut self) {
        self.primary_confirmed_at = None;
    }

    pub(super) fn position(&self) -> Option<Micros> {
        self.position
    }

    pub(super) fn lag(&self) -> Micros {
        self.lag
    }

    /// Whether it has reached the required position, if one is required.
    pub(super) fn has_reached(&self, required: Option<Micros>) -> bool {
        required.is_none_or(|required| self.position >= Some(required))
    }

    /// Whether it was too far behind for this position when it was last heard of, a moment ago.
    pub(super) fn is_lagging(&self, required: Option<Micros>, now: Micros) -> bool {
        let was_behind = required.is_some_and(|required| required > now - self.lag);
        was_behind && self.lag_observed_at >= Some(now - LAG_RECHECK_INTERVAL)
    }

    /// Whether it is primary: by proof, or by the endpoint list as long as nothing disproves that.
    fn is_primary(&self, listed_as_primary: bool) -> bool {
        let is_proven = self.primary_confirmed_at > self.replica_confirmed_at;
        is_proven || (listed_as_primary && self.replica_confirmed_at.is_none())
    }

    /// Records a position. One that goes back is outdated or invalid, one in the future proves the present
    /// alone.
    fn record_position(&mut self, position: Micros, now: Micros) {
        let position = position.min(now);
        if self.position <= Some(position) {
            self.position = Some(position);
            self.lag = now - position;
            self.lag_observed_at = Some(now);
        }
    }

    /// Records a role that the server had at this time.
    fn record_role(&mut self, role: Role, confirmed_at: Micros) {
        let last_confirmed_at = match role {
            Role::Primary => &mut self.primary_confirmed_at,
            Role::Replica => &mut self.replica_confirmed_at,
        };
        *last_confirmed_at = (*last_confirmed_at).max(Some(confirmed_at));
    }
}

impl Router {
    /// The member that was last proven to be primary; without any proof, the one that is listed as primary.
    pub(super) fn primary(&self, group: GroupId) -> Option<ServerId> {
        let members = &self.groups.get(group)?.members;
        let rank = |id: &ServerId| {
            let server = self.accepting_server(*id)?;
            let replication = &server.replication;
            let is_primary = replication.is_primary(server.endpoint.listed().primary);
            is_primary.then_some((replication.primary_confirmed_at, !server.outlier.is_unresponsive(), *id))
        };
        members.iter().filter_map(rank).max().map(|(_, _, id)| id)
    }

    /// Records the role and position that a server states in a response.
    pub(super) fn record_status(&mut self, id: ServerId, status: ServerStatus) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(position) = status.position {
            server.replication.record_position(position, self.now);
        }
        server.replication.record_role(status.role, self.now);
    }

    /// Records a load report, which may be slightly old. The position of a primary is the time of the report:
    /// from that time on, a newer statement that the server is no primary holds. A report proves no replica.
    pub(super) fn record_load_report(&mut self, id: ServerId, report: LoadReport) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some(position) = report.position else { return };
        server.replication.record_position(position, self.now);
        if report.role == Some(Role::Primary) {
            server.replication.record_role(Role::Primary, position.min(self.now));
        }
    }
}
