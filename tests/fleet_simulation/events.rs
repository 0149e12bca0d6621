//! The event queue of the simulation.

use birchreach::{AttemptOutcome, Micros};
use std::collections::BTreeMap;

/// Identifies a request by its router and its request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RequestKey {
    pub router: usize,
    pub request: u64,
}

/// Identifies an attempt by its request and its number within the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AttemptKey {
    pub request: RequestKey,
    pub number: u16,
}

/// An event on the virtual clock.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SimulationEvent {
    /// A client sends a request to a router. The event also schedules the router's next client request.
    ClientRequest { router: usize },
    /// An attempt reaches its server.
    AttemptArrives(AttemptKey),
    /// The result of an attempt reaches its router.
    AttemptDone { attempt: AttemptKey, outcome: AttemptOutcome },
    /// A timer of a router expires.
    RouterTimer { router: usize },
    /// The result of a health check reaches its router.
    HealthCheckDone { router: usize, server: u32 },
    /// A server stops. It refuses connections until it starts again.
    ServerStops { server: u32 },
    /// A stopped server starts again.
    ServerStarts { server: u32 },
    /// The endpoint list reports the start of a server to a router.
    StartListed { router: usize, server: u32, started_at: Micros },
    /// A server stops answering until the given instant.
    ServerHangs { server: u32, until: Micros },
}

/// Sort key of an event in the queue. Events at the same instant keep the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Micros,
    sequence: u64,
}

/// Scheduled events in the order of their instants.
#[derive(Default)]
pub(crate) struct EventQueue {
    events: BTreeMap<EventKey, SimulationEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event at an instant.
    pub(crate) fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.last_sequence += 1;
        self.events.insert(EventKey { at, sequence: self.last_sequence }, event);
    }

    /// Removes and returns the next event that is due at or before `end`, with its instant.
    pub(crate) fn pop_until(&mut self, end: Micros) -> Option<(Micros, SimulationEvent)> {
        let first = self.events.first_entry().filter(|entry| entry.key().at <= end)?;
        let (key, event) = first.remove_entry();
        Some((key.at, event))
    }
}
