//! The state that the event loop shares with the owners of connections; an argument of their calls.

use super::statement_payload::StatementPayload;
use super::timer_events::TimerEvent;
use super::timers::Timers;
use crate::core::Core;
use birchreach::Micros;
use mio::Poll;

/// The part of the loop's state that every owner may use. It is a field of the loop, so that a call such as
/// `self.clients.close_expired(&mut self.context)` borrows two separate fields.
pub(super) struct EventLoopContext {
    /// The time, read once for the events of a turn and once for its timers.
    pub now: Micros,
    /// Reports sockets that are ready; they are registered with its registry.
    pub poll: Poll,
    /// Timers of all owners.
    pub timers: Timers<TimerEvent>,
    /// The open requests, and the router.
    pub core: Core<StatementPayload>,
    /// The buffer that sockets are read into. Its content is not kept between two calls.
    pub scratch: Vec<u8>,
}
