//! The core of the proxy, which connects the protocol front ends and the event loop to the router.
//!
//! The core keeps the tables of pending requests and of attempts in flight. It translates what happens into events for the
//! router, and the router's actions into commands for the event loop. It depends on no socket, on no protocol and on none of the
//! subsystems that observe it. `P` is the front end's form of a request, which the core returns with each attempt.

mod actions;
mod attempts;
mod classes;
mod command;
mod confirmed_roles;
mod copies;
mod endpoints;
mod health_checks;
mod requests;
mod server_table;
mod session_writes;

use crate::observe::{CopyLocator, Observers};
use crate::stats::{Gauges, Stats};
use birchreach::{Action, ClassId, Event, GroupId, Micros, RequestId, Role, Router, ServerId, SessionId};
use birchreach_settings::DeploymentSettings;
use classes::ClassTable;
pub(crate) use command::{
    Answer, AttemptId, ClientKey, Command, LogRecord, RequestPayload, RoutingRequest, RoutingTimerId,
};
use rustc_hash::FxHashMap;

pub(crate) use requests::session_id;
use server_table::ServerTable;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Maximum difference between the clocks of two machines. Positions up to this far in the future are accepted.
const MAX_CLOCK_SKEW_MICROS: Micros = 1_000_000;

/// A request without a final answer.
struct PendingRequest<P> {
    client: ClientKey,
    class: ClassId,
    group: GroupId,
    session: Option<SessionId>,
    payload: P,
    /// Servers of other groups that may hold a copy of the requested data.
    copy_holders: Vec<ServerId>,
    deadline: Micros,
    attempts_started: u16,
    attempts_in_flight: u16,
    /// Time since which no attempt has been in flight. Meaningful only while no attempt is in flight.
    idle_since: Micros,
    /// The response that is being streamed to the client.
    streamed_response: Option<StreamedResponse>,
}

/// A response that is being streamed to the client of a request.
#[derive(Clone, Copy)]
struct StreamedResponse {
    attempt: AttemptId,
    /// Bytes of the value that have not been forwarded.
    remaining_bytes: usize,
}

/// An attempt for whose result the router waits.
struct InFlightAttempt {
    server: ServerId,
    class: ClassId,
    session: Option<SessionId>,
    sent_at: Micros,
    from_copy: bool,
}

/// The pending requests, and the router that decides how they are served.
pub(crate) struct Core<P> {
    router: Router,
    requests: FxHashMap<RequestId, PendingRequest<P>>,
    in_flight: FxHashMap<AttemptId, InFlightAttempt>,
    last_request_id: u64,
    /// Counters reported to operators.
    pub stats: Stats,
    servers: ServerTable,
    classes: ClassTable,
    observers: Observers,
    copy_locators: Vec<Rc<RefCell<dyn CopyLocator>>>,
    /// Roles that servers confirmed to another process of this proxy, by uid, while this process does not know the servers.
    unlisted_roles: HashMap<String, (Role, Micros)>,
    /// Whether another process of this proxy may answer writes.
    has_other_processes: bool,
    actions: Vec<Action>,
    commands: VecDeque<Command<P>>,
}

impl<P: RequestPayload> Core<P> {
    /// Creates a core without servers or requests. `seed` initializes the random number generator of the router.
    pub(crate) fn new(settings: &DeploymentSettings, seed: u64, now: Micros) -> Core<P> {
        let mut actions = Vec::new();
        let router = Router::new(settings.routing.clone(), seed, now, &mut actions);
        let mut stats = Stats::default();
        let classes = ClassTable::new(settings, &mut stats);
        let mut core = Core {
            router,
            requests: FxHashMap::default(),
            in_flight: FxHashMap::default(),
            last_request_id: 0,
            stats,
            servers: ServerTable::new(settings),
            classes,
            observers: Observers::default(),
            copy_locators: Vec::new(),
            unlisted_roles: HashMap::new(),
            has_other_processes: false,
            actions,
            commands: VecDeque::new(),
        };
        core.execute_actions(now);
        core
    }

    /// Removes and returns the oldest command for the event loop.
    pub(crate) fn next_command(&mut self) -> Option<Command<P>> {
        self.commands.pop_front()
    }

    /// Returns the present values of the gauges.
    pub(crate) fn gauges(&self, now: Micros) -> Gauges {
        let is_out_of_rotation = |server: &ServerId| self.router.is_out_of_rotation(now, *server);
        Gauges {
            in_progress: self.requests.len(),
            listed_databases: self.servers.listed_servers().count(),
            databases_out_of_rotation: self.servers.listed_servers().filter(is_out_of_rotation).count(),
        }
    }

    /// Returns the number of requests without a final answer.
    pub(crate) fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Handles the expiry of a timer that [`Command::SetTimer`] set.
    pub(crate) fn timer_fired(&mut self, now: Micros, id: RoutingTimerId) {
        self.handle(now, Event::Timer { id: id.0 });
    }

    /// Passes an event to the router and executes the actions that the router returns.
    fn handle(&mut self, now: Micros, event: Event) {
        self.router.handle(now, event, &mut self.actions);
        self.execute_actions(now);
    }
}
