//! The queue of what happens on the virtual clock.

use super::servers::{AttemptKey, Statement};
use birchreach::{AttemptOutcome, Micros};
use std::collections::BTreeMap;

/// The result of a statement, on its way back to the proxy.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatementResult {
    pub statement: Statement,
    pub server: u32,
    pub outcome: AttemptOutcome,
    /// The position of the server's log.
    pub position: Micros,
}

/// What happens at an instant.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimulationEvent {
    ClientRequest {
        proxy: usize,
    },
    StatementArrives {
        server: u32,
        statement: Statement,
    },
    StatementDone {
        server: u32,
        statement: Statement,
    },
    ResultArrives(StatementResult),
    RouterTimer {
        proxy: usize,
    },
    AttemptTimeout(AttemptKey),
    HealthCheckDone {
        proxy: usize,
        server: u32,
    },
    /// The periodic work of all proxies.
    UpdateProxies,
}

/// Where an event is in the queue. Events of one instant keep the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventPosition {
    at: Micros,
    sequence: u64,
}

/// Events that are still to come.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<EventPosition, SimulationEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event for an instant.
    pub(super) fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.last_sequence += 1;
        self.events.insert(EventPosition { at, sequence: self.last_sequence }, event);
    }

    /// Removes the next event that is due by `end`, with its instant.
    pub(super) fn pop_until(&mut self, end: Micros) -> Option<(Micros, SimulationEvent)> {
        let first = self.events.first_entry().filter(|entry| entry.key().at <= end)?;
        let (position, event) = first.remove_entry();
        Some((position.at, event))
    }
}
