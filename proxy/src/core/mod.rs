//! The proxy's core: connects protocol front ends and the event loop to the router.
//!
//! It has the tables of pending requests and of attempts in flight, translates what happens into events of the router, and the
//! router's actions into commands for the event loop. It depends on no socket, no protocol and none of the subsystems that observe
//! it. `P` is the front end's own form of a request, which is returned with each attempt.

mod actions;
mod attempts;
mod classes;
mod command;
mod copies;
mod endpoints;
mod health_checks;
mod requests;
mod server_table;

use crate::observe::{CopyLocator, Observers};
use crate::stats::{Gauges, Stats};
use birchreach::{Action, ClassId, Event, GroupId, Micros, RequestId, Router, ServerId};
use birchreach_settings::DeploymentSettings;
use classes::ClassTable;
pub(crate) use command::{
    Answer, AttemptId, ClientKey, Command, LogRecord, RequestPayload, RoutingRequest, RoutingTimerId,
};

pub(crate) use requests::session_id;
use server_table::ServerTable;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// The most that machines' clocks may differ: positions up to this far in the future are accepted.
const MAX_CLOCK_SKEW_MICROS: Micros = 1_000_000;

/// A request without a final answer.
struct PendingRequest<P> {
    client: ClientKey,
    class: ClassId,
    group: GroupId,
    payload: P,
    /// Servers of other groups that may hold a copy of the data.
    copy_holders: Vec<ServerId>,
    attempts_started: u16,
    attempts_in_flight: u16,
    /// Since when no attempt is in flight; meaningful only while none is.
    idle_since: Micros,
    /// The attempt whose response is being streamed to the client.
    streaming_attempt: Option<AttemptId>,
}

/// An attempt whose result the router waits for.
struct InFlightAttempt {
    server: ServerId,
    class: ClassId,
    sent_at: Micros,
    from_copy: bool,
}

/// The pending requests, and the router that decides about them.
pub(crate) struct Core<P> {
    router: Router,
    requests: HashMap<RequestId, PendingRequest<P>>,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    last_request_id: u64,
    /// Counters reported to operators.
    pub stats: Stats,
    servers: ServerTable,
    classes: ClassTable,
    observers: Observers,
    copy_locators: Vec<Rc<RefCell<dyn CopyLocator>>>,
    actions: Vec<Action>,
    commands: VecDeque<Command<P>>,
}

impl<P: RequestPayload> Core<P> {
    /// A core without servers or requests.
    pub(crate) fn new(settings: &DeploymentSettings, seed: u64, now: Micros) -> Core<P> {
        let mut actions = Vec::new();
        let router = Router::new(settings.routing.clone(), seed, now, &mut actions);
        let mut stats = Stats::default();
        let classes = ClassTable::new(settings, &mut stats);
        let mut core = Core {
            router,
            requests: HashMap::new(),
            in_flight: HashMap::new(),
            last_request_id: 0,
            stats,
            servers: ServerTable::new(settings),
            classes,
            observers: Observers::default(),
            copy_locators: Vec::new(),
            actions,
            commands: VecDeque::new(),
        };
        core.execute_actions(now);
        core
    }

    /// The next command for the event loop.
    pub(crate) fn next_command(&mut self) -> Option<Command<P>> {
        self.commands.pop_front()
    }

    /// The gauges for operators.
    pub(crate) fn gauges(&self, now: Micros) -> Gauges {
        let skipped =
            self.servers.present().filter(|server| self.router.is_out_of_rotation(now, *server)).count();
        Gauges { in_progress: self.requests.len(), known: self.servers.present().count(), skipped }
    }

    /// Requests without a final answer.
    pub(crate) fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    /// A timer of the router expired.
    pub(crate) fn timer_fired(&mut self, now: Micros, id: RoutingTimerId) {
        self.handle(now, Event::Timer { id: id.0 });
    }

    /// Passes an event to the router, and carries out its actions.
    fn handle(&mut self, now: Micros, event: Event) {
        self.router.handle(now, event, &mut self.actions);
        self.execute_actions(now);
    }
}
