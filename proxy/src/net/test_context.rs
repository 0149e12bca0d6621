//! The state of an event loop for unit tests that serve sockets without one.

use super::event_loop_context::EventLoopContext;
use super::timers::{Clock, Timers};
use crate::core::Core;
use crate::memory::{ConnectionCounts, MemoryBudget};
use birchreach_settings::DeploymentSettings;
use mio::Poll;

/// Creates the state with these settings, without a limit on memory. Sockets are read in pieces of `scratch_bytes`.
pub(super) fn event_loop_context(settings: &DeploymentSettings, scratch_bytes: usize) -> EventLoopContext {
    let clock = Clock::new();
    let now = clock.now();
    EventLoopContext {
        clock,
        now,
        waited_for_events: true,
        poll: Poll::new().unwrap(),
        timers: Timers::new(),
        core: Core::new(settings, 1, now),
        memory: MemoryBudget::new(usize::MAX, ConnectionCounts::default()),
        scratch: vec![0; scratch_bytes],
    }
}
