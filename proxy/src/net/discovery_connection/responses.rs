//! Responses of discovery: read from the connection, and the next poll that follows each.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream::{self, StreamEnd};
use super::close_reason::DiscoveryCloseReason;
use super::{DiscoveryConnection, PollState};
use crate::discovery::{EndpointUpdate, PollError, PollResponse, RESPONSE_TIMEOUT_MICROS};
use birchreach::Micros;

/// A discovery that answers sooner than this with no change is polled again only after this time.
const MIN_POLL_INTERVAL_MICROS: Micros = 20_000;

/// The result of reading the connection once.
struct ReadResult {
    response: Result<Option<PollResponse>, PollError>,
    end: Option<StreamEnd>,
}

impl DiscoveryConnection {
    /// The socket is ready: writes and reads as far as it goes. Returns an update of the list.
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

    /// Reads what has arrived, and whether the connection ended after it.
    fn read(&mut self, context: &mut EventLoopContext) -> Option<ReadResult> {
        let stream = self.stream.as_mut()?;
        let watch = &mut self.watch;
        let mut response = Ok(None);
        let read = stream::read(stream, &mut context.scratch, |bytes| {
            // Continues to the end of the input: the poll does not report again that the connection ended after the response.
            if response == Ok(None) {
                response = watch.feed(bytes);
            }
            true
        });
        // A reset does not complete a response without a length.
        if read == Err(StreamEnd::Closed) && response == Ok(None) {
            response = watch.finish_on_close();
        }
        Some(ReadResult { response, end: read.err() })
    }

    /// A response is complete, and the connection may have ended after it. The next poll follows.
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
        // If discovery closes the connection after each poll without waiting for a change, the backoff grows.
        if self.long_poll || !no_change {
            self.backoff.reset();
        }
        if connection_ended {
            // The poll did not fail: the next one may be a long poll.
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
