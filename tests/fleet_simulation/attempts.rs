//! Actions of the routers, and the completion of attempts and health checks.

use super::events::{AttemptKey, RequestKey, SimulationEvent};
use super::servers::{Admission, log_position, role};
use super::{FleetSimulation, NETWORK_DELAY_MICROS, OpenAttempt};
use birchreach::{
    Action, AttemptNumber, AttemptOutcome, AttemptResult, Event, LoadReport, Micros, RequestId, ServerId,
    ServerStatus,
};

/// Time after which a health check without a response times out.
const HEALTH_CHECK_TIMEOUT_MICROS: Micros = 500_000;

impl FleetSimulation {
    /// Carries out the actions of a router.
    pub(super) fn execute(&mut self, router: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, timeout } => self.send(router, request, server.0, timeout),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.pending.remove(&RequestKey { router, request: request.0 });
                }
                Action::Cancel { request, attempt } => {
                    let request = RequestKey { router, request: request.0 };
                    let attempt = AttemptKey { request, number: attempt.0 };
                    self.end_attempt_after(0, attempt, AttemptOutcome::Cancelled);
                }
                Action::HealthCheck { server } => self.start_health_check(router, server.0),
                Action::Timer { delay, .. } => {
                    self.schedule(delay.max(1), SimulationEvent::RouterTimer { router });
                }
                Action::WatchEndpoints | Action::Log(_) => {}
            }
        }
    }

    /// Sends the next attempt of a request to a server and schedules its timeout.
    fn send(&mut self, router: usize, request: RequestId, server: u32, timeout: Micros) {
        let request = RequestKey { router, request: request.0 };
        let pending = self.pending.get_mut(&request).expect("an attempt is only sent for a pending request");
        let attempt = AttemptKey { request, number: pending.attempt_count };
        pending.attempt_count += 1;
        self.open_attempts.insert(attempt, OpenAttempt { server, sent_at: self.now });
        self.schedule(NETWORK_DELAY_MICROS, SimulationEvent::AttemptArrives(attempt));
        self.end_attempt_after(timeout, attempt, AttemptOutcome::Timeout);
    }

    /// Schedules the end of an attempt. The event has no effect if the attempt has ended by then.
    fn end_attempt_after(&mut self, delay: Micros, attempt: AttemptKey, outcome: AttemptOutcome) {
        self.schedule(delay, SimulationEvent::AttemptDone { attempt, outcome });
    }

    /// Handles the arrival of an attempt at its server.
    pub(super) fn admit_attempt(&mut self, attempt: AttemptKey) {
        let Some(open) = self.open_attempts.get(&attempt) else { return };
        let admission = self.servers[open.server as usize].admit(self.now, &mut self.rng);
        let (delay, outcome) = match admission {
            Admission::Runs { done_at } => (done_at - self.now, AttemptOutcome::Ok),
            Admission::Rejected => (0, AttemptOutcome::Overloaded),
            Admission::Refused => (0, AttemptOutcome::ConnectFailed),
            Admission::Unanswered => return,
        };
        self.end_attempt_after(delay + NETWORK_DELAY_MICROS, attempt, outcome);
    }

    /// Ends an attempt, unless it has already ended. A successful attempt also serves its request.
    pub(super) fn finish_attempt(&mut self, attempt: AttemptKey, outcome: AttemptOutcome) {
        let Some(open) = self.open_attempts.remove(&attempt) else { return };
        if outcome == AttemptOutcome::Ok {
            self.answer_client(attempt.request);
        }
        let position = Some(log_position(open.server, self.now));
        let status = ServerStatus { role: role(open.server), position };
        let result = AttemptResult {
            request: RequestId(attempt.request.request),
            attempt: AttemptNumber(attempt.number),
            server: ServerId(open.server),
            outcome,
            elapsed: self.now - open.sent_at,
            request_finished: !self.pending.contains_key(&attempt.request),
            status: (outcome == AttemptOutcome::Ok).then_some(status),
            load_report: None,
        };
        self.handle_router_event(attempt.request.router, Event::AttemptCompleted(result));
    }

    /// Counts a request as served, unless it already has a final response.
    fn answer_client(&mut self, request: RequestKey) {
        let Some(pending) = self.pending.remove(&request) else { return };
        let class = &self.settings.classes[usize::from(pending.class.0)];
        let elapsed = self.now - pending.received_at;
        if elapsed <= class.latency_objective {
            self.served.in_time += 1;
        } else {
            self.served.late += 1;
        }
    }

    /// Stops a server and resets its connections.
    pub(super) fn stop_server(&mut self, server: u32) {
        self.servers[server as usize].stop();
        let at_server = self.open_attempts.iter().filter(|(_, open)| open.server == server);
        let mut attempts: Vec<AttemptKey> = at_server.map(|(attempt, _)| *attempt).collect();
        attempts.sort_unstable_by_key(|attempt| (attempt.request.request, attempt.number));
        for attempt in attempts {
            self.end_attempt_after(NETWORK_DELAY_MICROS, attempt, AttemptOutcome::ConnectionReset);
        }
    }

    /// Schedules the end of a health check. The check times out if the server does not respond.
    fn start_health_check(&mut self, router: usize, server: u32) {
        let is_answering = self.servers[server as usize].is_answering(self.now);
        let delay = if is_answering { 2 * NETWORK_DELAY_MICROS } else { HEALTH_CHECK_TIMEOUT_MICROS };
        self.schedule(delay, SimulationEvent::HealthCheckDone { router, server });
    }

    /// Ends a health check. Its result contains a load report if the server responds.
    pub(super) fn finish_health_check(&mut self, router: usize, server: u32) {
        let is_answering = self.servers[server as usize].is_answering(self.now);
        let position = Some(log_position(server, self.now));
        let report = LoadReport { position, role: Some(role(server)) };
        let outcome = if is_answering { AttemptOutcome::Ok } else { AttemptOutcome::Timeout };
        let load_report = is_answering.then_some(report);
        self.handle_router_event(
            router,
            Event::HealthCheckCompleted { server: ServerId(server), outcome, load_report },
        );
    }
}
