//! Event queue of the simulation.

use super::servers::{AttemptKey, Statement};
use birchreach::{AttemptOutcome, Micros};
use std::collections::BTreeMap;

/// The result of a statement, which a server sends back to the proxy.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatementResult {
    pub statement: Statement,
    pub server: u32,
    pub outcome: AttemptOutcome,
    /// Log position of the server when the result was sent.
    pub position: Micros,
}

/// What happens in the simulation when an entry of the [`EventQueue`] is due.
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
    /// All proxies do their periodic work.
    UpdateProxies,
}

/// Key that orders events in the queue. Events at the same time keep the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Micros,
    sequence: u64,
}

/// Pending events in order of time.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<EventKey, SimulationEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event that happens at the virtual time `at`.
    pub(super) fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.last_sequence += 1;
        self.events.insert(EventKey { at, sequence: self.last_sequence }, event);
    }

    /// Removes and returns the next event with its time, or `None` if no event is due by `end`.
    pub(super) fn pop_until(&mut self, end: Micros) -> Option<(Micros, SimulationEvent)> {
        let first = self.events.first_entry().filter(|entry| entry.key().at <= end)?;
        let (key, event) = first.remove_entry();
        Some((key.at, event))
    }
}
