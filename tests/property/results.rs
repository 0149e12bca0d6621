//! Completes attempts and health checks with results derived from random numbers.

use super::*;
use draws::draw_status;

impl Checker {
    /// Completes an attempt with the given outcome. The status in the response is derived from `number`.
    pub(crate) fn complete_attempt(&mut self, id: u64, attempt: usize, outcome: AttemptOutcome, number: u32) {
        let now = self.now;
        let status = draw_status(outcome, now, number);
        let request = self.requests.get_mut(&id).unwrap();
        let tracked = &mut request.attempts[attempt];
        tracked.outcome = Some(outcome);
        let (server, elapsed) = (tracked.server, now - tracked.sent_at);
        if outcome == AttemptOutcome::Ok && !request.finished {
            assert!(now <= request.deadline);
            request.finished = true;
        }
        let (class, session, request_finished) = (request.class, request.session, request.finished);
        if let Some(status) = status {
            let server = self.servers.get_mut(&server).unwrap();
            server.is_primary = status.role == Role::Primary;
            server.position = server.position.max(status.position);
        }
        self.handle(Event::AttemptCompleted(AttemptResult {
            request: RequestId(id),
            attempt: AttemptNumber(attempt as u16),
            server: ServerId(server),
            outcome,
            elapsed,
            request_finished,
            status,
            load_report: None,
        }));
        let is_write = self.settings.classes[class].consistency == Consistency::Write;
        let committed_at = status.and_then(|status| status.position);
        if let (true, AttemptOutcome::Ok, Some(at), Some(session)) =
            (is_write, outcome, committed_at, session)
        {
            let newest = self.session_positions.entry(session).or_insert(at);
            *newest = at.max(*newest);
        }
    }

    /// Completes a health check with a load report. `first` determines the server and the outcome, `second`
    /// the contents of the report.
    pub(crate) fn complete_health_check(&mut self, first: u32, second: u32) {
        let report = LoadReport {
            position: Some(self.now - Micros::from(second % 900) * MILLISECOND),
            role: Some(if second & 1 == 0 { Role::Primary } else { Role::Replica }),
        };
        let outcome = OUTCOMES[first as usize % OUTCOMES.len()];
        let server_id = 1 + first % 7;
        if outcome == AttemptOutcome::Ok
            && let Some(server) = self.servers.get_mut(&server_id)
        {
            server.position = server.position.max(report.position);
            // The server reports that it was the primary up to its position. The router may rely on this.
            server.is_primary |= report.role == Some(Role::Primary);
        }
        self.handle(Event::HealthCheckCompleted {
            server: ServerId(server_id),
            outcome,
            load_report: Some(report),
        });
    }
}
