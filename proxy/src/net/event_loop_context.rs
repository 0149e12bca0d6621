//! The state that the event loop shares with the owners of connections. The loop passes it to their methods.

use super::statement_payload::StatementPayload;
use super::timer_events::TimerEvent;
use super::timers::Timers;
use crate::core::Core;
use birchreach::Micros;
use mio::Poll;

/// The part of the event loop's state that every owner of connections may use. It is a single field of the loop, so
/// that a call such as `self.clients.close_expired(&mut self.context)` borrows two separate fields.
pub(super) struct EventLoopContext {
    /// The current time. Each turn of the loop reads the clock once before its events and once before its timers.
    pub now: Micros,
    /// Reports sockets that are ready. The owners register their sockets with its registry.
    pub poll: Poll,
    /// The timers of all owners.
    pub timers: Timers<TimerEvent>,
    /// The open requests and the router.
    pub core: Core<StatementPayload>,
    /// The buffer that sockets are read into. Its content is undefined between two calls.
    pub scratch: Vec<u8>,
}
