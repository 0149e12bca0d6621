//! Health checks: at most one is in flight for each server.

use super::Router;
use crate::interface::{Action, AttemptOutcome, LoadReport, Micros, ServerId};

/// State of the health checks of a server.
#[derive(Default)]
pub(super) struct HealthCheckState {
    /// When the check in flight was requested.
    sent_at: Option<Micros>,
    /// Time of the last check if it failed. Requests may succeed nevertheless.
    failed_at: Option<Micros>,
}

impl HealthCheckState {
    pub(super) fn is_in_flight(&self) -> bool {
        self.sent_at.is_some()
    }

    /// Whether the last check failed.
    pub(super) fn has_failed(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Whether the last check failed, and ended at this time or later.
    pub(super) fn has_failed_since(&self, at: Micros) -> bool {
        self.failed_at >= Some(at)
    }

    fn record_outcome(&mut self, outcome: AttemptOutcome, now: Micros) {
        self.sent_at = None;
        let has_failed = !matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::NotSent);
        self.failed_at = has_failed.then_some(now);
    }
}

impl Router {
    /// Requests a health check of a server, unless one is in flight.
    pub(super) fn start_health_check(&mut self, id: ServerId, actions: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if server.health_check.sent_at.is_none() {
            server.health_check.sent_at = Some(self.now);
            actions.push(Action::HealthCheck { server: id });
        }
    }

    /// Handles the result of a health check, and retries queued requests, since the reported position may
    /// allow reads. Cost: O(members of the group).
    pub(super) fn on_health_check_completed(
        &mut self,
        id: ServerId,
        outcome: AttemptOutcome,
        load_report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        // Positions that another proxy reports come without a check.
        let sent_at = server.health_check.sent_at.unwrap_or(self.now);
        server.health_check.record_outcome(outcome, self.now);
        // A server that hangs may still respond to health checks. If hedging is allowed, only responses to
        // requests show that the server is alive.
        if !self.settings.hedging_allowed && is_response(outcome) {
            server.outlier.record_response(self.now);
        }
        let group = server.endpoint.listed().group;
        if let Some(report) = load_report.filter(|_| outcome == AttemptOutcome::Ok) {
            self.record_load_report(id, report, sent_at);
        }
        self.retry_queued(group, actions);
    }
}

/// Whether the outcome is a response of the server.
fn is_response(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{Error, Ineligible, Ok, Overloaded};
    matches!(outcome, Ok | Error | Overloaded | Ineligible)
}
