//! Requests, from their arrival to their final answer.

use super::{Answer, ClientKey, Command, Core, PendingRequest, RequestPayload, RoutingRequest};
use crate::hash::fnv1a;
use crate::observe::CoreEvent;
use crate::stats::RequestResult;
use birchreach::{Event, Micros, Request, RequestId, SessionId, TenantId};

impl<P: RequestPayload> Core<P> {
    /// Accepts a client's request and returns its id. The commands that answer the request contain `client`.
    pub(crate) fn request(
        &mut self,
        now: Micros,
        client: ClientKey,
        request: RoutingRequest,
        payload: P,
    ) -> RequestId {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let RoutingRequest { class, group, session, read_after_position, timeout } = request;
        let deadline = now + timeout;
        if self.classes.process_count() > 1 && self.classes.is_write(class) {
            self.commands.push_back(Command::ShareRequest { payload: payload.clone(), deadline });
        }
        let copy_candidates = self.locate_copies(now, class, group, &payload);
        let pending = PendingRequest {
            client,
            class,
            group,
            session,
            payload,
            copy_holders: copy_candidates.iter().map(|candidate| candidate.server).collect(),
            deadline,
            attempts_started: 0,
            attempts_in_flight: 0,
            idle_since: now,
            streamed_response: None,
        };
        self.requests.insert(id, pending);
        let request = Request {
            id,
            class,
            group,
            tenant: TenantId(0),
            timeout,
            session,
            last_write_position: read_after_position,
            copy_candidates,
        };
        self.handle(now, Event::Request(request));
        id
    }

    /// Drops the request of a client that disconnected. The request needs no answer. Returns the request's deadline if it is a write
    /// of which an attempt was started: a database may execute it although its connection is closed. `None`: nothing of it runs.
    pub(crate) fn client_disconnected(&mut self, now: Micros, request: RequestId) -> Option<Micros> {
        let pending = self.requests.remove(&request)?;
        self.handle(now, Event::ClientDisconnected { request });
        let may_run = pending.attempts_started > 0 && self.classes.is_write(pending.class);
        may_run.then_some(pending.deadline)
    }

    /// Gives a pending request its final answer, and counts its result.
    pub(super) fn answer(&mut self, now: Micros, request: RequestId, answer: Answer) {
        let Some(pending) = self.requests.remove(&request) else { return };
        let result = match answer {
            Answer::Served(_) | Answer::Streamed => RequestResult::Served,
            Answer::Rejected { .. } => RequestResult::Rejected,
            Answer::Failed => RequestResult::Failed,
        };
        self.count_result(now, &pending, result);
        self.commands.push_back(Command::Answer { client: pending.client, request, answer });
    }

    /// Aborts the stream of a response that failed while it was being streamed. The client must see that the response is
    /// incomplete.
    pub(super) fn abort_stream(&mut self, now: Micros, request: RequestId) {
        let Some(pending) = self.requests.remove(&request) else { return };
        self.count_result(now, &pending, RequestResult::Failed);
        self.commands.push_back(Command::AbortStream { client: pending.client, request });
    }

    /// Counts the result of a request, and notifies observers if the request is a read.
    fn count_result(&mut self, now: Micros, pending: &PendingRequest<P>, result: RequestResult) {
        self.classes.count_result(&mut self.stats, pending.class, result);
        if !self.classes.is_write(pending.class) {
            let served = result == RequestResult::Served;
            self.observers.notify(now, CoreEvent::ReadFinished { group: pending.group, served });
        }
    }

    /// Notifies observers of the writes without an attempt in flight. Returns the number of all requests without an attempt in
    /// flight, including reads.
    pub(crate) fn report_queued_requests(&self, now: Micros) -> usize {
        let queued = self.requests.values().filter(|pending| pending.attempts_in_flight == 0);
        let queued_count = queued.clone().count();
        let writes = queued.filter(|pending| self.classes.is_write(pending.class));
        let writes: Vec<_> = writes.map(|pending| (pending.group, pending.idle_since)).collect();
        self.observers.notify(now, CoreEvent::QueuedWrites { writes: &writes });
        queued_count
    }
}

/// Returns the id of the session with this name.
pub(crate) fn session_id(name: &[u8]) -> SessionId {
    SessionId(fnv1a(name))
}
