//! Closes connections whose output the system still holds. A close over unread input, or input that arrives after it, resets the
//! connection, and the system then drops the output that the client has not fetched. So a connection stays open, unread, until the
//! client's machine has all of its output.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream;
use super::super::timer_events::TimerEvent;
use super::Clients;
use super::client::{Client, CloseMode, Closing};
use super::close_reason::ClientCloseReason;
use super::expiry::UNREAD_OUTPUT_TIMEOUT_MICROS;
use crate::core::ClientKey;
use birchreach::Micros;

/// How often connections are checked whose output the system still holds. The poll does not report that a client has fetched it.
const CHECK_INTERVAL_MICROS: Micros = 20_000;
/// How long a client is left to read what its machine has received, if the close will reset the connection.
const READ_BEFORE_RESET_MICROS: Micros = 100_000;

/// How far the output of a connection that is to be closed has been delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Delivery {
    /// The output that the client's machine has not acknowledged, in bytes.
    remaining_bytes: usize,
    /// When `remaining_bytes` last decreased.
    progress_at: Micros,
}

impl Client {
    /// Returns the output that the system holds, in bytes; zero if the connection has failed.
    fn undelivered_bytes(&self) -> usize {
        match self.stream.take_error() {
            Ok(None) => stream::unacknowledged_bytes(&self.stream),
            _ => 0,
        }
    }

    /// Returns whether the system holds output that the client's machine has not acknowledged.
    pub(super) fn has_undelivered_output(&self) -> bool {
        self.undelivered_bytes() > 0
    }

    /// Returns whether the connection waits for its output to be delivered, and is closed then.
    pub(super) fn awaits_delivery(&self) -> bool {
        matches!(self.closing, Some(Closing { mode: CloseMode::AwaitingDelivery(_), .. }))
    }

    /// Returns whether an answer is on its way to the client.
    fn is_being_answered(&self) -> bool {
        self.awaits_delivery() || self.streamed_value.is_some() || !self.protocol.outbox.pending().is_empty()
    }

    fn has_unread_input(&self) -> bool {
        self.stream.peek(&mut [0]).is_ok_and(|bytes| bytes > 0)
    }

    /// Returns the reason to close a connection that awaits delivery, once all is delivered or the client has stopped fetching.
    pub(super) fn check_delivery(&mut self, now: Micros) -> Option<ClientCloseReason> {
        let remaining_bytes = self.undelivered_bytes();
        let Some(Closing { reason, mode: CloseMode::AwaitingDelivery(delivery) }) = &mut self.closing else {
            return None;
        };
        if remaining_bytes < delivery.remaining_bytes {
            *delivery = Delivery { remaining_bytes, progress_at: now };
        }
        let reason = *reason;
        let waited = now - delivery.progress_at;
        let timeout = match remaining_bytes {
            0 if !self.has_unread_input() => 0,
            0 => READ_BEFORE_RESET_MICROS,
            _ => UNREAD_OUTPUT_TIMEOUT_MICROS,
        };
        (waited >= timeout).then_some(reason)
    }
}

impl Clients {
    /// Closes a connection once the client's machine has all of its output. Nothing more is read from it.
    pub(super) fn close_after_delivery(
        &mut self,
        context: &mut EventLoopContext,
        key: ClientKey,
        reason: ClientCloseReason,
    ) {
        let Some(client) = self.connections.get_mut(key.0) else { return };
        let remaining_bytes = client.undelivered_bytes();
        if remaining_bytes == 0 {
            return self.close(context, key, reason);
        }
        let delivery = Delivery { remaining_bytes, progress_at: context.now };
        client.closing = Some(Closing { reason, mode: CloseMode::AwaitingDelivery(delivery) });
        client.input_memory.release_all(&mut context.memory);
        if self.awaiting_delivery.is_empty() {
            context.timers.set(context.now + CHECK_INTERVAL_MICROS, TimerEvent::CheckDeliveries);
        }
        self.awaiting_delivery.push(key);
    }

    /// Closes the connections whose output has been delivered. Sets the timer for the next check if others wait.
    pub(crate) fn check_deliveries(&mut self, context: &mut EventLoopContext) {
        for key in std::mem::take(&mut self.awaiting_delivery) {
            // The key may belong to another client by now, or the connection may have ended.
            let Some(client) = self.connections.get_mut(key.0).filter(|client| client.awaits_delivery())
            else {
                continue;
            };
            match client.check_delivery(context.now) {
                Some(reason) => self.close(context, key, reason),
                None => self.awaiting_delivery.push(key),
            }
        }
        if !self.awaiting_delivery.is_empty() {
            context.timers.set(context.now + CHECK_INTERVAL_MICROS, TimerEvent::CheckDeliveries);
        }
    }

    /// Returns whether answers are on their way to clients that would be cut off by the end of the process.
    pub(crate) fn has_answers_under_way(&self) -> bool {
        self.connections.iter().any(|(_, client)| client.is_being_answered())
    }
}
