//! Between the protocols and the decision module: the table of requests, events to the module,
//! actions from it. Knows no socket and no protocol; `W` is the front's own form of a request, which
//! is only handed back with each attempt.

use crate::config::hash;
use crate::discovery::{State, Update};
use crate::health::Watch;
use crate::lore::Lore;
use crate::stats::{End, Gauges, Stats};
use birchreach::*;
use birchreach_settings::Site;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

/// A request as any front may bring it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub class: ClassId,
    pub group: GroupId,
    pub session: Option<u64>,
    /// The position that a session read must see.
    pub after: Option<Micros>,
    /// How long from now the client still waits.
    pub patience: Micros,
}

/// A value as a database made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    pub bytes: Vec<u8>,
    /// In the databases' binary form, not as text.
    pub binary: bool,
}

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served(Value),
    /// Served: its value went on in pieces, and is whole now.
    Passed,
    /// Not served and never run, or harmless to repeat.
    Refused {
        come_back_ms: Option<u64>,
    },
    /// Not served; it may have run.
    Failed,
}

/// An attempt: its request and its number in it.
pub type Attempt = (RequestId, AttemptNo);

/// What a database's reply came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub ending: Ending,
    pub value: Option<Value>,
    pub note: Option<Note>,
    pub report: Option<Report>,
    /// No process listened there.
    pub refused: bool,
}

impl Reply {
    /// An ending of which the database said nothing.
    pub fn bare(ending: Ending) -> Reply {
        Reply { ending, value: None, note: None, report: None, refused: false }
    }

    /// No process listens there.
    pub fn refused() -> Reply {
        Reply { refused: true, ..Reply::bare(Ending::ConnectFailed) }
    }
}

/// What the loop is to do, in this order.
#[derive(Debug, PartialEq)]
pub enum Command<W> {
    Start {
        attempt: Attempt,
        server: ServerId,
        work: W,
        until: Micros,
    },
    Stop {
        attempt: Attempt,
    },
    Probe {
        server: ServerId,
    },
    Answer {
        client: usize,
        request: RequestId,
        answer: Answer,
    },
    /// A long value begins; its pieces follow, and then `Answer::Passed`, or the break.
    Begin {
        client: usize,
        request: RequestId,
        attempt: Attempt,
        length: usize,
    },
    Piece {
        client: usize,
        request: RequestId,
        bytes: Vec<u8>,
    },
    Break {
        client: usize,
        request: RequestId,
    },
    Wake {
        id: u32,
        at: Micros,
    },
    Log(Line),
}

/// Something to be told in the log.
#[derive(Debug, PartialEq, Eq)]
pub enum Line {
    /// A note of the decision module.
    Module(String),
    /// The list names a server for the first time; the module's notes call it by its number.
    Server { number: u32, uid: String, endpoint: String },
}

struct Entry<W> {
    client: usize,
    class: ClassId,
    group: GroupId,
    work: W,
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
}

/// A class by its number.
#[derive(Clone, Debug)]
struct Kind {
    name: String,
    rules: Class,
    /// Its row among the figures.
    row: usize,
    /// It was dropped, or replaced by another of its name: when its last requests will have come.
    until: Option<Micros>,
}

pub struct Core<W> {
    router: Router,
    zones: Vec<String>,
    requests: HashMap<RequestId, Entry<W>>,
    out: HashMap<Attempt, Out>,
    roster: HashMap<String, ServerId>,
    servers: HashMap<ServerId, Listed>,
    /// Servers named so far: a number is never given twice.
    named: u32,
    last_id: u64,
    pub stats: Stats,
    /// What balancers are told, where they are told anything.
    pub watch: Option<Watch>,
    /// What is known of servers, where proxies tell one another.
    pub lore: Option<Lore>,
    /// The classes by number, with those that are no more while requests of them may be open.
    kinds: Vec<Kind>,
    /// The module's settings but for its classes, and how many processes share them with this one.
    module: Settings,
    processes: u32,
    actions: Vec<Action>,
    commands: VecDeque<Command<W>>,
}

/// A server by the list: its name there, and where it listens.
struct Listed {
    uid: String,
    address: Option<SocketAddr>,
    group: GroupId,
    primary: Option<bool>,
    up: bool,
    boot_ms: u64,
    removed: bool,
}

/// A class that was dropped is taken for so long: its last requests are on their way.
const LAST_REQUESTS: Micros = 2_000_000;
/// All machines read one clock, but not at the same instant.
const SKEW: Micros = 1_000_000;

impl<W: Clone> Core<W> {
    pub fn new(site: &Site, seed: u64, now: Micros) -> Core<W> {
        let mut actions = Vec::new();
        let router = Router::new(site.module.clone(), seed, now, &mut actions);
        let mut stats = Stats::default();
        let kinds = site.class_names.iter().zip(&site.module.classes);
        let kinds = kinds.map(|(name, rules)| Kind {
            name: name.clone(),
            rules: rules.clone(),
            row: stats.class(name),
            until: None,
        });
        let kinds = kinds.collect();
        let mut core = Core {
            router,
            stats,
            watch: None,
            lore: None,
            kinds,
            module: site.module.clone(),
            processes: 1,
            zones: site.zones.clone(),
            requests: HashMap::new(),
            out: HashMap::new(),
            roster: HashMap::new(),
            servers: HashMap::new(),
            named: 0,
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

    /// Other settings are in force from now on. A number stands for one class and its rules for as long as
    /// anything of it is open; a class that is new, or has other rules, gets one that is free.
    pub fn settings(&mut self, now: Micros, site: &Site) {
        let mut used: HashSet<ClassId> = self.requests.values().map(|e| e.class).collect();
        used.extend(self.out.values().map(|o| o.class));
        for kind in &mut self.kinds {
            let same = |(name, rules): (&String, &Class)| *name == kind.name && *rules == kind.rules;
            let stays = site.class_names.iter().zip(&site.module.classes).any(same);
            kind.until = if stays { None } else { kind.until.or(Some(now + LAST_REQUESTS)) };
        }
        for (name, rules) in site.class_names.iter().zip(&site.module.classes) {
            if self.kinds.iter().any(|k| k.until.is_none() && k.name == *name) {
                continue;
            }
            let row = self.stats.class(name);
            let kind = Kind { name: name.clone(), rules: rules.clone(), row, until: None };
            let free = |(i, k): (usize, &Kind)| {
                k.until.is_some_and(|at| at <= now) && !used.iter().any(|id| usize::from(id.0) == i)
            };
            match self.kinds.iter().enumerate().position(free) {
                Some(i) => self.kinds[i] = kind,
                None => self.kinds.push(kind),
            }
        }
        self.zones.clone_from(&site.zones);
        self.module = site.module.clone();
        self.tell_settings(now);
    }

    /// So many processes share what this proxy may do: each is a router of its own.
    pub fn share(&mut self, now: Micros, processes: u32) {
        if std::mem::replace(&mut self.processes, processes) != processes {
            self.tell_settings(now);
        }
    }

    fn tell_settings(&mut self, now: Micros) {
        let classes = self.kinds.iter().map(|k| k.rules.clone()).collect();
        let routers = self.module.routers.saturating_mul(self.processes);
        let settings = Settings { classes, routers, ..self.module.clone() };
        self.handle(now, Event::Settings(Box::new(settings)));
    }

    /// The number and the rules of a class by its name, while requests of it are taken: dropped classes end a little later.
    pub fn class(&self, now: Micros, name: &str) -> Option<(ClassId, &Class)> {
        let live = |k: &&Kind| k.name == name && k.until.is_none_or(|at| now < at);
        let (i, kind) =
            self.kinds.iter().enumerate().filter(|(_, k)| live(k)).min_by_key(|(_, k)| k.until)?;
        Some((ClassId(u16::try_from(i).ok()?), &kind.rules))
    }

    /// Where session reads' requirements come from.
    pub fn tokens(&self) -> Tokens {
        self.module.tokens
    }

    /// Attempts that owe an outcome.
    pub fn attempts_out(&self) -> usize {
        self.out.len()
    }

    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// What is so just now.
    pub fn gauges(&self, now: Micros) -> Gauges {
        let listed = self.servers.iter().filter(|(_, s)| !s.removed);
        let skipped = listed.clone().filter(|(id, _)| self.router.avoids(now, **id)).count();
        Gauges { in_progress: self.requests.len(), known: listed.count(), skipped }
    }

    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server)?.address
    }

    /// The list names servers of this group; an unread list may name any.
    pub fn serves(&self, group: GroupId) -> bool {
        self.servers.is_empty() || self.servers.values().any(|s| s.group == group)
    }

    /// The server's name in the list, for the log.
    pub fn name(&self, server: ServerId) -> &str {
        self.servers.get(&server).map_or("?", |s| &s.uid)
    }

    fn handle(&mut self, now: Micros, event: Event) {
        self.router.handle(now, event, &mut self.actions);
        self.carry_out(now);
    }

    fn carry_out(&mut self, now: Micros) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { request, server, patience } => {
                    let Some(entry) = self.requests.get_mut(&request) else { continue };
                    let attempt = (request, AttemptNo(entry.attempts));
                    entry.attempts += 1;
                    entry.out += 1;
                    if let Some(watch) = &mut self.watch {
                        watch.sent(now, server);
                    }
                    self.out.insert(attempt, Out { server, class: entry.class, sent: now });
                    let (work, until) = (entry.work.clone(), now + patience);
                    self.commands.push_back(Command::Start { attempt, server, work, until });
                }
                Action::Refuse { request, retry_after } => {
                    let come_back_ms = retry_after.and_then(|t| u64::try_from(t / 1000).ok());
                    self.answer(now, request, Answer::Refused { come_back_ms });
                }
                Action::Fail { request } => self.answer(now, request, Answer::Failed),
                Action::Cancel { request, attempt } => {
                    self.commands.push_back(Command::Stop { attempt: (request, attempt) });
                }
                Action::Probe { server } => {
                    if let Some(watch) = &mut self.watch {
                        watch.sent(now, server);
                    }
                    self.commands.push_back(Command::Probe { server });
                }
                // Never at once: what the module does when woken must not wake it again without end.
                Action::Timer { id, after } => {
                    self.commands.push_back(Command::Wake { id, at: now + after.max(1) });
                }
                // The list is watched at all times, whether the module asks or not.
                Action::FollowList | Action::AskList => {}
                Action::Log(note) => {
                    self.commands.push_back(Command::Log(Line::Module(note)));
                }
            }
        }
    }

    fn ended(&mut self, now: Micros, entry: &Entry<W>, end: End) {
        if let Some(kind) = self.kinds.get(usize::from(entry.class.0)) {
            self.stats.ended(kind.row, end);
        }
        let write = self.writes(entry.class);
        if let Some(watch) = self.watch.as_mut().filter(|_| !write) {
            watch.read(now, entry.group, end == End::Served);
        }
    }

    /// Requests of this class go to the primary alone.
    fn writes(&self, class: ClassId) -> bool {
        self.kinds.get(usize::from(class.0)).is_some_and(|kind| kind.rules.need == Need::Write)
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
        let entry = Entry { client, class, group, work, attempts: 0, out: 0, idle_since: now, passing: None };
        self.requests.insert(id, entry);
        let request = Request {
            id,
            class: ask.class,
            group: ask.group,
            tenant: TenantId(0),
            patience: ask.patience,
            session: ask.session.map(SessionId),
            written: ask.after,
        };
        self.handle(now, Event::Request(request));
        id
    }

    /// The client left; no answer is owed.
    pub fn gone(&mut self, now: Micros, request: RequestId) {
        if self.requests.remove(&request).is_some() {
            self.handle(now, Event::Gone { request });
        }
    }

    /// May this attempt still be written? Opening its connection took time, and what was told since
    /// may forbid it.
    pub fn may_write(&self, now: Micros, attempt: Attempt) -> bool {
        self.router.may_write(now, attempt.0, attempt.1)
    }

    /// A long value begins to come. False: its request has another answer.
    pub fn begun(&mut self, now: Micros, attempt: Attempt, length: usize) -> bool {
        let request = attempt.0;
        let Some(entry) = self.requests.get_mut(&request).filter(|e| e.passing.is_none()) else {
            return false;
        };
        entry.passing = Some(attempt);
        self.commands.push_back(Command::Begin { client: entry.client, request, attempt, length });
        let server = self.out.get(&attempt).map(|out| out.server);
        if let (Some(watch), Some(server)) = (&mut self.watch, server) {
            watch.alive(now, server);
        }
        self.handle(now, Event::Started { request, attempt: attempt.1 });
        true
    }

    /// A piece of it, which goes on as it is.
    pub fn piece(&mut self, attempt: Attempt, bytes: Vec<u8>) {
        let request = attempt.0;
        if let Some(entry) = self.requests.get(&request).filter(|e| e.passing == Some(attempt)) {
            self.commands.push_back(Command::Piece { client: entry.client, request, bytes });
        }
    }

    /// An attempt's one outcome.
    pub fn outcome(&mut self, now: Micros, attempt: Attempt, reply: Reply) {
        let Some(Out { server, sent, class }) = self.out.remove(&attempt) else { return };
        let (request, number) = attempt;
        let write = self.writes(class);
        if let Some(watch) = &mut self.watch {
            watch.ended(now, server, write, &reply);
        }
        self.saw(now, server, &reply);
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.out = entry.out.saturating_sub(1);
            if entry.out == 0 {
                entry.idle_since = now;
            }
        }
        match self.requests.get(&request).map(|entry| (entry.passing, entry.client)) {
            Some((Some(passing), _)) if passing == attempt && reply.ending == Ending::Ok => {
                self.answer(now, request, Answer::Passed);
            }
            // What has gone on cannot be taken back, nor sent again: only broken off, for all to see.
            Some((Some(passing), client)) if passing == attempt => {
                if let Some(entry) = self.requests.remove(&request) {
                    self.ended(now, &entry, End::Failed);
                }
                self.commands.push_back(Command::Break { client, request });
            }
            Some((None, _)) => {
                if let Some(value) = reply.value.filter(|_| reply.ending == Ending::Ok) {
                    self.answer(now, request, Answer::Served(value));
                }
            }
            _ => {}
        }
        let outcome = Outcome {
            request,
            attempt: number,
            server,
            ending: reply.ending,
            spent: now - sent,
            finished: !self.requests.contains_key(&request),
            note: reply.note.map(|n| Note { position: n.position.filter(|at| *at <= now + SKEW), ..n }),
            report: credible(reply.report, now),
        };
        self.handle(now, Event::Outcome(outcome));
    }

    pub fn probed(&mut self, now: Micros, server: ServerId, reply: &Reply) {
        if let Some(watch) = &mut self.watch {
            watch.ended(now, server, false, reply);
        }
        self.saw(now, server, reply);
        let report = credible(reply.report, now);
        self.handle(now, Event::Probed { server, ending: reply.ending, report });
    }

    /// A probe came back that was sent for the balancers' sake; the decisions did not ask for it.
    pub fn checked(&mut self, now: Micros, server: ServerId, reply: &Reply) {
        if let Some(watch) = &mut self.watch {
            watch.checked(now, server, reply);
        }
    }

    /// What a server said of itself is known from now on, where proxies tell one another.
    fn saw(&mut self, now: Micros, server: ServerId, reply: &Reply) {
        if let (Some(lore), Some(listed)) = (&mut self.lore, self.servers.get(&server)) {
            lore.saw(now, &listed.uid, reply);
        }
    }

    /// Another proxy tells what it knows, asked at this time. The decisions hear of positions; who is said to be a primary
    /// is asked.
    pub fn heard(&mut self, now: Micros, asked_at: Micros, told: &birchreach_knowledge::Told) {
        let Some(lore) = &mut self.lore else { return };
        let learnt = lore.hear(now, asked_at, told);
        for (uid, report) in learnt.reports {
            if let (Some(&server), Some(report)) = (self.roster.get(&uid), credible(Some(report), now)) {
                self.handle(now, Event::Probed { server, ending: Ending::Ok, report: Some(report) });
            }
        }
        for uid in learnt.ask.iter().filter(|_| self.module.may_probe) {
            if let Some(&server) = self.roster.get(uid) {
                if let Some(watch) = &mut self.watch {
                    watch.sent(now, server);
                }
                self.commands.push_back(Command::Probe { server });
            }
        }
    }

    /// A connection came up: its server lives.
    pub fn alive(&mut self, now: Micros, server: ServerId) {
        if let Some(watch) = &mut self.watch {
            watch.alive(now, server);
        }
    }

    /// Looks how long writes have been without an attempt out, and how many requests are.
    pub fn look_at_held(&mut self, now: Micros) -> usize {
        let idle = self.requests.values().filter(|e| e.out == 0);
        let held = idle.clone().count();
        let writes =
            idle.filter(|e| self.writes(e.class)).map(|e| (e.group, e.idle_since)).collect::<Vec<_>>();
        if let Some(watch) = &mut self.watch {
            watch.held(now, writes.into_iter());
        }
        held
    }

    pub fn timer(&mut self, now: Micros, id: u32) {
        self.handle(now, Event::Timer { id });
    }

    /// News of the list. Returns the servers that must not be reached as before: they moved, or left.
    pub fn members(&mut self, now: Micros, update: Update) -> Vec<ServerId> {
        let mut moved = Vec::new();
        let mut members = Vec::new();
        let mut told = Vec::new();
        if update.all {
            // Whom a whole list does not name has left.
            self.servers.values_mut().for_each(|s| s.removed = true);
        }
        for t in update.targets {
            let next = ServerId(self.named);
            let server = *self.roster.entry(t.uid.clone()).or_insert(next);
            if server == next {
                let (uid, endpoint) = (t.uid.clone(), t.endpoint.clone());
                self.commands.push_back(Command::Log(Line::Server { number: server.0, uid, endpoint }));
                self.named += 1;
            }
            let address = t.endpoint.parse().ok();
            let group = GroupId(t.group);
            let listed = self.servers.entry(server).or_insert(Listed {
                uid: t.uid,
                address: None,
                group,
                primary: None,
                up: false,
                boot_ms: 0,
                removed: false,
            });
            (listed.group, listed.primary, listed.up) = (group, t.primary, t.state == State::Up);
            listed.boot_ms = t.boot_ms;
            listed.removed = t.state == State::Removed;
            if listed.address != address || t.state == State::Removed {
                moved.push(server);
                listed.address = address.or(listed.address);
            }
            told.push((server, group, t.primary, t.state));
            let zone = self.zones.iter().position(|z| *z == t.zone);
            members.push(Member {
                server,
                group,
                zone: ZoneId(zone.and_then(|z| u16::try_from(z).ok()).unwrap_or(u16::MAX)),
                state: match t.state {
                    State::Up => MemberState::Ready,
                    State::Draining => MemberState::Draining,
                    State::Removed => MemberState::Gone,
                },
                started: i64::try_from(t.boot_ms)
                    .ok()
                    .filter(|ms| *ms > 0)
                    .and_then(|ms| ms.checked_mul(1000)),
                weight: t.weight,
                primary: t.primary == Some(true),
            });
        }
        self.name_in_lore();
        if let Some(watch) = &mut self.watch {
            for (server, group, primary, state) in told.iter().filter(|t| t.3 != State::Removed) {
                watch.listed(now, *server, *group, *primary, *state == State::Up);
            }
            let left = self.servers.iter().filter(|(_, s)| s.removed);
            left.for_each(|(id, _)| watch.unlisted(now, *id));
        }
        self.handle(now, Event::Members(Members { complete: update.all, members }));
        // Servers that left long ago are forgotten here when the module has forgotten them.
        let router = &self.router;
        self.servers.retain(|id, _| router.knows(*id));
        self.roster.retain(|_, id| router.knows(*id));
        moved
    }
}

impl<W: Clone> Core<W> {
    /// Balancers are told from now on, and first of what the list said so far.
    pub fn watch(&mut self, now: Micros, mut watch: Watch) {
        for (id, s) in self.servers.iter().filter(|(_, s)| !s.removed) {
            watch.listed(now, *id, s.group, s.primary, s.up);
        }
        self.watch = Some(watch);
    }

    /// Facts are kept from now on.
    pub fn learn(&mut self, lore: Lore) {
        self.lore = Some(lore);
        self.name_in_lore();
    }

    /// Facts are kept of the servers that the list names, and of their present boots alone.
    fn name_in_lore(&mut self) {
        let Some(lore) = &mut self.lore else { return };
        for listed in self.servers.values() {
            if listed.removed {
                lore.knowledge.unlisted(&listed.uid);
            } else {
                let named = birchreach_knowledge::Listed { boot_ms: listed.boot_ms, group: listed.group.0 };
                lore.knowledge.listed(&listed.uid, named);
            }
        }
    }
}

/// A position that is yet to come is none, and a report that names one is spoilt.
fn credible(report: Option<Report>, now: Micros) -> Option<Report> {
    report.filter(|r| r.position.is_none_or(|at| at <= now + SKEW))
}

/// The number of a session, from its name.
pub fn session(name: &[u8]) -> u64 {
    hash(name)
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::Value as Json;

    #[test]
    fn databases_that_left_long_ago_are_forgotten_and_numbers_are_not_given_twice() {
        let config: Json = serde_json::from_str(include_str!("../tests/exchanges/config.json")).unwrap();
        let site = birchreach_settings::from_value(&config["settings"]).unwrap();
        let mut core: Core<()> = Core::new(&site, 1, 0);
        for n in 0..100u32 {
            let target = |uid: String, state: &str| format!(r#"{{"uid": "{uid}", "state": "{state}"}}"#);
            let old = target(format!("s-{}", i64::from(n) - 1), "removed");
            let new = target(format!("s-{n}"), "up");
            let list = format!(r#"{{"rev": {n}, "all": false, "targets": [{old}, {new}]}}"#);
            let update = Update::from_json(&serde_json::from_str(&list).unwrap()).unwrap();
            core.members(Micros::from(n) * 1_000_000, update);
            assert_eq!(core.roster[&format!("s-{n}")], ServerId(n + 1), "s--1 was the first");
        }
        assert!(core.servers.len() < 30 && core.roster.len() < 30, "{} kept", core.servers.len());
        assert_eq!(core.name(ServerId(100)), "s-99");
    }
}
