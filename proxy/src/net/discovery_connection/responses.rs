//! Reads the responses of discovery, and schedules the poll that follows each response.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream::{self, StreamEnd};
use super::close_reason::DiscoveryCloseReason;
use super::{DiscoveryConnection, PollState};
use crate::discovery::{EndpointUpdate, PollError, PollResponse, RESPONSE_TIMEOUT_MICROS};
use birchreach::Micros;

/// If discovery answers sooner than this without a change, the next poll waits for this time.
const MIN_POLL_INTERVAL_MICROS: Micros = 20_000;

/// The result of reading from the connection until no more input is available.
struct ReadResult {
    /// `Ok(None)` if the response is incomplete.
    response: Result<Option<PollResponse>, PollError>,
    /// How the connection ended after the input, or `None` if it is still open.
    end: Option<StreamEnd>,
}

impl DiscoveryConnection {
    /// Writes and reads as far as possible after the poll reported the socket as ready. Returns an update of the
    /// endpoint list if a response contained one.
    pub(crate) fn handle_ready(&mut self, context: &mut EventLoopContext) -> Option<EndpointUpdate> {
        if !self.write(context) {
            return None;
        }
        let ReadResult { response, end } = self.read(context)?;
        match (response, end) {
            (Err(error), _) => self.fail(context, &error),
            (Ok(Some(response)), end) => return self.finish_poll(context, response, end.is_some()),
            (Ok(None), Some(StreamEnd::Closed)) => self.fail(context, &PollError::Closed),
            (Ok(None), Some(StreamEnd::Reset)) => self.fail(context, &PollError::Reset),
            (Ok(None), None) => {
                if self.watch.response_started() && self.state == PollState::Requested {
                    self.enter_state(context, PollState::Receiving, RESPONSE_TIMEOUT_MICROS);
                }
            }
        }
        None
    }

    /// Reads all input that has arrived. Returns `None` if there is no connection.
    fn read(&mut self, context: &mut EventLoopContext) -> Option<ReadResult> {
        let stream = self.stream.as_mut()?;
        let watch = &mut self.watch;
        let mut response = Ok(None);
        let read = stream::read(stream, &mut context.scratch, |bytes| {
            // All input is read, because the poll does not report a second time that the connection ended after the
            // response.
            if response == Ok(None) {
                response = watch.feed(bytes);
            }
            true
        });
        // The end of the connection completes a response without a length, but a reset does not.
        if read == Err(StreamEnd::Closed) && response == Ok(None) {
            response = watch.finish_on_close();
        }
        Some(ReadResult { response, end: read.err() })
    }

    /// Handles a complete response, and sends or schedules the next poll. `connection_ended` is whether the connection
    /// ended after the response.
    fn finish_poll(
        &mut self,
        context: &mut EventLoopContext,
        response: PollResponse,
        connection_ended: bool,
    ) -> Option<EndpointUpdate> {
        context.core.discovery_answered(context.now);
        let update = match response {
            PollResponse::Updated(update) => Some(update),
            PollResponse::Stale => None,
        };
        let no_change = update.as_ref().is_none_or(|update| update.endpoints.is_empty());
        // The backoff keeps growing if discovery closes the connection after each poll and never waits for a change.
        if self.long_poll || !no_change {
            self.backoff.reset();
        }
        if connection_ended {
            // The poll itself succeeded, so no failure is recorded and the next poll may be a long poll.
            self.disconnect(context, &DiscoveryCloseReason::Failed(PollError::Closed));
            let wait = self.backoff.wait_after(&PollError::Closed);
            self.poll_after(context, wait);
        } else if context.now - self.polled_at < MIN_POLL_INTERVAL_MICROS && no_change {
            self.poll_after(context, MIN_POLL_INTERVAL_MICROS);
        } else {
            self.poll(context);
        }
        update
    }
}
