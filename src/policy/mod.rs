//! Every decision of the router: its state and its events. Types, events and actions: `src/interface.rs`.
//! Writes go to the primary; each read goes to the replica, among those fresh enough, with the
//! fewest outstanding requests per unit weight, own zone first while no busier.

mod attempt_results;
mod attempts;
mod choice;
mod entry;
mod freshness;
mod limits;
mod members;
mod suspicion;

use crate::estimates::{Latencies, SOON, blend, guess};
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of a new sample in a running mean, and where it must show within a few answers.
const BLEND: f64 = 0.1;
const QUICK_BLEND: f64 = 0.2;
/// Wait before the first trial of a suspect; doubles to the longest. Short against any outage.
const FIRST_TRIAL: Micros = 500_000;
const LONGEST_TRIAL: Micros = 4_000_000;
/// Further attempts earned by each request, and the most that all routers together may save up.
const EARN: f64 = 0.2;
const PURSES: f64 = 80.0;
/// Mean wait before asking for the list again after a failed call, about.
const ASK_AGAIN: Micros = 2_000_000;
/// A server whose answers take more than this share of their aims, in the mean, is congested:
/// its cap shrinks by the factor, else grows while it binds. The first cap is met by slow start.
const CONGESTED: f64 = 0.4;
const SHRINK: f64 = 0.8;
const FIRST_CAP: f64 = 4.0;
/// Of reads that know no fresh replica as many ask as those of so many routers; the rest tries the primary.
const ASKERS: f64 = 35.0;

#[derive(Default)]
struct Server {
    /// Its newest line in the list.
    line: Endpoint,
    /// It may be sent new work. Where `gone` does not bind, that word changes nothing: lists err.
    open: bool,
    /// Since when it is listed as gone, or not at all.
    gone_at: Option<Micros>,
    /// Proven log position, and the times up to which each role is proven.
    position: Option<Micros>,
    primary_at: Option<Micros>,
    replica_at: Option<Micros>,
    /// How far behind it was when last heard, and when that was.
    lag: Micros,
    lag_at: Option<Micros>,
    /// Outstanding attempts of this router.
    out: u32,
    /// Most attempts that it may hold for this router; the mean of latency over aim that sets it.
    cap: f64,
    strain: f64,
    eased_at: Option<Micros>,
    /// It rests up to this time.
    rest: Micros,
    /// Sends that it may still be given while it is cold, as of a time, and when it last was down.
    allowed: (f64, Micros),
    down_at: Option<Micros>,
    last_reply: Option<Micros>,
    /// When the newest of its answered attempts was sent.
    answered: Option<Micros>,
    /// Running share of requests that failed.
    failing: f64,
    suspect: bool,
    /// It took work, or a connection, and gave no sign of life since.
    mute: bool,
    trial_at: Option<Micros>,
    trial_wait: Micros,
    probe_out: bool,
    /// When its last probe failed, if it did, which says nothing of its requests.
    unprobed: Option<Micros>,
}

/// A place among held requests: reads apart from writes; the dearest, then the newest first.
type Place = (bool, i64, i64, RequestId);

#[derive(Default)]
struct Open {
    class: usize,
    group: GroupId,
    session: Option<SessionId>,
    token: Option<Micros>,
    /// Servers of other groups that may have a copy, and its likely position.
    copy_candidates: Vec<CopyCandidate>,
    /// The last moment when an answer is worth anything, never after the client gives up.
    useful: Micros,
    /// No server has had it whole; still so at half of its time, it is refused.
    unsent: bool,
    half: Micros,
    key: Place,
    attempts: u16,
    most: u16,
    out: Vec<u16>,
    tried: Vec<ServerId>,
    /// Replicas asked where they stand for this read, and how long it waits for the last one.
    asked: Vec<ServerId>,
    ask_until: Option<Micros>,
    /// Its lot: below the share of its group that is let in, it is.
    lot: f64,
    /// First send that may have run.
    ran_at: Option<(Micros, ServerId)>,
    wake: Micros,
}

/// An attempt without an outcome.
struct Flight {
    server: ServerId,
    sent: Micros,
    class: usize,
    session: Option<SessionId>,
    /// Given up for lost, or its answer has begun: it holds no place at its server any more.
    lost: bool,
    begun: Option<Micros>,
}

#[derive(Default)]
struct Group {
    members: BTreeSet<ServerId>,
    held: BTreeSet<Place>,
    /// Share of its attempts that did not end within the aim, and of those that fell back.
    missed: [f64; 2],
}

/// One router's decisions: feed it events, carry out its actions.
pub struct Router {
    set: Settings,
    rng: fastrand::Rng,
    now: Micros,
    servers: BTreeMap<ServerId, Server>,
    groups: BTreeMap<GroupId, Group>,
    open: BTreeMap<RequestId, Open>,
    /// Attempts without an outcome yet, also those of finished requests.
    flying: BTreeMap<(RequestId, u16), Flight>,
    wakes: BTreeSet<(Micros, RequestId)>,
    armed: Micros,
    latency: Latencies,
    sessions: BTreeMap<SessionId, Micros>,
    forgotten: Option<Micros>,
    /// Ready servers; answers since a time; the most answers a ready server gave in a cold time.
    ready_count: usize,
    served: (f64, Micros),
    usual: f64,
    purse: f64,
    /// Share of the attempts of all groups that fell back on a primary and did not end within the aim.
    fell: f64,
    arrivals: i64,
    ask_at: Option<Micros>,
}

impl Router {
    /// A router that knows nothing but its settings.
    pub fn new(mut set: Settings, seed: u64, now: Micros, out: &mut Vec<Action>) -> Self {
        set.proxy_count = set.proxy_count.max(1);
        let router = Router {
            rng: fastrand::Rng::with_seed(seed),
            now,
            servers: BTreeMap::new(),
            groups: BTreeMap::new(),
            open: BTreeMap::new(),
            flying: BTreeMap::new(),
            wakes: BTreeSet::new(),
            armed: Micros::MAX,
            latency: Latencies::new(&set.classes),
            sessions: BTreeMap::new(),
            forgotten: None,
            ready_count: 1,
            served: (0.0, now),
            usual: 0.0,
            purse: PURSES / 2.0 / f64::from(set.proxy_count),
            arrivals: 0,
            fell: 0.0,
            ask_at: None,
            set,
        };
        out.extend(
            (router.set.endpoint_discovery == EndpointDiscovery::Polled).then_some(Action::WatchEndpoints),
        );
        router
    }

    /// Requests without a final answer.
    pub fn open_request_count(&self) -> usize {
        self.open.len()
    }

    /// Takes one event; appends what the router is to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::Settings(set) => self.settings(*set),
            Event::EndpointsChanged(list) => self.members(list),
            Event::EndpointPollFailed => {
                // Spread out: routers that failed together must not ask together again.
                let wait = ASK_AGAIN / 4 + self.rng.i64(0..ASK_AGAIN);
                self.ask_at = Some(self.now + wait)
                    .filter(|_| self.set.endpoint_discovery == EndpointDiscovery::Polled);
            }
            Event::Request(request) => self.request(request, out),
            Event::ResponseStarted { request, attempt } => self.started(request, attempt.0, out),
            Event::AttemptCompleted(outcome) => self.outcome(outcome, out),
            Event::ClientDisconnected { request } => self.close(request, out),
            Event::HealthCheckCompleted { server, outcome: ending, load_report: report } => {
                self.probed(server, ending, report, out)
            }
            Event::Timer { .. } => self.due(out),
        }
        self.arm(out);
    }

    fn due(&mut self, out: &mut Vec<Action>) {
        self.armed = Micros::MAX;
        while let Some(&(_, id)) = self.wakes.first().filter(|w| w.0 <= self.now) {
            self.wakes.pop_first();
            self.wake(id, out);
        }
        out.extend(self.ask_at.take_if(|at| *at <= self.now).map(|_| Action::WatchEndpoints));
    }

    fn arm(&mut self, out: &mut Vec<Action>) {
        let first = self.wakes.first().map_or(Micros::MAX, |w| w.0);
        let first = first.min(self.ask_at.unwrap_or(Micros::MAX));
        if first < self.armed {
            self.armed = first;
            out.push(Action::Timer { id: 0, delay: (first - self.now).max(0) });
        }
    }

    fn settings(&mut self, set: Settings) {
        self.latency.settings(&self.set.classes, &set.classes);
        self.set = Settings { proxy_count: set.proxy_count.max(1), ..set };
    }
}
