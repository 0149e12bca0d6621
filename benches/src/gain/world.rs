//! Requests, databases and proxies on one virtual clock.

use super::proxies::{HOT, Proxy, WRITES};
use super::servers::{Call, GROUPS, Job, LAG, MEMBERS, Servers};
use birchreach::{
    AttemptNo, AttemptOutcome, AttemptResult, Event, LoadReport, RequestId, Role, ServerId, ServerStatus,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Off,
    On,
    Oracle,
}

/// Reads and writes a second of every group beside the hot key's.
pub(super) const READS_PER_S: f64 = 100.0;
pub(super) const WRITES_PER_S: f64 = 10.0;
/// One way between a proxy and a database.
pub(super) const WAY: i64 = 500;
pub(super) const STEP: i64 = 50_000;

#[derive(Clone, Copy, Debug)]
pub(super) enum Happens {
    Arrives(u32, Call),
    Done(u32, Call),
    /// An attempt's answer, and how it ended.
    Ends(Call, u32, AttemptOutcome, i64),
    Timer(usize),
    Late(usize, u64, u16),
    Probed(usize, u32),
    Asked(usize),
    Turn,
}

pub(super) struct Open {
    pub(super) class: u16,
    pub(super) group: u32,
    pub(super) sent: i64,
    pub(super) attempts: HashMap<u16, (u32, i64)>,
    pub(super) copy: bool,
}

pub struct World {
    pub(super) mode: Mode,
    pub(super) now: i64,
    pub(super) rng: fastrand::Rng,
    pub(super) proxies: Vec<Proxy>,
    shares: Vec<f64>,
    pub(super) servers: Servers,
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    events: HashMap<u64, Happens>,
    pub(super) number: u64,
    pub(super) open: HashMap<(usize, u64), Open>,
    pub(super) hot: f64,
    pub cut: bool,
    /// Worth served and asked for, of the hot group.
    pub worth: (f64, f64),
    /// Copies written, reads from copies, misses.
    pub copies: [u64; 3],
}

impl World {
    pub fn new(mode: Mode, proxies: usize, seed: u64, hot: f64) -> World {
        let now = 1_000_000_000_000;
        let mut rng = fastrand::Rng::with_seed(seed);
        let shares: Vec<f64> = (0..proxies).map(|_| 0.2 - rng.f64().ln()).collect();
        let sum: f64 = shares.iter().sum();
        let mut world = World {
            mode,
            now,
            proxies: (0..proxies).map(|n| Proxy::new(n, proxies, seed * 1_000 + n as u64, now)).collect(),
            shares: shares.iter().map(|s| s / sum).collect(),
            rng,
            servers: Servers::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            number: 0,
            open: HashMap::new(),
            hot,
            cut: false,
            worth: (0.0, 0.0),
            copies: [0; 3],
        };
        (0..proxies).for_each(|n| world.next_ask(n));
        world.at(now + STEP, Happens::Turn);
        world
    }

    pub(super) fn at(&mut self, at: i64, what: Happens) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number)));
        self.events.insert(self.number, what);
    }

    fn rate(&self, n: usize) -> f64 {
        ((READS_PER_S + WRITES_PER_S) * f64::from(GROUPS) + self.hot) * self.shares[n]
    }

    fn next_ask(&mut self, n: usize) {
        let wait = -self.rng.f64().max(1e-12).ln() / self.rate(n) * 1e6;
        self.at(self.now + wait as i64, Happens::Asked(n));
    }

    pub fn pass(&mut self, span: i64) {
        let end = self.now + span;
        while let Some(&Reverse((at, number))) = self.queue.peek().filter(|Reverse((at, _))| *at <= end) {
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(what) = self.events.remove(&number) {
                self.event(what);
            }
        }
        self.now = end;
    }

    fn event(&mut self, what: Happens) {
        match what {
            Happens::Asked(n) => {
                self.ask(n);
                self.next_ask(n);
            }
            Happens::Arrives(server, call) => match self.servers.arrive(self.now, server, call) {
                Ok(Some(at)) => self.at(at, Happens::Done(server, call)),
                Ok(None) => {}
                Err(()) => self.ends(call, server, AttemptOutcome::Overloaded),
            },
            Happens::Done(server, call) => {
                if let Some((next, at)) = self.servers.done(self.now, server) {
                    self.at(at, Happens::Done(server, next));
                }
                let ending = match call.job {
                    Job::CopyRead(needed) => {
                        let has =
                            self.mode == Mode::Oracle || self.servers.copy(self.now, server) >= Some(needed);
                        self.copies[if has { 1 } else { 2 }] += 1;
                        if has { AttemptOutcome::Ok } else { AttemptOutcome::Ineligible }
                    }
                    _ => AttemptOutcome::Ok,
                };
                self.ends(call, server, ending);
            }
            Happens::Ends(call, server, ending, position) => self.ended(call, server, ending, position),
            Happens::Timer(n) => self.feed(n, Event::Timer { id: 0 }),
            Happens::Late(n, request, attempt) => self.late(n, request, attempt),
            Happens::Probed(n, server) => {
                let role = if server.is_multiple_of(MEMBERS) { Role::Primary } else { Role::Replica };
                let report = Some(LoadReport { position: Some(self.position(server)), role: Some(role) });
                self.feed(
                    n,
                    Event::HealthCheckCompleted {
                        server: ServerId(server),
                        outcome: AttemptOutcome::Ok,
                        load_report: report,
                    },
                );
            }
            Happens::Turn => {
                (0..self.proxies.len()).for_each(|n| self.turn(n));
                self.at(self.now + STEP, Happens::Turn);
            }
        }
    }

    fn position(&self, server: u32) -> i64 {
        if server.is_multiple_of(MEMBERS) { self.now - 1 } else { self.now - LAG }
    }

    fn ends(&mut self, call: Call, server: u32, ending: AttemptOutcome) {
        let position = self.position(server);
        self.at(self.now + WAY, Happens::Ends(call, server, ending, position));
    }

    /// An attempt's time is over.
    fn late(&mut self, n: usize, request: u64, attempt: u16) {
        let Some(open) = self.open.get_mut(&(n, request)) else { return };
        let Some((server, sent)) = open.attempts.get(&attempt).copied().filter(|a| a.0 != u32::MAX) else {
            return;
        };
        open.attempts.insert(attempt, (u32::MAX, sent));
        self.outcome(n, request, attempt, server, sent, AttemptOutcome::Timeout, None);
    }

    fn ended(&mut self, call: Call, server: u32, ending: AttemptOutcome, position: i64) {
        let n = call.proxy;
        let (request, attempt) = match call.what {
            Ok(attempt) => attempt,
            Err(number) => return self.continue_background_query(n, number, ending, position),
        };
        let Some(open) = self.open.get_mut(&(n, request)) else { return };
        let Some((at, sent)) = open.attempts.get(&attempt).copied().filter(|a| a.0 != u32::MAX) else {
            return;
        };
        open.attempts.insert(attempt, (u32::MAX, sent));
        if let Job::CopyRead(_) = call.job
            && matches!(ending, AttemptOutcome::Ok | AttemptOutcome::Ineligible)
        {
            let copy = self.servers.copy(self.now, server).filter(|_| ending == AttemptOutcome::Ok);
            self.proxies[n].hot.record_answer(self.now, HOT, server, copy);
        }
        if ending == AttemptOutcome::Ok {
            let (aim, worth) = if open.class == WRITES { (750_000, 6.0) } else { (300_000, 3.0) };
            if open.group == HOT.group {
                self.worth.0 += if self.now - open.sent <= aim { worth } else { worth * 0.2 };
            }
            self.open.remove(&(n, request));
        }
        let role = if server.is_multiple_of(MEMBERS) { Role::Primary } else { Role::Replica };
        let note = Some(ServerStatus { role, position: Some(position) })
            .filter(|_| ending != AttemptOutcome::Overloaded);
        self.outcome(n, request, attempt, at, sent, ending, note);
    }

    #[allow(clippy::too_many_arguments)]
    fn outcome(
        &mut self,
        n: usize,
        request: u64,
        attempt: u16,
        server: u32,
        sent: i64,
        ending: AttemptOutcome,
        note: Option<ServerStatus>,
    ) {
        let outcome = AttemptResult {
            request: RequestId(request),
            attempt: AttemptNo(attempt),
            server: ServerId(server),
            outcome: ending,
            elapsed: self.now - sent,
            request_finished: !self.open.contains_key(&(n, request)),
            status: note,
            load_report: None,
        };
        self.feed(n, Event::AttemptCompleted(outcome));
    }
}
