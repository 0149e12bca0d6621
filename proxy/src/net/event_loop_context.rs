//! The state that the event loop shares with the owners of connections. The loop passes it to their methods.

use super::statement_payload::StatementPayload;
use super::timer_events::TimerEvent;
use super::timers::{Clock, Timers};
use crate::core::Core;
use crate::memory::MemoryBudget;
use birchreach::Micros;
use mio::Poll;

/// The part of the event loop's state that every owner of connections may use. It is a single field of the loop, so
/// that a call such as `self.clients.close_expired(&mut self.context)` borrows two separate fields.
pub(super) struct EventLoopContext {
    /// The clock of the event loop. Owners use `now`, except where a stop of the process between two readings matters.
    pub clock: Clock,
    /// The current time. Each turn of the loop reads the clock once before its events and once before its timers.
    pub now: Micros,
    /// The last poll waited for its events. If it did not, they may have happened at any time during the turn before.
    pub waited_for_events: bool,
    /// Reports sockets that are ready. The owners register their sockets with its registry.
    pub poll: Poll,
    /// The timers of all owners.
    pub timers: Timers<TimerEvent>,
    /// The open requests and the router.
    pub core: Core<StatementPayload>,
    /// The memory that connections may use.
    pub memory: MemoryBudget,
    /// The buffer that sockets are read into. Its content is undefined between two calls.
    pub scratch: Vec<u8>,
}

impl EventLoopContext {
    /// Returns the time at which a request arrives. Beside another process of this proxy, the clock is read again: a report of a
    /// write that the request has to see may have arrived since `now`, if this process was stopped in the meantime.
    pub(super) fn request_time(&self) -> Micros {
        if self.core.has_other_processes() { self.clock.now() } else { self.now }
    }
}
