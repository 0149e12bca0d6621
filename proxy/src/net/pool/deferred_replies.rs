//! Replies that wait in their sockets while memory is short.
//!
//! A value of up to 64 KiB is forwarded only if the complete reply has arrived, so that a reply which does not arrive in time can still be
//! replaced by an error. If there is no memory for the value, its connection stops reading: the rest arrives in the receive buffer of the
//! socket, which belongs to the kernel. Once the complete reply is there, it is forwarded in small pieces, and the database can no longer
//! delay it. Until then the attempt has its deadline, and can be cancelled and retried like any other. No reply needs memory that
//! another one holds, so replies never wait for each other.

#[cfg(test)]
mod tests;

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::{ConnectionKey, ConnectionSerial};
use super::super::stream::{self, PeerState};
use super::Pool;
use super::close_reason::DatabaseCloseReason;
use super::connection::Connection;
use crate::memory::MemoryBudget;
use crate::pg::codec::{MAX_SERVER_MESSAGE_BYTES, has_complete_reply_end};
use std::collections::VecDeque;

/// The longest end of a reply that is recognized in a socket, in bytes.
const MAX_REPLY_END_BYTES: usize = 4 << 10;

/// What may be done with the input of a connection now.
pub(super) enum ReadPermission {
    /// Up to this many bytes may be read.
    Bytes(usize),
    /// There is no memory for the next row, and its reply has not arrived in full.
    Defer,
    /// The database has closed the connection before the end of the reply, which therefore never arrives.
    Ended(DatabaseCloseReason),
}

/// The connections whose replies are deferred.
#[derive(Default)]
pub(super) struct DeferredReplies {
    /// The connection that has waited longest comes first. An entry may belong to a connection that has been closed.
    waiting: VecDeque<(ConnectionKey, ConnectionSerial)>,
}

impl Pool {
    /// Decides how much may be read from a connection. Arranges that the next row is streamed if its complete reply has arrived.
    pub(super) fn read_permission(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
    ) -> ReadPermission {
        let limit = context.memory.database_read_bytes(context.scratch.len());
        if !context.memory.is_under_pressure() {
            return ReadPermission::Bytes(limit);
        }
        let protocol = &self.connections[key].protocol;
        let missing = protocol.missing_row_bytes();
        let row_bytes = protocol.unread_bytes() + missing;
        if missing == 0 || row_bytes <= context.memory.guaranteed_database_input() {
            return ReadPermission::Bytes(limit);
        }
        self.report_arrival(context, key);
        let visible = context.scratch.len().saturating_sub(MAX_REPLY_END_BYTES);
        if missing > visible {
            return ReadPermission::Bytes(limit.min(missing - visible));
        }
        let connection = &mut self.connections[key];
        // Read before the receive buffer, since nothing arrives after the end.
        let peer = stream::peer_state(&connection.stream);
        if connection.has_reply_in_socket(missing, &mut context.scratch) {
            connection.protocol.stream_next_row();
            return ReadPermission::Bytes(limit);
        }
        match peer {
            PeerState::Open => ReadPermission::Defer,
            PeerState::Closed => ReadPermission::Ended(DatabaseCloseReason::Closed),
            PeerState::Failed => ReadPermission::Ended(DatabaseCloseReason::Reset),
        }
    }

    /// Reports once that a reply has begun to arrive, so that the time until all of it is there does not count against the server's
    /// concurrency limit.
    fn report_arrival(&mut self, context: &mut EventLoopContext, key: ConnectionKey) {
        let connection = &mut self.connections[key];
        if let Some(attempt) = connection.attempt()
            && !std::mem::replace(&mut connection.arrival_reported, true)
        {
            context.core.response_arriving(context.now, attempt);
        }
    }

    /// Remembers that a connection has to be read again, since the poll may not report it another time.
    pub(super) fn defer_reply(&mut self, key: ConnectionKey) {
        let connection = &mut self.connections[key];
        if !std::mem::replace(&mut connection.reply_deferred, true) {
            self.deferred_replies.waiting.push_back((key, connection.serial));
        }
    }

    /// Returns whether replies are deferred although there is memory for them.
    pub(crate) fn can_continue_deferred_replies(&self, memory: &MemoryBudget) -> bool {
        !self.deferred_replies.waiting.is_empty() && !memory.is_under_pressure()
    }

    /// Reads replies that were deferred for a lack of memory, as long as there is some.
    pub(crate) fn continue_deferred_replies(&mut self, context: &mut EventLoopContext) {
        for _ in 0..self.deferred_replies.waiting.len() {
            if !self.can_continue_deferred_replies(&context.memory) {
                return;
            }
            self.read_next_deferred_reply(context);
        }
    }

    /// Looks at all deferred replies again, in case that an earlier look at a socket failed.
    pub(super) fn check_deferred_replies(&mut self, context: &mut EventLoopContext) {
        for _ in 0..self.deferred_replies.waiting.len() {
            self.read_next_deferred_reply(context);
        }
    }

    fn read_next_deferred_reply(&mut self, context: &mut EventLoopContext) {
        let Some((key, serial)) = self.deferred_replies.waiting.pop_front() else { return };
        let is_same = |connection: &&mut Connection| connection.serial == serial;
        let Some(connection) = self.connections.get_mut(key).filter(is_same) else { return };
        connection.reply_deferred = false;
        self.read(context, key);
    }

    /// Returns the number of connections whose replies wait for memory.
    pub(crate) fn deferred_reply_count(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| connection.reply_deferred).count()
    }
}

impl Connection {
    /// Returns whether the socket has received the rest of a row, of which `missing` bytes have not been read, and the end of its reply.
    fn has_reply_in_socket(&mut self, missing: usize, scratch: &mut [u8]) -> bool {
        if !std::mem::replace(&mut self.has_large_receive_buffer, true) {
            stream::enlarge_receive_buffer(&self.stream, MAX_SERVER_MESSAGE_BYTES);
        }
        if stream::unread_bytes(&self.stream) <= missing {
            return false;
        }
        let Ok(count) = self.stream.peek(scratch) else { return false };
        scratch[..count].get(missing..).is_some_and(has_complete_reply_end)
    }
}
