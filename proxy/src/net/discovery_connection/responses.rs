//! Responses of discovery: read from the connection, and what follows from them.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream::{self, Ended};
use super::close_reason::CloseReason;
use super::{DiscoveryConnection, PollState};
use crate::discovery::{EndpointUpdate, PollError, PollResponse, RESPONSE_TIMEOUT_MICROS};
use birchreach::Micros;

/// A discovery that answers sooner than this with no change is polled again only after this time.
const MIN_POLL_INTERVAL_MICROS: Micros = 20_000;

/// What one read of the connection brought.
struct DiscoveryEvent {
    response: Result<Option<PollResponse>, PollError>,
    ended: Option<Ended>,
}

impl DiscoveryConnection {
    /// The socket is ready: writes and reads as far as it goes. Returns an update of the list.
    pub fn ready(&mut self, context: &mut EventLoopContext) -> Option<EndpointUpdate> {
        if !self.write(context) {
            return None;
        }
        let DiscoveryEvent { response, ended } = self.read(context)?;
        match (response, ended) {
            (Err(error), _) => self.fail(context, &error),
            (Ok(Some(response)), ended) => return self.finish_poll(context, response, ended.is_some()),
            (Ok(None), Some(Ended::Closed)) => self.fail(context, &PollError::Closed),
            (Ok(None), Some(Ended::Reset)) => self.fail(context, &PollError::Reset),
            (Ok(None), None) => {
                if self.watch.response_started() && self.state == PollState::Requested {
                    self.enter(context, PollState::Receiving, RESPONSE_TIMEOUT_MICROS);
                }
            }
        }
        None
    }

    /// Reads what has come, and whether the connection ended behind it.
    fn read(&mut self, context: &mut EventLoopContext) -> Option<DiscoveryEvent> {
        let stream = self.stream.as_mut()?;
        let watch = &mut self.watch;
        let mut response = Ok(None);
        let ended = stream::read(stream, &mut context.scratch, |bytes| {
            // Reads on to the end of the input: an end of the connection behind the response is not reported again.
            if response == Ok(None) {
                response = watch.feed(bytes);
            }
            true
        });
        // A reset does not complete a response without a length.
        if ended == Err(Ended::Closed) && response == Ok(None) {
            response = watch.finish_on_close();
        }
        Some(DiscoveryEvent { response, ended: ended.err() })
    }

    /// A response came, and behind it perhaps the end of the connection. The next poll follows.
    fn finish_poll(
        &mut self,
        context: &mut EventLoopContext,
        response: PollResponse,
        ended: bool,
    ) -> Option<EndpointUpdate> {
        context.core.discovery_answered(context.now);
        let update = match response {
            PollResponse::Updated(update) => Some(update),
            PollResponse::Stale => None,
        };
        let no_change = update.as_ref().is_none_or(|update| update.endpoints.is_empty());
        // A discovery that closes the connection after each poll, and does not wait for a change, is polled less and less often.
        if self.long_poll || !no_change {
            self.backoff.reset();
        }
        if ended {
            // The poll did not fail: the next one may be a long poll.
            self.disconnect(context, &CloseReason::Failed(PollError::Closed));
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
