//! Sends the answers to clients' requests, in one piece or as a stream of chunks.

use super::super::event_loop_context::EventLoopContext;
use super::Clients;
use super::client::{Client, StreamedValue};
use super::close_reason::ClientCloseReason;
use crate::core::{Answer, AttemptId, ClientKey};
use birchreach::RequestId;

impl Clients {
    /// Sends the final answer to a request. Does nothing if the client has disconnected.
    pub(crate) fn answer(
        &mut self,
        context: &mut EventLoopContext,
        key: ClientKey,
        request: RequestId,
        answer: &Answer,
    ) {
        let Some(client) = self.connections.get_mut(key.0) else { return };
        let Some(completed) = client.open_request.take_if(|open| open.id == request) else { return };
        self.admission.release(&completed.statement);
        client.answered_requests += 1;
        client.close_when_idle = self.handing_over;
        client.streamed_value = None;
        client.protocol.answer(answer);
        // The answer shows whether the client is still there. Its next command begins after the poll that reports a reset.
        client.commands_held = client.protocol.unread_bytes() > 0;
        self.process_client(context, key);
    }

    /// Starts to forward a value of `length` bytes, which `attempt` receives in chunks.
    pub(crate) fn start_value(
        &mut self,
        context: &mut EventLoopContext,
        key: ClientKey,
        request: RequestId,
        attempt: AttemptId,
        length: usize,
    ) {
        if let Some(client) = self.client_with_request(key, request) {
            client.streamed_value = Some(StreamedValue { attempt, chunk_unsent: true });
            client.protocol.start_value(true, length);
            self.process_client(context, key);
        }
    }

    /// Forwards the next bytes of the streamed value.
    pub(crate) fn send_value_chunk(
        &mut self,
        context: &mut EventLoopContext,
        key: ClientKey,
        request: RequestId,
        bytes: &[u8],
    ) {
        let Some(client) = self.client_with_request(key, request) else { return };
        if let Some(value) = &mut client.streamed_value {
            value.chunk_unsent = true;
        }
        client.protocol.outbox.append(bytes);
        self.process_client(context, key);
    }

    /// Closes the connection because the rest of the streamed value will not arrive. The close shows the client that the value is
    /// incomplete.
    pub(crate) fn abort_value(&mut self, context: &mut EventLoopContext, key: ClientKey, request: RequestId) {
        if self.client_with_request(key, request).is_some() {
            self.close(context, key, ClientCloseReason::ResponseTruncated);
        }
    }

    /// Returns an attempt that can continue to read its streamed value, because all bytes that it has read were written to the
    /// client's socket. Returns `None` if there is no such attempt.
    pub(crate) fn next_attempt_to_resume(&mut self) -> Option<AttemptId> {
        self.attempts_to_resume.pop()
    }

    /// Returns the client if it still waits for the answer to this request.
    fn client_with_request(&mut self, key: ClientKey, request: RequestId) -> Option<&mut Client> {
        let has_request =
            |client: &&mut Client| client.open_request.as_ref().is_some_and(|open| open.id == request);
        self.connections.get_mut(key.0).filter(has_request)
    }
}
