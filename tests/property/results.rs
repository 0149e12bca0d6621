//! How attempts and health checks end, drawn from numbers.

use super::*;

impl Checker {
    /// An attempt ends with this outcome; what the server states is drawn from `y`.
    pub(crate) fn complete_attempt(&mut self, id: u64, attempt: usize, outcome: AttemptOutcome, y: u32) {
        let now = self.now;
        let status = draw_status(outcome, now, y);
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
            attempt: AttemptNo(attempt as u16),
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

    /// A health check ends, with a load report of its server.
    pub(crate) fn complete_health_check(&mut self, x: u32, y: u32) {
        let report = LoadReport {
            position: Some(self.now - Micros::from(y % 900) * MILLISECOND),
            role: Some(if y & 1 == 0 { Role::Primary } else { Role::Replica }),
        };
        let outcome = OUTCOMES[x as usize % OUTCOMES.len()];
        let server_id = 1 + x % 7;
        if outcome == AttemptOutcome::Ok
            && let Some(server) = self.servers.get_mut(&server_id)
        {
            server.position = server.position.max(report.position);
            // It claims to have been primary up to its position, which the router may believe.
            server.is_primary |= report.role == Some(Role::Primary);
        }
        self.handle(Event::HealthCheckCompleted {
            server: ServerId(server_id),
            outcome,
            load_report: Some(report),
        });
    }
}

/// The status that a server states, if it responded.
fn draw_status(outcome: AttemptOutcome, now: Micros, y: u32) -> Option<ServerStatus> {
    let is_response = matches!(
        outcome,
        AttemptOutcome::Ok | AttemptOutcome::Ineligible | AttemptOutcome::Overloaded | AttemptOutcome::Error
    );
    let role = if y & 1 == 0 { Role::Primary } else { Role::Replica };
    let position = (y & 2 == 0).then_some(now - Micros::from(y >> 3 & 1023) * MILLISECOND);
    (is_response && y & 4 == 0).then_some(ServerStatus { role, position })
}
