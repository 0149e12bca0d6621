//! Attempts, from their start to the result that is reported to the router and to the observers.

use super::{
    Answer, AttemptId, Command, Core, InFlightAttempt, MAX_CLOCK_SKEW_MICROS, RequestPayload,
    StreamedResponse,
};
use crate::observe::CoreEvent;
use crate::reply::Reply;
use birchreach::{
    AttemptOutcome, AttemptResult, Event, LoadReport, Micros, RequestId, ServerId, ServerStatus,
};

impl<P: RequestPayload> Core<P> {
    /// Returns the number of attempts without a result.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether an attempt may still be sent. The endpoint list may have changed while the connection was being
    /// established.
    pub(crate) fn may_still_send(&self, now: Micros, attempt: AttemptId) -> bool {
        self.router.may_still_send(now, attempt.request, attempt.number)
    }

    /// Handles the first bytes of a response that is not forwarded before all of it has arrived.
    pub(crate) fn response_arriving(&mut self, now: Micros, attempt: AttemptId) {
        let Some(in_flight) = self.in_flight.get(&attempt) else { return };
        self.observers.notify(now, CoreEvent::ServerAlive { server: in_flight.server });
        self.handle(now, Event::ResponseArriving { request: attempt.request, attempt: attempt.number });
    }

    /// Handles the start of a long response. Returns false if the request is no longer pending, or if the response of another
    /// attempt is already being streamed.
    pub(crate) fn response_started(&mut self, now: Micros, attempt: AttemptId, length: usize) -> bool {
        let AttemptId { request, number } = attempt;
        let pending = self.requests.get_mut(&request);
        let Some(pending) = pending.filter(|pending| pending.streamed_response.is_none()) else {
            return false;
        };
        pending.streamed_response = Some(StreamedResponse { attempt, remaining_bytes: length });
        let client = pending.client;
        self.commands.push_back(Command::BeginStream { client, request, attempt, length });
        if let Some(in_flight) = self.in_flight.get(&attempt) {
            self.observers.notify(now, CoreEvent::ServerAlive { server: in_flight.server });
        }
        self.handle(now, Event::ResponseStarted { request, attempt: number });
        true
    }

    /// Forwards the next bytes of a long response to the client unchanged. The bytes are discarded unless this attempt's response
    /// is being streamed.
    pub(crate) fn response_chunk(&mut self, attempt: AttemptId, bytes: Vec<u8>) {
        let request = attempt.request;
        let Some(pending) = self.requests.get_mut(&request) else { return };
        let streamed = pending.streamed_response.as_mut().filter(|streamed| streamed.attempt == attempt);
        let Some(streamed) = streamed else { return };
        streamed.remaining_bytes = streamed.remaining_bytes.saturating_sub(bytes.len());
        self.commands.push_back(Command::StreamChunk { client: pending.client, request, bytes });
    }

    /// Handles the result of an attempt. Each attempt has exactly one result.
    pub(crate) fn attempt_completed(&mut self, now: Micros, attempt: AttemptId, reply: Reply) {
        let Some(in_flight) = self.in_flight.remove(&attempt) else { return };
        let (request, server) = (attempt.request, in_flight.server);
        self.notify_attempt_ended(now, server, self.classes.is_write(in_flight.class), &reply);
        if self.observers.has_any() {
            self.notify_read_served(now, request, &in_flight, &reply);
        }
        self.release_attempt(now, request);
        let (outcome, load_report) = (reply.outcome, reply.load_report);
        let status = reply.status.map(|status| without_future_position(status, now));
        // The other processes of this proxy are informed before the client.
        self.share_session_write(&in_flight, outcome, status);
        self.answer_from_reply(now, attempt, reply);
        let result = AttemptResult {
            request,
            attempt: attempt.number,
            server,
            outcome,
            elapsed: now - in_flight.sent_at,
            request_finished: !self.requests.contains_key(&request),
            status,
            load_report: discard_if_in_future(load_report, now),
        };
        let previous_role = self.role_to_share(server);
        self.handle(now, Event::AttemptCompleted(result));
        self.share_changed_role(server, previous_role);
    }

    /// Decrements the number of attempts in flight for the request.
    fn release_attempt(&mut self, now: Micros, request: RequestId) {
        let Some(pending) = self.requests.get_mut(&request) else { return };
        pending.attempts_in_flight = pending.attempts_in_flight.saturating_sub(1);
        if pending.attempts_in_flight == 0 {
            pending.idle_since = now;
        }
    }

    /// Answers the request if the attempt served it. A request whose response was streamed in part is not retried: an attempt that failed
    /// within the value aborts the stream, and behind the value an error can still follow.
    fn answer_from_reply(&mut self, now: Micros, attempt: AttemptId, reply: Reply) {
        let request = attempt.request;
        let Some(pending) = self.requests.get(&request) else { return };
        let served = reply.outcome == AttemptOutcome::Ok;
        match pending.streamed_response {
            Some(streamed) if streamed.attempt != attempt => {}
            Some(_) if served => self.answer(now, request, Answer::Streamed),
            Some(streamed) if streamed.remaining_bytes == 0 => self.answer(now, request, Answer::Failed),
            Some(_) => self.abort_stream(now, request),
            None => {
                if let Some(value) = reply.value.filter(|_| served) {
                    self.answer(now, request, Answer::Served(value));
                }
            }
        }
    }

    /// Notifies observers of the result of an attempt or a health check.
    pub(super) fn notify_attempt_ended(&self, now: Micros, server: ServerId, write: bool, reply: &Reply) {
        let uid = self.servers.name(server);
        self.observers.notify(now, CoreEvent::AttemptEnded { server, uid, write, reply });
    }

    /// Notifies observers of the result of a read, which came from a member of its group or from a copy.
    fn notify_read_served(&self, now: Micros, request: RequestId, attempt: &InFlightAttempt, reply: &Reply) {
        let Some(pending) = self.requests.get(&request) else { return };
        let (group, class, key) = (pending.group, pending.class, pending.payload.key());
        if attempt.from_copy {
            let answered = matches!(reply.outcome, AttemptOutcome::Ok | AttemptOutcome::Ineligible);
            if answered {
                let (server, position) = (attempt.server, reply.copy_position);
                self.observers.notify(now, CoreEvent::CopyRead { group, key, server, position });
            }
        } else if let Some(value) = reply.value.as_ref().filter(|_| !self.classes.is_write(class)) {
            self.observers.notify(now, CoreEvent::ReadServed { group, class, key, value });
        }
    }
}

/// Returns the status without a position that is further in the future than the clock skew allows. Such a position is wrong.
fn without_future_position(status: ServerStatus, now: Micros) -> ServerStatus {
    let position = status.position.filter(|position| *position <= now + MAX_CLOCK_SKEW_MICROS);
    ServerStatus { position, ..status }
}

/// Returns the report, unless its position is further in the future than the clock skew allows. Such a report is corrupt, and
/// none of its values is used.
pub(super) fn discard_if_in_future(report: Option<LoadReport>, now: Micros) -> Option<LoadReport> {
    report.filter(|report| report.position.is_none_or(|position| position <= now + MAX_CLOCK_SKEW_MICROS))
}
