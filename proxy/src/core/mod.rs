//! Between the protocols and the decision module: the table of requests, events to the module,
//! actions from it. Knows no socket, no protocol and no subsystem beside the decisions; `W` is the front's own form of a
//! request, which is only handed back with each attempt. What happens is told to observers.

mod advice;
mod attempts;
mod classes;
mod command;
mod servers;

use crate::config::hash;
use crate::observe::{CopyLocator, CoreEvent, Observers};
use crate::stats::{Gauges, RequestResult, Stats};
use birchreach::*;
use birchreach_settings::DeploymentSettings;
use classes::Classes;
pub use command::{Answer, AttemptId, Command, LogRecord, RequestPayload, RoutingRequest};
use servers::Servers;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

struct PendingRequest<W> {
    client: usize,
    class: ClassId,
    group: GroupId,
    payload: W,
    /// Servers of other groups that may have a copy.
    copy_holders: Vec<ServerId>,
    attempts_started: u16,
    /// Attempts that are out, and since when there was none.
    attempts_in_flight: u16,
    idle_since: Micros,
    /// The attempt whose value is going on in pieces.
    streaming_attempt: Option<AttemptId>,
}

/// An attempt that owes the module its outcome.
struct InFlightAttempt {
    server: ServerId,
    class: ClassId,
    sent_at: Micros,
    from_copy: bool,
}

pub struct Core<W> {
    router: Router,
    requests: HashMap<RequestId, PendingRequest<W>>,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    last_id: u64,
    pub stats: Stats,
    servers: Servers,
    classes: Classes,
    observers: Observers,
    /// Who knows of copies; nobody, unless the options say so.
    copy_locators: Vec<Rc<RefCell<dyn CopyLocator>>>,
    actions: Vec<Action>,
    commands: VecDeque<Command<W>>,
}

impl<W: RequestPayload> Core<W> {
    pub fn new(site: &DeploymentSettings, seed: u64, now: Micros) -> Core<W> {
        let mut actions = Vec::new();
        let router = Router::new(site.routing.clone(), seed, now, &mut actions);
        let mut stats = Stats::default();
        let mut core = Core {
            router,
            classes: Classes::new(site, &mut stats),
            stats,
            servers: Servers::new(site),
            observers: Observers::default(),
            copy_locators: Vec::new(),
            requests: HashMap::new(),
            in_flight: HashMap::new(),
            last_id: 0,
            actions,
            commands: VecDeque::new(),
        };
        core.carry_out(now);
        core
    }

    pub fn next_command(&mut self) -> Option<Command<W>> {
        self.commands.pop_front()
    }

    /// What is so just now.
    pub fn gauges(&self, now: Micros) -> Gauges {
        let skipped = self.servers.listed().filter(|id| self.router.is_avoided(now, *id)).count();
        Gauges { in_progress: self.requests.len(), known: self.servers.listed().count(), skipped }
    }

    pub fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    fn handle(&mut self, now: Micros, event: Event) {
        self.router.handle(now, event, &mut self.actions);
        self.carry_out(now);
    }

    fn carry_out(&mut self, now: Micros) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { request, server, timeout: patience } => {
                    let Some(entry) = self.requests.get_mut(&request) else { continue };
                    let attempt = AttemptId { request, number: AttemptNo(entry.attempts_started) };
                    entry.attempts_started += 1;
                    entry.attempts_in_flight += 1;
                    self.observers.notify(now, CoreEvent::AttemptSent { server });
                    let copy = entry.copy_holders.contains(&server);
                    self.in_flight.insert(
                        attempt,
                        InFlightAttempt { server, class: entry.class, sent_at: now, from_copy: copy },
                    );
                    let (work, until) = (entry.payload.clone(), now + patience);
                    self.commands.push_back(Command::StartAttempt {
                        attempt,
                        server,
                        payload: work,
                        deadline: until,
                        from_copy: copy,
                    });
                }
                Action::Reject { request, retry_after } => {
                    let come_back_ms = retry_after.and_then(|t| u64::try_from(t / 1000).ok());
                    self.answer(now, request, Answer::Rejected { retry_after_ms: come_back_ms });
                }
                Action::Fail { request } => self.answer(now, request, Answer::Failed),
                Action::Cancel { request, attempt } => {
                    self.commands.push_back(Command::CancelAttempt {
                        attempt: AttemptId { request, number: attempt },
                    });
                }
                Action::HealthCheck { server } => self.probe(now, server),
                // Never at once: what the module does when woken must not wake it again without end.
                Action::Timer { id, delay: after } => {
                    self.commands.push_back(Command::SetTimer { id, at: now + after.max(1) });
                }
                // The list is watched at all times, whether the module asks or not.
                Action::WatchEndpoints => {}
                Action::Log(note) => {
                    self.commands.push_back(Command::Log(LogRecord::RoutingNote(note)));
                }
            }
        }
    }

    fn ended(&mut self, now: Micros, entry: &PendingRequest<W>, end: RequestResult) {
        self.classes.ended(&mut self.stats, entry.class, end);
        if !self.classes.writes(entry.class) {
            self.observers.notify(
                now,
                CoreEvent::ReadFinished { group: entry.group, served: end == RequestResult::Served },
            );
        }
    }

    fn answer(&mut self, now: Micros, request: RequestId, answer: Answer) {
        if let Some(entry) = self.requests.remove(&request) {
            let end = match answer {
                Answer::Served(_) | Answer::Streamed => RequestResult::Served,
                Answer::Rejected { .. } => RequestResult::Rejected,
                Answer::Failed => RequestResult::Failed,
            };
            self.ended(now, &entry, end);
            self.commands.push_back(Command::Answer { client: entry.client, request, answer });
        }
    }

    /// A client's request; its answer will name `client`.
    pub fn request(&mut self, now: Micros, client: usize, ask: RoutingRequest, work: W) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let (class, group) = (ask.class, ask.group);
        let guests = self.locate_copies(now, &ask, &work);
        let entry = PendingRequest {
            client,
            class,
            group,
            payload: work,
            copy_holders: guests.iter().map(|candidate| candidate.server).collect(),
            attempts_started: 0,
            attempts_in_flight: 0,
            idle_since: now,
            streaming_attempt: None,
        };
        self.requests.insert(id, entry);
        let request = Request {
            id,
            class: ask.class,
            group: ask.group,
            tenant: TenantId(0),
            timeout: ask.timeout,
            session: ask.session.map(SessionId),
            last_write_position: ask.read_after_position,
            copy_candidates: guests,
        };
        self.handle(now, Event::Request(request));
        id
    }

    /// The client left; no answer is owed.
    pub fn client_disconnected(&mut self, now: Micros, request: RequestId) {
        if self.requests.remove(&request).is_some() {
            self.handle(now, Event::ClientDisconnected { request });
        }
    }

    pub fn timer_fired(&mut self, now: Micros, id: u32) {
        self.handle(now, Event::Timer { id });
    }
}

/// The number of a session, from its name.
pub fn session(name: &[u8]) -> u64 {
    hash(name)
}
