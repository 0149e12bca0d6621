//! Execution of the router's actions, which become commands for the event loop.

use super::{Answer, AttemptId, Command, Core, InFlightAttempt, LogRecord, RequestPayload, RoutingTimerId};
use crate::observe::CoreEvent;
use crate::units::MICROS_PER_MILLI;
use birchreach::{Action, AttemptNumber, Micros, RequestId, ServerId};

/// Minimum delay of a timer. Without it, a timer that the router sets again on each expiry could cause an endless loop.
const MIN_TIMER_DELAY_MICROS: Micros = 1;

impl<P: RequestPayload> Core<P> {
    /// Executes the actions that the router returned.
    pub(super) fn execute_actions(&mut self, now: Micros) {
        for action in std::mem::take(&mut self.actions) {
            self.execute_action(now, action);
        }
    }

    fn execute_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.start_attempt(now, request, server, timeout),
            Action::Reject { request, retry_after } => {
                let retry_after_ms =
                    retry_after.and_then(|delay| u64::try_from(delay / MICROS_PER_MILLI).ok());
                self.answer(now, request, Answer::Rejected { retry_after_ms });
            }
            Action::Fail { request } => self.answer(now, request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId { request, number: attempt };
                self.commands.push_back(Command::CancelAttempt { attempt });
            }
            Action::HealthCheck { server } => self.start_health_check(now, server),
            Action::Timer { id, delay } => {
                let at = now + delay.max(MIN_TIMER_DELAY_MICROS);
                self.commands.push_back(Command::SetTimer { id: RoutingTimerId(id), at });
            }
            // Nothing to do: the event loop watches the endpoint list at all times.
            Action::WatchEndpoints => {}
            Action::Log(message) => {
                self.commands.push_back(Command::Log(LogRecord::RouterMessage(message)));
            }
        }
    }

    /// Records an attempt and commands the event loop to send it.
    fn start_attempt(&mut self, now: Micros, request: RequestId, server: ServerId, timeout: Micros) {
        let Some(pending) = self.requests.get_mut(&request) else { return };
        let attempt = AttemptId { request, number: AttemptNumber(pending.attempts_started) };
        pending.attempts_started += 1;
        pending.attempts_in_flight += 1;
        let from_copy = pending.copy_holders.contains(&server);
        let (class, session) = (pending.class, pending.session);
        let in_flight = InFlightAttempt { server, class, session, sent_at: now, from_copy };
        let payload = pending.payload.clone();
        self.observers.notify(now, CoreEvent::AttemptSent { server });
        self.in_flight.insert(attempt, in_flight);
        self.commands.push_back(Command::StartAttempt {
            attempt,
            server,
            payload,
            deadline: now + timeout,
            from_copy,
        });
    }
}
