//! Closes a client's connection: writes the error that states the reason, and drops further input so that the client can read it.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream;
use super::Clients;
use super::client::{Client, CloseMode, Closing};
use super::close_reason::ClientCloseReason;
use super::turn::{MAX_READ_BYTES, RoundResult};
use crate::core::ClientKey;
use birchreach::Micros;
use std::net::Shutdown;

/// How long a client's input is read and dropped after the error that states why the connection is closed.
const DRAIN_TIME_MICROS: Micros = 500_000;
/// The most bytes of such input that are read and dropped.
const MAX_DRAINED_BYTES: usize = 1 << 20;

impl Client {
    /// Records that the connection is to be closed. It stays open until the output is written.
    pub(super) fn mark_for_close(&mut self, reason: ClientCloseReason, mode: CloseMode) {
        self.closing = Some(Closing { reason, mode });
    }

    /// Closes a connection whose output is completely written, or begins to drain its input first.
    pub(super) fn finish_closing(&mut self, context: &mut EventLoopContext, closing: Closing) -> RoundResult {
        if closing.mode != CloseMode::AfterFlush {
            return RoundResult::Close(closing.reason);
        }
        let _ = self.stream.shutdown(Shutdown::Write);
        let until = context.now + DRAIN_TIME_MICROS;
        let mode = CloseMode::Draining { until, max_bytes: MAX_DRAINED_BYTES };
        self.closing = Some(Closing { mode, ..closing });
        self.drain_input(context).map_or(RoundResult::Done, RoundResult::Close)
    }

    /// Reads and drops the input of a client that is being closed. Returns the reason if the connection has ended.
    pub(super) fn drain_input(&mut self, context: &mut EventLoopContext) -> Option<ClientCloseReason> {
        let Some(Closing { reason, mode: CloseMode::Draining { max_bytes, .. } }) = &mut self.closing else {
            return None;
        };
        let byte_limit = (*max_bytes).min(MAX_READ_BYTES);
        let mut remaining = byte_limit;
        let read = stream::read(&mut self.stream, &mut context.scratch, |received| {
            remaining = remaining.saturating_sub(received.len());
            remaining > 0
        });
        *max_bytes -= byte_limit - remaining;
        match read {
            Err(_) => Some(*reason),
            Ok(all_read) => {
                self.turn_incomplete = !all_read && *max_bytes > 0;
                None
            }
        }
    }
}

impl Clients {
    /// Ends a connection with an error that tells the client that its incomplete message has not run, and frees its input.
    pub(super) fn reject(
        &mut self,
        context: &mut EventLoopContext,
        key: ClientKey,
        reason: ClientCloseReason,
    ) {
        let Some(client) = self.connections.get_mut(key.0) else { return };
        client.protocol.reject_incomplete_message();
        client.input_memory.release_all(&mut context.memory);
        client.closing = Some(Closing { reason, mode: CloseMode::AfterFlush });
        client.last_active_at = context.now;
        self.handle_ready(context, key);
    }
}
