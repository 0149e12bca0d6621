//! Between the protocols and the decision module: the table of requests, events to the module,
//! actions from it. Knows no socket, no protocol and no subsystem beside the decisions; `W` is the front's own form of a
//! request, which is only handed back with each attempt. What happens is told to observers.

mod advice;
mod attempts;
mod classes;
mod command;
mod servers;

use crate::config::hash;
use crate::observe::{Adviser, CoreEvent, Observers};
use crate::stats::{End, Gauges, Stats};
use birchreach::*;
use birchreach_settings::Site;
use classes::Classes;
pub use command::{Answer, Ask, Attempt, Command, Line, Work};
use servers::Servers;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

struct Entry<W> {
    client: usize,
    class: ClassId,
    group: GroupId,
    work: W,
    /// Servers of other groups that may have a copy.
    guests: Vec<ServerId>,
    attempts: u16,
    /// Attempts that are out, and since when there was none.
    out: u16,
    idle_since: Micros,
    /// The attempt whose value is going on in pieces.
    passing: Option<Attempt>,
}

/// An attempt that owes the module its outcome.
struct Out {
    server: ServerId,
    class: ClassId,
    sent: Micros,
    copy: bool,
}

pub struct Core<W> {
    router: Router,
    requests: HashMap<RequestId, Entry<W>>,
    out: HashMap<Attempt, Out>,
    last_id: u64,
    pub stats: Stats,
    servers: Servers,
    classes: Classes,
    observers: Observers,
    /// Who knows of copies; nobody, unless the options say so.
    advisers: Vec<Rc<RefCell<dyn Adviser>>>,
    actions: Vec<Action>,
    commands: VecDeque<Command<W>>,
}

impl<W: Work> Core<W> {
    pub fn new(site: &Site, seed: u64, now: Micros) -> Core<W> {
        let mut actions = Vec::new();
        let router = Router::new(site.module.clone(), seed, now, &mut actions);
        let mut stats = Stats::default();
        let mut core = Core {
            router,
            classes: Classes::new(site, &mut stats),
            stats,
            servers: Servers::new(site),
            observers: Observers::default(),
            advisers: Vec::new(),
            requests: HashMap::new(),
            out: HashMap::new(),
            last_id: 0,
            actions,
            commands: VecDeque::new(),
        };
        core.carry_out(now);
        core
    }

    pub fn next(&mut self) -> Option<Command<W>> {
        self.commands.pop_front()
    }

    /// What is so just now.
    pub fn gauges(&self, now: Micros) -> Gauges {
        let skipped = self.servers.listed().filter(|id| self.router.is_avoided(now, *id)).count();
        Gauges { in_progress: self.requests.len(), known: self.servers.listed().count(), skipped }
    }

    pub fn open_requests(&self) -> usize {
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
                    let attempt = (request, AttemptNo(entry.attempts));
                    entry.attempts += 1;
                    entry.out += 1;
                    self.observers.tell(now, CoreEvent::Sent { server });
                    let copy = entry.guests.contains(&server);
                    self.out.insert(attempt, Out { server, class: entry.class, sent: now, copy });
                    let (work, until) = (entry.work.clone(), now + patience);
                    self.commands.push_back(Command::Start { attempt, server, work, until, copy });
                }
                Action::Reject { request, retry_after } => {
                    let come_back_ms = retry_after.and_then(|t| u64::try_from(t / 1000).ok());
                    self.answer(now, request, Answer::Refused { come_back_ms });
                }
                Action::Fail { request } => self.answer(now, request, Answer::Failed),
                Action::Cancel { request, attempt } => {
                    self.commands.push_back(Command::Stop { attempt: (request, attempt) });
                }
                Action::HealthCheck { server } => self.probe(now, server),
                // Never at once: what the module does when woken must not wake it again without end.
                Action::Timer { id, delay: after } => {
                    self.commands.push_back(Command::Wake { id, at: now + after.max(1) });
                }
                // The list is watched at all times, whether the module asks or not.
                Action::WatchEndpoints => {}
                Action::Log(note) => {
                    self.commands.push_back(Command::Log(Line::Module(note)));
                }
            }
        }
    }

    fn ended(&mut self, now: Micros, entry: &Entry<W>, end: End) {
        self.classes.ended(&mut self.stats, entry.class, end);
        if !self.classes.writes(entry.class) {
            self.observers.tell(now, CoreEvent::Read { group: entry.group, served: end == End::Served });
        }
    }

    fn answer(&mut self, now: Micros, request: RequestId, answer: Answer) {
        if let Some(entry) = self.requests.remove(&request) {
            let end = match answer {
                Answer::Served(_) | Answer::Passed => End::Served,
                Answer::Refused { .. } => End::Refused,
                Answer::Failed => End::Failed,
            };
            self.ended(now, &entry, end);
            self.commands.push_back(Command::Answer { client: entry.client, request, answer });
        }
    }

    /// A client's request; its answer will name `client`.
    pub fn request(&mut self, now: Micros, client: usize, ask: Ask, work: W) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let (class, group) = (ask.class, ask.group);
        let guests = self.advice(now, &ask, &work);
        let entry = Entry {
            client,
            class,
            group,
            work,
            guests: guests.iter().map(|candidate| candidate.server).collect(),
            attempts: 0,
            out: 0,
            idle_since: now,
            passing: None,
        };
        self.requests.insert(id, entry);
        let request = Request {
            id,
            class: ask.class,
            group: ask.group,
            tenant: TenantId(0),
            timeout: ask.patience,
            session: ask.session.map(SessionId),
            last_write_position: ask.after,
            copy_candidates: guests,
        };
        self.handle(now, Event::Request(request));
        id
    }

    /// The client left; no answer is owed.
    pub fn gone(&mut self, now: Micros, request: RequestId) {
        if self.requests.remove(&request).is_some() {
            self.handle(now, Event::ClientDisconnected { request });
        }
    }

    pub fn timer(&mut self, now: Micros, id: u32) {
        self.handle(now, Event::Timer { id });
    }
}

/// The number of a session, from its name.
pub fn session(name: &[u8]) -> u64 {
    hash(name)
}
