//! Timeouts of clients: unread output, incomplete messages, idle connections and the end of draining.

use super::super::event_loop_context::EventLoopContext;
use super::super::test_hooks::{self, StopPoint};
use super::Clients;
use super::client::{Client, CloseMode, Closing};
use super::close_reason::ClientCloseReason;
use crate::core::ClientKey;
use birchreach::Micros;

/// A client that does not read its answers for this time is closed. The time is longer than any request's deadline.
pub(super) const UNREAD_OUTPUT_TIMEOUT_MICROS: Micros = 10_000_000;
/// A connection is closed after it has been without a request for this time.
const IDLE_TIMEOUT_MICROS: Micros = 5_000_000;
/// The timeout for the first request and for the rest of a message. A slow client may take 2 s, and a client that sends nothing
/// valid receives its error within 3 s.
const INCOMPLETE_MESSAGE_TIMEOUT_MICROS: Micros = 2_300_000;

impl Client {
    /// Returns the reason to close the connection if one of its timeouts has expired.
    fn expiry_reason(&self, now: Micros) -> Option<ClientCloseReason> {
        let inactive_for = now - self.last_active_at;
        match self.closing {
            Some(Closing { reason, mode: CloseMode::Draining { until, .. } }) => {
                return (now >= until).then_some(reason);
            }
            // Checked more often than other timeouts.
            Some(Closing { mode: CloseMode::AwaitingDelivery(_), .. }) => return None,
            Some(Closing { reason, .. }) => {
                return (inactive_for >= INCOMPLETE_MESSAGE_TIMEOUT_MICROS).then_some(reason);
            }
            // An open request has a deadline of its own. A streamed value has none, but its client must continue to read.
            None if self.open_request.is_some() && self.streamed_value.is_none() => return None,
            None => {}
        }
        let message_timed_out =
            self.incomplete_since.is_some_and(|since| now - since >= INCOMPLETE_MESSAGE_TIMEOUT_MICROS);
        if !self.protocol.outbox.pending().is_empty() {
            (inactive_for > UNREAD_OUTPUT_TIMEOUT_MICROS).then_some(ClientCloseReason::Unresponsive)
        } else if message_timed_out {
            Some(ClientCloseReason::IncompleteMessage)
        } else {
            let idle_timed_out = self.protocol.is_idle() && inactive_for >= IDLE_TIMEOUT_MICROS;
            idle_timed_out.then_some(ClientCloseReason::Idle)
        }
    }
}

impl Clients {
    /// Closes clients that stall during the startup, in a message or while reading an answer, and clients that are idle.
    /// Otherwise they could occupy all connections.
    pub(crate) fn close_expired(&mut self, context: &mut EventLoopContext) {
        self.admission.remove_expired(context.now);
        let is_expired = |client: &Client| client.expiry_reason(context.now).is_some();
        let expired = self.connections.iter().filter(|(_, client)| is_expired(client));
        let expired: Vec<ClientKey> = expired.map(|(key, _)| ClientKey(key)).collect();
        for key in expired {
            test_hooks::stop_process_at(StopPoint::CloseExpired);
            // Input may have arrived in the meantime. It is read first, so that the close does not race with a request.
            self.handle_ready(context, key);
            self.close_if_expired(context, key);
        }
    }

    /// Closes a client whose timeout has expired. A client with an incomplete message is sent an error first.
    fn close_if_expired(&mut self, context: &mut EventLoopContext, key: ClientKey) {
        let Some(client) = self.connections.get_mut(key.0) else { return };
        match client.expiry_reason(context.now) {
            Some(ClientCloseReason::IncompleteMessage) if client.input_memory.is_awaited() => {
                self.reject_for_memory(context, key);
            }
            Some(reason @ ClientCloseReason::IncompleteMessage) if client.closing.is_none() => {
                client.protocol.fail_incomplete_message();
                client.closing = Some(Closing { reason, mode: CloseMode::AfterFlush });
                client.last_active_at = context.now;
                self.handle_ready(context, key);
            }
            Some(reason @ ClientCloseReason::Unresponsive) => self.close(context, key, reason),
            Some(reason) => self.close_after_delivery(context, key, reason),
            None => {}
        }
    }
}
