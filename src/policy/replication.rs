//! Replication state: the confirmed role and log position of each server.
//!
//! A server writes a report at some time between the sending of the query and the arrival of the report. If
//! the order of two reports is not certain, the server counts as a replica. If it were wrongly taken for the
//! primary, its data could be too old; a write that a primary is wrongly not sent goes to each member in
//! turn, and its answer confirms the primary again. So a report as primary counts from its earliest possible
//! time, and a report as replica from its latest. A position is reached for good, whenever it was reported.

use super::Router;
use super::servers::Server;
use crate::interface::{GroupId, LoadReport, Micros, Role, ServerId, ServerStatus};

/// Time for which a replica counts as lagging after a report that shows too large a lag.
const LAG_RECHECK_INTERVAL: Micros = 500_000;

/// Role and log position of a server, according to its responses and load reports.
#[derive(Default)]
pub(super) struct ReplicationState {
    position: Option<Micros>,
    /// Time between the position and `lag_observed_at`.
    lag: Micros,
    /// Time at which the position was last reported.
    lag_observed_at: Option<Micros>,
    /// Latest time at which the server is known to have been primary.
    primary_confirmed_at: Option<Micros>,
    /// Latest time at which the server is known to have been a replica.
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

    /// Whether the server is known to have reached the required position. `None` requires no position.
    pub(super) fn has_reached(&self, required: Option<Micros>) -> bool {
        required.is_none_or(|required| self.position >= Some(required))
    }

    /// Whether the replica counts as lagging: its last report shows too large a lag for the required position
    /// and is at most [`LAG_RECHECK_INTERVAL`] old. `None` requires no position.
    pub(super) fn is_lagging(&self, required: Option<Micros>, now: Micros) -> bool {
        let was_behind = required.is_some_and(|required| required > now - self.lag);
        was_behind && self.lag_observed_at >= Some(now - LAG_RECHECK_INTERVAL)
    }

    /// The role that was last confirmed, and when; `None` if none was confirmed.
    fn confirmed_role(&self) -> Option<(Role, Micros)> {
        match (self.primary_confirmed_at, self.replica_confirmed_at) {
            (Some(primary_at), replica_at) if replica_at < Some(primary_at) => {
                Some((Role::Primary, primary_at))
            }
            (_, replica_at) => replica_at.map(|at| (Role::Replica, at)),
        }
    }

    /// Whether the server is primary, as confirmed by its reports. The endpoint list decides until the first
    /// report of a role.
    fn is_primary(&self, listed_as_primary: bool) -> bool {
        let is_confirmed = self.primary_confirmed_at > self.replica_confirmed_at;
        is_confirmed || (listed_as_primary && self.replica_confirmed_at.is_none())
    }

    /// Records a reported position. Ignores a position below the last one, which is outdated or invalid. A
    /// position in the future counts as the current time.
    fn record_position(&mut self, position: Micros, now: Micros) {
        let position = position.min(now);
        if self.position <= Some(position) {
            self.position = Some(position);
            self.lag = now - position;
            self.lag_observed_at = Some(now);
        }
    }

    /// Records the role that the server had at this time.
    fn record_role(&mut self, role: Role, confirmed_at: Micros) {
        let last_confirmed_at = match role {
            Role::Primary => &mut self.primary_confirmed_at,
            Role::Replica => &mut self.replica_confirmed_at,
        };
        *last_confirmed_at = (*last_confirmed_at).max(Some(confirmed_at));
    }
}

impl Server {
    /// Records that the server was primary at this time, unless that was before its present process was
    /// listed.
    fn record_primary(&mut self, confirmed_at: Micros) {
        if self.process_listed_at <= Some(confirmed_at) {
            self.replication.record_role(Role::Primary, confirmed_at);
        }
    }
}

impl Router {
    /// The member that was last confirmed as primary. If there is none, the member that is listed as primary.
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

    /// The role of a server that was last confirmed, and when; `None` if the server is unknown or has
    /// confirmed no role.
    pub fn confirmed_role(&self, id: ServerId) -> Option<(Role, Micros)> {
        self.servers.get(&id)?.replication.confirmed_role()
    }

    /// Records a role that a server confirmed to another process of this proxy at this time. Ignores a
    /// primary whose process has been restarted since.
    pub fn record_remote_role(&mut self, now: Micros, id: ServerId, role: Role, confirmed_at: Micros) {
        let now = now.max(self.now);
        let Some(server) = self.servers.get_mut(&id) else { return };
        let was_restarted = server.endpoint.listed().started_at > Some(confirmed_at);
        if role == Role::Replica || !was_restarted {
            server.replication.record_role(role, confirmed_at.min(now));
        }
    }

    /// Records the role and position that a server reports in the response to a query that was sent at
    /// `sent_at`.
    pub(super) fn record_status(&mut self, id: ServerId, status: ServerStatus, sent_at: Micros) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(position) = status.position {
            server.replication.record_position(position, self.now);
        }
        match status.role {
            Role::Primary => server.record_primary(sent_at),
            Role::Replica => server.replication.record_role(Role::Replica, self.now),
        }
    }

    /// Records a load report in the response to a query that was sent at `sent_at`. The report may be
    /// slightly outdated: the position of a primary is the time of the report. A load report never confirms a
    /// server as replica.
    pub(super) fn record_load_report(&mut self, id: ServerId, report: LoadReport, sent_at: Micros) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some(position) = report.position else { return };
        server.replication.record_position(position, self.now);
        if report.role == Some(Role::Primary) {
            server.record_primary(position.min(sent_at));
        }
    }
}
