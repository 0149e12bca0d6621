//! What the owners of connections share with the loop, lent to each of their calls beside the owner itself.

use super::statement_payload::StatementPayload;
use super::timer_events::TimerEvent;
use super::timers::Timers;
use crate::core::Core;
use birchreach::Micros;
use mio::Poll;

/// The part of the loop's state that every owner may use. It is a field of the loop, so that a call such as
/// `self.clients.close_expired(&mut self.context)` borrows two fields that do not overlap.
pub struct EventLoopContext {
    /// The time, read once for the events of a turn and once for its timers.
    pub now: Micros,
    /// Waits for sockets, which are registered with its registry.
    pub poll: Poll,
    /// Timers of all owners.
    pub timers: Timers<TimerEvent>,
    /// The requests that are open, and the decisions on them.
    pub core: Core<StatementPayload>,
    /// Where sockets are read into. Nothing is kept in it between two calls.
    pub scratch: Vec<u8>,
}
