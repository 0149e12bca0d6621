//! The queue of what happens on the virtual clock.

use birchreach::{AttemptOutcome, Micros};
use std::collections::BTreeMap;

/// A request of one of the routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RequestKey {
    pub router: usize,
    pub request: u64,
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AttemptKey {
    pub request: RequestKey,
    pub number: u16,
}

/// What happens at an instant.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SimulationEvent {
    /// A client sends a request to this router, and the next one later.
    ClientRequest { router: usize },
    /// An attempt reaches its server.
    AttemptArrives(AttemptKey),
    /// An attempt ends at its router.
    AttemptDone { attempt: AttemptKey, outcome: AttemptOutcome },
    /// A timer of this router expires.
    RouterTimer { router: usize },
    /// A health check ends.
    HealthCheckDone { router: usize, server: u32 },
    /// A server stops and refuses connections.
    ServerStops { server: u32 },
    /// A server that was stopped serves again.
    ServerStarts { server: u32 },
    /// A router learns of the start of a server.
    StartListed { router: usize, server: u32, started_at: Micros },
    /// A server stops answering until this instant.
    ServerHangs { server: u32, until: Micros },
}

/// Where an event is in the queue. Events of one instant keep the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventPosition {
    at: Micros,
    sequence: u64,
}

/// Events that are still to come.
#[derive(Default)]
pub(crate) struct EventQueue {
    events: BTreeMap<EventPosition, SimulationEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event for an instant.
    pub(crate) fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.last_sequence += 1;
        self.events.insert(EventPosition { at, sequence: self.last_sequence }, event);
    }

    /// Removes the next event that is due by `end`, with its instant.
    pub(crate) fn pop_until(&mut self, end: Micros) -> Option<(Micros, SimulationEvent)> {
        let first = self.events.first_entry().filter(|entry| entry.key().at <= end)?;
        let (position, event) = first.remove_entry();
        Some((position.at, event))
    }
}
