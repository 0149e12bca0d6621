//! Every decision of the router. Its types, events and actions: `src/interface.rs`.
//!
//! Writes go to the primary; each read goes to the replica, among those fresh enough, with the
//! fewest outstanding requests per unit weight, own zone first while no busier.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Share of a cold server's budget that is used: others send to it too, and work varies.
const COLD_USE: f64 = 0.75;
/// What is kept of the best yardstick of that budget after each cold time with a lower one.
const USUAL_KEPT: f64 = 0.75;
/// Weight of a new sample in a running mean, and where it must show within a few answers.
const BLEND: f64 = 0.1;
const QUICK_BLEND: f64 = 0.2;
/// An attempt is overdue beyond the mean latency by this many mean deviations (as TCP does).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Held work starts only with the mean latency and this many mean deviations left.
const HOLD_DEVIATIONS: f64 = 2.0;
/// Before any answer, the share of the class's aim taken for mean and deviation of latency.
const FIRST_GUESS: f64 = 0.125;
/// A server failing more than this share of its requests is avoided, until down to a third of it.
const FAILING: f64 = 0.3;
/// Wait before the first trial of a suspect; doubles to the longest. Short against any outage.
const FIRST_TRIAL: Micros = 500_000;
const LONGEST_TRIAL: Micros = 4_000_000;
/// Each router leaves so much time to each of the others: 20 trials a second of one server, however many.
const TRIAL_TURN: Micros = 50_000;
/// Pace of trying held requests again.
const PACE: Micros = 100_000;
/// Pause before sending again where the same server must take it; doubles with each attempt.
const RESEND_PAUSE: Micros = 10_000;
/// Further attempts earned by each request, and the most that all routers together may save up.
const EARN: f64 = 0.2;
const PURSES: f64 = 80.0;
/// Held reads, and writes, tried again by one event: released work doubles with each answer.
const RELEASE: usize = 2;
/// Mean wait before asking for the list again after a failed call, about.
const ASK_AGAIN: Micros = 2_000_000;
/// Sessions remembered, until one bound for all stands in for them.
const SESSIONS: usize = 65_536;
/// Advice on return when an answer could still be of use by then.
const RETURN: Micros = 500_000;
/// A server whose answers take more than this share of their aims, in the mean, is congested:
/// its cap shrinks by the factor, else grows while it binds. The first cap is met by slow start.
const CONGESTED: f64 = 0.4;
const SHRINK: f64 = 0.8;
const FIRST_CAP: f64 = 4.0;
/// The least that the caps of all routers on a server come to; one below one is kept by rests after answers.
const LEAST_CAPS: f64 = 6.0;
/// Reads let in per share of their group's last attempts in time, and what each takes back of the distance.
const ADMIT: f64 = 1.4;
const RECOVER: f64 = 0.01;
/// Share of a primary's cap that reads may fill: the rest is kept for writes.
const READ_SHARE: f64 = 0.5;
/// Replicas asked where they stand for one read, and the pause before one too far behind is again.
const ASKS: usize = 2;
const FAR_PAUSE: Micros = 500_000;
/// Reads that fell back miss seldom: the last miss is some ten answers or a hundred tries past.
const SELDOM: f64 = 0.05;
/// Of reads that know no fresh replica as many ask as those of so many routers; the rest tries the primary.
const ASKERS: f64 = 35.0;
/// A server that left is forgotten after this time: its process may only have been started again.
const FORGET: Micros = 20_000_000;
/// The least time that counts as late: a wake at the present would find nothing changed, without end.
const SOON: Micros = 1_000;

#[derive(Default)]
struct Server {
    /// Its newest line in the list.
    line: Member,
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
    /// Mean and mean deviation of the latency of each class.
    latency: Vec<(f64, f64)>,
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
        set.routers = set.routers.max(1);
        let guess = |c: &Class| c.aim as f64 * FIRST_GUESS;
        let latency = set.classes.iter().map(|c| (guess(c), guess(c))).collect();
        let router = Router {
            rng: fastrand::Rng::with_seed(seed),
            now,
            servers: BTreeMap::new(),
            groups: BTreeMap::new(),
            open: BTreeMap::new(),
            flying: BTreeMap::new(),
            wakes: BTreeSet::new(),
            armed: Micros::MAX,
            latency,
            sessions: BTreeMap::new(),
            forgotten: None,
            ready_count: 1,
            served: (0.0, now),
            usual: 0.0,
            purse: PURSES / 2.0 / f64::from(set.routers),
            arrivals: 0,
            fell: 0.0,
            ask_at: None,
            set,
        };
        out.extend((router.set.list == ListMode::Asked).then_some(Action::FollowList));
        router
    }

    /// Requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Takes one event; appends what the router is to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::Settings(set) => self.settings(*set),
            Event::Members(list) => self.members(list),
            Event::ListFailed => self.list_failed(),
            Event::Request(request) => self.request(request, out),
            Event::Started { request, attempt } => self.started(request, attempt.0, out),
            Event::Outcome(outcome) => self.outcome(outcome, out),
            Event::Gone { request } => self.close(request, out),
            Event::Probed { server, ending, report } => self.probed(server, ending, report, out),
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
        if self.ask_at.is_some_and(|at| at <= self.now) {
            self.ask_at = None;
            out.push(Action::FollowList);
        }
    }

    fn arm(&mut self, out: &mut Vec<Action>) {
        let first = self.wakes.first().map_or(Micros::MAX, |w| w.0);
        let first = first.min(self.ask_at.unwrap_or(Micros::MAX));
        if first < self.armed {
            self.armed = first;
            out.push(Action::Timer { id: 0, after: (first - self.now).max(0) });
        }
    }

    /// What was learnt of a class is void where another has its number now; all else stands.
    fn settings(&mut self, mut set: Settings) {
        set.routers = set.routers.max(1);
        self.latency.resize(set.classes.len(), (0.0, 0.0));
        for (i, c) in set.classes.iter().enumerate().filter(|(i, c)| self.set.classes.get(*i) != Some(*c)) {
            self.latency[i] = (c.aim as f64 * FIRST_GUESS, c.aim as f64 * FIRST_GUESS);
        }
        self.set = set;
    }

    // ---- Membership: who may be sent work ----

    fn members(&mut self, list: Members) {
        let named: BTreeSet<ServerId> = list.members.iter().map(|m| m.server).collect();
        let unnamed = |s: &&mut Server| list.complete && !named.contains(&s.line.server);
        let soft = self.set.soft_removal;
        for s in self.servers.values_mut().filter(unnamed) {
            s.open &= soft;
            s.line.state = MemberState::Gone;
        }
        for m in list.members {
            // An absurd weight counts as 1: better even than starved or flooded.
            let weight = if m.weight.is_finite() && m.weight > 0.0 { m.weight } else { 1.0 };
            let phase = self.rng.f64();
            let server = self.servers.entry(m.server).or_insert_with(|| Server {
                line: m.clone(),
                cap: FIRST_CAP,
                trial_wait: FIRST_TRIAL,
                allowed: (phase, self.now),
                ..Server::default()
            });
            if server.line.started != m.started && m.started.is_some() {
                // A new process: cold, and what was known of the old one but its log position is void.
                server.primary_at = None;
                server.allowed = (phase, self.now);
                (server.failing, server.suspect, server.mute) = (0.0, false, false);
                (server.cap, server.strain, server.eased_at, server.rest) = (FIRST_CAP / 2.0, 0.0, None, 0);
            }
            self.groups.entry(server.line.group).or_default().members.remove(&m.server);
            self.groups.entry(m.group).or_default().members.insert(m.server);
            server.open =
                m.state == MemberState::Ready || (m.state == MemberState::Gone && soft && server.open);
            server.line = Member { weight, started: m.started.or(server.line.started), ..m };
        }
        self.forget();
        self.ready_count = self.servers.values().filter(|s| s.open).count().max(1);
    }

    /// Servers that left for good: nothing is out at them any more, and nobody takes them for alive.
    fn forget(&mut self) {
        for s in self.servers.values_mut() {
            let gone = s.line.state == MemberState::Gone;
            s.gone_at = if gone { s.gone_at.or(Some(self.now)) } else { None };
        }
        let flying: BTreeSet<ServerId> = self.flying.values().map(|f| f.server).collect();
        let long_gone = |s: &Server| s.gone_at.is_some_and(|at| self.now - at >= FORGET);
        self.servers.retain(|id, s| !long_gone(s) || (s.open && !s.mute) || flying.contains(id));
        for g in self.groups.values_mut() {
            g.members.retain(|id| self.servers.contains_key(id));
        }
        self.groups.retain(|_, g| !g.members.is_empty() || !g.held.is_empty());
    }

    /// Does the module still know of this server?
    pub fn knows(&self, id: ServerId) -> bool {
        self.servers.contains_key(&id)
    }

    /// Nothing new goes to it now: it drains or is gone, or is suspect (to writes: mute) and no trial is due.
    pub fn avoids(&self, now: Micros, id: ServerId) -> bool {
        let Some(s) = self.ready(id) else { return true };
        let writes = !s.mute && self.primary(s.line.group) == Some(id);
        s.suspect && s.trial_at > Some(now) && !writes
    }

    /// Spread out: routers that failed together must not ask together again.
    fn list_failed(&mut self) {
        let wait = ASK_AGAIN / 4 + self.rng.i64(0..ASK_AGAIN);
        self.ask_at = Some(self.now + wait).filter(|_| self.set.list == ListMode::Asked);
    }

    /// How much of its capacity a server surely had at a time, for it may just have started.
    fn warmth(&self, server: &Server, at: Micros) -> f64 {
        let started = server.line.started.max(server.down_at);
        let age = started.map_or(Micros::MAX, |started| at.saturating_sub(started).max(0));
        if age >= self.set.cold_time || self.set.cold_time <= 0 {
            return 1.0;
        }
        let risen = age as f64 / self.set.cold_time as f64;
        (self.set.cold_share + (1.0 - self.set.cold_share) * risen).clamp(0.0, 1.0)
    }

    /// A cold server falls over from what all routers send it. Each keeps to its own part: what it
    /// gets served by a server in the mean, scaled to the capacity that the cold one surely has. A
    /// part of less than one send is saved up from a start drawn by lot, never rounded up: one
    /// each, from hundreds of routers, would be many times the budget.
    fn allowance(&self, s: &Server) -> f64 {
        let (left, at) = s.allowed;
        let warmth = (self.warmth(s, at) + self.warmth(s, self.now)) / 2.0;
        // Where nothing was served yet: one send from all routers together.
        let floor = 1.0 / (f64::from(self.set.routers) * self.set.fall_time.max(1) as f64);
        // A day may be so brisk that servers are warm before they can fall over.
        let span = (self.now - self.served.1).min(self.set.cold_time).max(self.set.fall_time);
        let span = if self.usual > 0.0 { self.set.cold_time } else { span }.max(1);
        let pace = self.usual.max(self.served.0 / self.ready_count as f64) / span as f64;
        let pace = (COLD_USE * self.set.fall_multiple * warmth * pace).max(floor);
        (left + pace * (self.now - at) as f64).min((pace * self.set.fall_time as f64).max(1.0))
    }

    /// The best of a few cold times: while most servers are cold, the present would starve them for good.
    fn count_served(&mut self, ending: Ending) {
        if self.now - self.served.1 >= self.set.cold_time {
            let latest = self.served.0 / self.ready_count as f64;
            self.usual = latest.max(self.usual * USUAL_KEPT);
            self.served = (0.0, self.now);
        }
        self.served.0 += f64::from(ending == Ending::Ok);
    }

    // ---- Primary: where writes go ----

    fn ready(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id).filter(|s| s.open)
    }

    /// The member last proven primary; without proof, the one listed and not yet refuted.
    fn primary(&self, group: GroupId) -> Option<ServerId> {
        let members = &self.groups.get(&group)?.members;
        let rank = |id: &ServerId| {
            let s = self.ready(*id)?;
            let claims = s.primary_at > s.replica_at || (s.line.primary && s.replica_at.is_none());
            claims.then_some((s.primary_at, !s.mute, *id))
        };
        members.iter().filter_map(rank).max().map(|(_, _, id)| id)
    }

    /// What a server said of itself at a time up to `at`.
    fn learn(&mut self, id: ServerId, role: Option<Role>, position: Option<Micros>, at: Micros) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        // One that goes back is older than what is known, or spoilt.
        if let Some(position) = position.map(|p| p.min(self.now)).filter(|p| s.position <= Some(*p)) {
            s.position = Some(position);
            (s.lag, s.lag_at) = (self.now - position, Some(self.now));
        }
        match role {
            Some(Role::Primary) => s.primary_at = s.primary_at.max(Some(at)),
            Some(Role::Replica) => s.replica_at = s.replica_at.max(Some(at)),
            None => {}
        }
    }

    fn learn_report(&mut self, id: ServerId, report: Option<Report>) {
        let Some(r) = report else { return };
        // A primary stands at the present: its position dates the report. A newer note that it is none wins.
        match (r.role, r.position) {
            (Some(Role::Primary), Some(at)) => self.learn(id, r.role, r.position, at.min(self.now)),
            _ => self.learn(id, None, r.position, self.now),
        }
    }

    // ---- Freshness: which replicas may answer ----

    /// The position that a server must have reached, if it matters.
    fn required(&self, open: &Open, now: Micros) -> Option<Micros> {
        match self.set.classes[open.class].need {
            Need::Any => None,
            Need::Write | Need::Fresh => Some(Micros::MAX),
            Need::Bounded(age) => Some(now - age),
            Need::Session => open.token,
        }
    }

    fn token(&self, request: &Request) -> Option<Micros> {
        if self.set.classes[request.class.0 as usize].need != Need::Session {
            return None;
        }
        let known = || request.session.and_then(|s| self.sessions.get(&s).copied());
        if self.set.tokens == Tokens::Carried { request.written } else { known().or(self.forgotten) }
    }

    fn remember(&mut self, session: Option<SessionId>, commit: Micros) {
        let Some(session) = session.filter(|_| self.set.tokens == Tokens::Remembered) else { return };
        let newest = self.sessions.entry(session).or_insert(commit);
        *newest = commit.max(*newest);
        if self.sessions.len() > SESSIONS {
            // One bound stands in for all: the replicas pass it within moments.
            self.forgotten = self.sessions.values().copied().max();
            self.sessions.clear();
        }
    }

    /// It was too far behind for this when last heard, a moment ago: not to be asked again yet.
    fn far(&self, s: &Server, at: Micros) -> bool {
        at > self.now - s.lag && s.lag_at >= Some(self.now - FAR_PAUSE)
    }

    // ---- Health: what this router saw of a server ----

    /// The mean latency of a class and some mean deviations more.
    fn within(&self, class: usize, deviations: f64) -> Micros {
        let (mean, dev) = self.latency[class];
        ((mean + deviations * dev) as Micros).max(SOON)
    }

    fn suspect(&mut self, id: ServerId, mute: bool, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.mute |= mute;
        if !s.suspect || Some(self.now) >= s.trial_at {
            s.trial_at = Some(self.now + s.trial_wait.max(Micros::from(self.set.routers) * TRIAL_TURN));
            s.trial_wait = (s.trial_wait * 2).min(LONGEST_TRIAL);
        }
        if !std::mem::replace(&mut s.suspect, true) {
            let why = if mute { "gives no sign of life" } else { "fails its requests" };
            out.push(Action::Log(format!("server {} {why}: reads avoid it", id.0)));
        }
    }

    /// A sign of life; `failed` tells whether the request itself went wrong.
    fn heard(&mut self, id: ServerId, failed: bool, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.last_reply = Some(self.now);
        s.mute = false;
        self.tally(id, failed, out);
    }

    fn tally(&mut self, id: ServerId, failed: bool, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        blend(&mut s.failing, f64::from(failed), QUICK_BLEND);
        if failed && s.failing > FAILING {
            self.suspect(id, false, out);
        } else if s.suspect && s.failing <= FAILING / 3.0 {
            s.suspect = false;
            s.trial_wait = FIRST_TRIAL;
        } else if s.suspect && !failed {
            s.trial_at = Some(self.now);
        }
    }

    /// The cap follows what answers take against their aims; `full` shrinks it.
    fn ease(&mut self, id: ServerId, ending: Ending, class: usize, took: Micros) {
        let now = self.now;
        let mean = self.latency[class].0 as Micros;
        let ratio = (took as f64 / self.set.classes[class].aim.max(1) as f64).min(2.0);
        let Some(s) = self.servers.get_mut(&id) else { return };
        match ending {
            Ending::Ok | Ending::Timeout | Ending::Cancelled => blend(&mut s.strain, ratio, QUICK_BLEND),
            Ending::Full => {}
            _ => return,
        }
        if ending == Ending::Full || s.strain > CONGESTED {
            if s.eased_at < Some(now - mean) {
                s.eased_at = Some(now);
                s.cap =
                    (s.cap.min(f64::from(s.out + 1)) * SHRINK).max(LEAST_CAPS / f64::from(self.set.routers));
                // The answers to come were sent under the old cap: they must not shrink it again.
                s.strain *= SHRINK;
            }
        } else if ending == Ending::Ok && f64::from(s.out + 1) >= s.cap.floor() {
            let regained = if s.cap < 1.0 { s.cap / SHRINK - s.cap } else { 1.0 / s.cap };
            s.cap += if s.eased_at.is_none() { 1.0 } else { regained };
        }
        let busy = took.min(self.set.classes[class].aim) as f64;
        s.rest = now + (busy * (1.0 / s.cap - 1.0).max(0.0)) as Micros;
    }

    // ---- Choosing ----

    fn to_primary(&self, class: usize) -> bool {
        matches!(self.set.classes[class].need, Need::Write | Need::Fresh)
    }

    fn trial_due(&self, s: &Server) -> bool {
        s.out == 0 && s.suspect && Some(self.now) >= s.trial_at
    }

    /// After its wait a suspect is one among the others, for one request at a time.
    fn usable(&self, id: ServerId, open: &Open, share: f64) -> bool {
        let Some(s) = self.ready(id) else { return false };
        (!s.suspect || self.trial_due(s)) && !open.tried.contains(&id) && self.room(s, share)
    }

    /// Below this share of its cap, not over its budget as a cold server.
    fn room(&self, s: &Server, share: f64) -> bool {
        let below = f64::from(s.out + 1) <= (s.cap * share).max(1.0);
        below && self.now >= s.rest && (self.warmth(s, self.now) >= 1.0 || self.allowance(s) >= 1.0)
    }

    /// The fewest outstanding per unit weight; own zone first while no busier; ties by a lot by weight. A
    /// read that `any` replica may answer leaves the fresh ones to others: ties go to the one furthest
    /// behind, and one more is no busier where a replica is of no use to bounded reads.
    fn least(&mut self, among: &[ServerId], any: bool) -> Option<ServerId> {
        let bounds = self.set.classes.iter().filter_map(|c| c.need.bound());
        let bound = bounds.min().filter(|_| any).unwrap_or(Micros::MAX);
        let rank = |id: &ServerId| {
            let s = &self.servers[id];
            let lot = -(1.0 - self.rng.f64()).ln() / s.line.weight;
            let behind = Some(s.lag).filter(|lag| *lag > bound);
            let busy = f64::from(s.out.saturating_sub(u32::from(behind.is_some()))) / s.line.weight;
            (busy, s.line.zone != self.set.zone, std::cmp::Reverse(behind), lot, *id)
        };
        let ranks = among.iter().map(rank);
        ranks.min_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)).map(|rank| rank.4)
    }

    fn choose(&mut self, open: &mut Open, out: &mut Vec<Action>) -> Option<ServerId> {
        let primary = self.primary(open.group);
        if self.to_primary(open.class) {
            return self.choose_primary(open, primary);
        }
        let Group { members, missed, .. } = self.groups.get(&open.group)?;
        let well = missed[1] < SELDOM;
        let replicas: Vec<ServerId> = members.iter().copied().filter(|m| Some(*m) != primary).collect();
        let required = self.required(open, self.now);
        let fresh = |r: &&ServerId| required.is_none_or(|at| self.servers[*r].position >= Some(at));
        let fresh: Vec<ServerId> = replicas.iter().filter(fresh).copied().collect();
        let able: Vec<ServerId> = fresh.iter().copied().filter(|r| self.usable(*r, open, 1.0)).collect();
        if let Some(best) = self.least(&able, self.set.classes[open.class].need == Need::Any) {
            return Some(best);
        }
        // Asking is not worth its price while the primary is at ease and what fell back on it was in time.
        let at_ease = |p| well && (f64::MIN_POSITIVE..CONGESTED / 2.0).contains(&self.servers[&p].strain);
        let thin = open.lot >= ASKERS / f64::from(self.set.routers);
        let spares = |p: ServerId| (thin || at_ease(p)) && self.usable(p, open, READ_SHARE);
        let unasked = primary.is_some_and(spares) && self.admits(open, true);
        if let Some(at) = required.filter(|_| !unasked)
            && self.ask_where(open, at, &replicas, out)
        {
            return None;
        }
        if self.set.checks == Checks::Refuse {
            // A server that lags says so and nothing ran: the furthest ahead is worth a try.
            let able = replicas.iter().copied().filter(|r| self.usable(*r, open, 1.0));
            let able = able.filter(|r| required.is_none_or(|at| !self.far(&self.servers[r], at)));
            if let Some(ahead) = able.max_by_key(|r| (self.servers[r].position, *r)) {
                return Some(ahead);
            }
        }
        if !unasked && !self.admits(open, true) {
            return None;
        }
        if let Some(p) = primary.filter(|p| self.usable(*p, open, READ_SHARE)) {
            return Some(p);
        }
        // Suspicion never empties a group: the suspect due first rather than none.
        let share = |r: &ServerId| if Some(*r) == primary { READ_SHARE } else { 1.0 };
        let last = |r: &ServerId| self.ready(*r).is_some_and(|s| self.room(s, share(r)));
        let any = fresh.into_iter().chain(primary).filter(last).filter(|r| !open.tried.contains(r));
        any.min_by_key(|r| (self.servers[r].trial_at, *r))
    }

    fn choose_primary(&self, open: &Open, primary: Option<ServerId>) -> Option<ServerId> {
        let group = self.groups.get(&open.group)?;
        let up = |s: &Server| (!s.mute || self.trial_due(s)) && self.room(s, 1.0);
        let alive = |id: &ServerId| self.ready(*id).is_some_and(up);
        let free = |id: &ServerId| !self.flights(open).any(|f| f.server == *id && !f.lost);
        if let Some(p) = primary.filter(|p| !self.servers[p].mute) {
            return Some(p).filter(|p| alive(p) && free(p));
        }
        // A fresh read goes round only where servers check: others would answer it stale.
        let asks = self.set.classes[open.class].need == Need::Write || self.set.checks == Checks::Refuse;
        if !asks || open.ran_at.is_some() {
            return None;
        }
        // Nobody is known to be primary: once round the members (a miss: nothing ran), the silent last.
        let round = group.members.iter().filter(|m| alive(m) && free(m) && !open.tried.contains(m));
        round.copied().min_by_key(|m| (self.servers[m].mute, *m))
    }

    // ---- Retry, hold, refuse ----

    fn request(&mut self, request: Request, out: &mut Vec<Action>) {
        let class = request.class.0 as usize;
        if self.open.contains_key(&request.id) {
            return;
        }
        let Some(c) = self.set.classes.get(class) else {
            out.push(Action::Refuse { request: request.id, retry_after: None });
            return;
        };
        let deadline = self.now.saturating_add(request.patience.max(0));
        let aim = self.now.saturating_add(c.aim);
        let useful = if c.late_worth > 0.0 { deadline } else { deadline.min(aim) };
        self.purse = (self.purse + EARN).min((PURSES / f64::from(self.set.routers)).max(1.0));
        self.arrivals += 1;
        let open = Open {
            class,
            group: request.group,
            session: request.session,
            token: self.token(&request),
            useful,
            unsent: true,
            most: self.set.max_attempts,
            half: self.now + request.patience.max(0) / 2 - SOON,
            lot: self.rng.f64(),
            key: (c.need != Need::Write, -(c.worth * 1000.0) as i64, -self.arrivals, request.id),
            ..Open::default()
        };
        let admitted = c.need == Need::Write || self.admits(&open, false);
        self.open.insert(request.id, open);
        if admitted {
            self.dispatch(request.id, out);
        } else {
            self.give_up(request.id, out);
        }
    }

    /// A thin router has nothing out when overload begins, so no cap binds: it lets in a share of its
    /// reads of a group, by what became of the last ones there, and recovers by itself. It meets a group's
    /// primary too seldom to learn of each: the more routers, the more those that fall back count for all.
    fn admits(&mut self, open: &Open, fell_back: bool) -> bool {
        let missed = &mut self.groups.entry(open.group).or_default().missed[usize::from(fell_back)];
        blend(missed, 0.0, RECOVER);
        blend(&mut self.fell, 0.0, if fell_back { RECOVER } else { 0.0 });
        let thin = (1.0 - ASKERS / f64::from(self.set.routers)).max(0.0);
        let share = 1.0 - if fell_back { missed.max(self.fell * thin) } else { *missed };
        open.lot < if fell_back { share * share } else { share * ADMIT }
    }

    fn set_wake(&mut self, id: RequestId, at: Micros) {
        if let Some(open) = self.open.get_mut(&id) {
            self.wakes.remove(&(open.wake, id));
            open.wake = at;
            self.wakes.insert((at, id));
        }
    }

    fn flights<'a>(&'a self, open: &'a Open) -> impl Iterator<Item = &'a Flight> {
        open.out.iter().filter_map(|n| self.flying.get(&(open.key.3, *n)))
    }

    /// May another attempt go to this server, by what a repeat would do?
    fn may_repeat(&self, open: &Open, to: ServerId) -> bool {
        if !open.out.is_empty() && !self.set.parallel {
            return false;
        }
        let first = self.flights(open).map(|f| (f.sent, f.server)).min();
        let Some((at, ran_on)) = open.ran_at.into_iter().chain(first).min() else { return true };
        match self.set.classes[open.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, window } => {
                let zone = |id| self.servers.get(&id).map(|s| s.line.zone);
                self.now - at < window && (scope != Scope::Zone || zone(to) == zone(ran_on))
            }
        }
    }

    /// Sends the request to the server chosen, or holds it. True if it was sent.
    fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(mut open) = self.open.remove(&id) else { return false };
        let left = open.attempts < open.most && self.now < open.useful;
        let to = if left { self.choose(&mut open, out) } else { None };
        let to = to.filter(|to| self.may_repeat(&open, *to));
        let alone = open.out.is_empty();
        self.open.insert(id, open);
        match to {
            Some(server) => self.send(id, server, out),
            None if alone => self.hold(id, PACE, out),
            None => {}
        }
        to.is_some()
    }

    fn send(&mut self, id: RequestId, to: ServerId, out: &mut Vec<Action>) {
        self.unhold(id);
        let now = self.now;
        // A warm server has no budget, and takes no debt along if it turns cold.
        let cost = |s: &Server| f64::from(self.warmth(s, now) < 1.0);
        let left = self.servers.get(&to).map_or(0.0, |s| self.allowance(s) - cost(s));
        let (Some(open), Some(s)) = (self.open.get_mut(&id), self.servers.get_mut(&to)) else { return };
        s.out += 1;
        s.allowed = (left, now);
        open.out.push(open.attempts);
        open.tried.push(to);
        let Open { class, session, useful, .. } = *open;
        let flight = Flight { server: to, sent: now, class, session, lost: false, begun: None };
        self.flying.insert((id, open.attempts), flight);
        open.attempts += 1;
        out.push(Action::Send { request: id, server: to, patience: useful - now });
        self.set_wake(id, useful.min(now + self.within(class, OVERDUE_DEVIATIONS)));
    }

    fn hold(&mut self, id: RequestId, pause: Micros, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let ran_out = open.ran_at.is_some_and(|(_, on)| !self.may_repeat(open, on));
        // A read that waits for a probe is as good as sent.
        let (pause, needed) = match open.ask_until.filter(|at| *at > self.now) {
            Some(at) => (at - self.now, 0),
            None => (pause, self.within(open.class, HOLD_DEVIATIONS)),
        };
        // What can no longer be answered in time is given up at once.
        let end = if open.unsent { open.useful.min(open.half + needed) } else { open.useful };
        if self.now + needed >= end || open.attempts >= open.most || ran_out {
            return self.give_up(id, out);
        }
        let at = (self.now + pause).min(end - needed);
        self.groups.entry(open.group).or_default().held.insert(open.key);
        self.set_wake(id, at);
    }

    /// May an attempt that is out still be written? Asked just before, for connections may be long in coming:
    /// the server may drain or be gone since, its role may have changed, and data ages.
    pub fn may_write(&self, now: Micros, id: RequestId, attempt: AttemptNo) -> bool {
        let (Some(open), Some(f)) = (self.open.get(&id), self.flying.get(&(id, attempt.0))) else {
            return false;
        };
        let Some(s) = self.ready(f.server) else { return false };
        match self.set.classes[open.class].need {
            Need::Write | Need::Any => true,
            _ if self.set.checks == Checks::Refuse || self.primary(open.group) == Some(f.server) => true,
            _ => self.required(open, now.max(self.now)).is_none_or(|at| s.position >= Some(at)),
        }
    }

    fn unhold(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(group) = self.groups.get_mut(&open.group) else { return };
        group.held.remove(&open.key);
        if group.members.is_empty() && group.held.is_empty() {
            // A group that no server is of: clients may name any.
            self.groups.remove(&open.group);
        }
    }

    /// Tries held requests of a group again, on evidence that something changed.
    fn release(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let Some(g) = self.groups.get(&group) else { return };
        let pool = |reads: bool| g.held.iter().filter(move |h| h.0 == reads).take(RELEASE).map(|h| h.3);
        for id in pool(false).chain(pool(true)).collect::<Vec<_>>() {
            if self.open.get(&id).is_some_and(|o| o.tried.is_empty()) {
                self.dispatch(id, out);
            }
        }
    }

    /// The final answer when nothing more can be done: refused if that is known to be harmless.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let clean = open.ran_at.is_none() && open.out.is_empty();
        if clean || self.set.classes[open.class].effect == Effect::Safe {
            // Past the aim of a class that earns nothing late, no return can help: stay away longest.
            let late = self.set.classes[open.class].late_worth <= 0.0;
            let retry_after = self.set.max_retry_after.map(|m| if late { m } else { m.min(RETURN) });
            out.push(Action::Refuse { request: id, retry_after });
        } else {
            out.push(Action::Fail { request: id });
        }
        self.close(id, out);
    }

    /// Forgets a finished request and calls off what is still out for it.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.unhold(id);
        let Some(open) = self.open.remove(&id) else { return };
        self.wakes.remove(&(open.wake, id));
        let called_off = open.out.into_iter().filter(|_| self.set.may_cancel);
        out.extend(called_off.map(|n| Action::Cancel { request: id, attempt: AttemptNo(n) }));
    }

    fn wake(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if self.now >= open.useful {
            self.give_up(id, out);
        } else if open.out.is_empty() {
            open.tried.clear();
            self.dispatch(id, out);
        } else {
            self.late(id, out);
        }
    }

    /// An attempt takes far longer than usual. If its server has answered nothing since, it is taken for
    /// mute, and the read goes elsewhere: beside the first attempt, or, where that may not be, once a probe
    /// was silent too. What only takes long keeps its work, if not twice as long while others are answered.
    fn late(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open @ &Open { class, useful, .. }) = self.open.get(&id) else { return };
        let overdue = self.within(class, OVERDUE_DEVIATIONS);
        let (mut over, mut wait) = (Vec::new(), overdue);
        let mut late = open.out.clone();
        late.retain(|n| self.flying.get(&(id, *n)).is_some_and(|f| self.now - f.sent >= overdue));
        for n in &late {
            let Some(f) = self.flying.get_mut(&(id, *n)) else { continue };
            let Some(s) = self.servers.get_mut(&f.server) else { continue };
            let (server, sent, quiet) = (f.server, f.sent, s.last_reply < Some(f.sent));
            let asks = !self.set.parallel && self.set.may_probe && s.unprobed < Some(sent) && !s.mute;
            if f.lost {
                over.extend(Some(*n).filter(|_| self.now - sent >= 2 * overdue));
            } else if quiet && asks {
                self.probe(server, out);
                wait = self.set.connect_timeout.max(SOON);
            } else if quiet {
                self.suspect(server, true, out);
                over.push(*n);
            } else if s.answered > Some(sent) {
                // It has answered what it was sent later: this one is lost, and gives its place back.
                f.lost = true;
                s.out = s.out.saturating_sub(1);
            }
        }
        if self.purse >= 1.0 && self.set.parallel && !late.is_empty() && self.dispatch(id, out) {
            self.purse -= 1.0;
            return;
        }
        let safe = self.set.classes[class].effect == Effect::Safe;
        over.retain(|_| self.purse >= 1.0 && !self.set.parallel && safe && self.set.may_cancel);
        out.extend(over.iter().map(|n| Action::Cancel { request: id, attempt: AttemptNo(*n) }));
        self.set_wake(id, useful.min(self.now + wait));
    }

    /// The answer belongs to the client now: no deadline, no other copy. The server's own work is done.
    fn started(&mut self, id: RequestId, attempt: u16, out: &mut Vec<Action>) {
        let (Some(open), Some(f)) = (self.open.get(&id), self.flying.get_mut(&(id, attempt))) else { return };
        self.wakes.remove(&(open.wake, id));
        f.begun = Some(self.now);
        if let Some(s) = self.servers.get_mut(&f.server) {
            s.out = s.out.saturating_sub(u32::from(!std::mem::replace(&mut f.lost, true)));
            s.last_reply = Some(self.now);
        }
        for n in open.out.iter().filter(|n| self.set.may_cancel && **n != attempt) {
            out.push(Action::Cancel { request: id, attempt: AttemptNo(*n) });
        }
    }

    fn outcome(&mut self, o: Outcome, out: &mut Vec<Action>) {
        let Some(flight) = self.flying.remove(&(o.request, o.attempt.0)) else { return };
        let Flight { server, sent, class, session, lost, begun } = flight;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.out = s.out.saturating_sub(u32::from(!lost));
        if matches!(o.ending, Ending::Ok | Ending::Miss | Ending::Error) {
            s.answered = s.answered.max(Some(sent));
            // It answers what it had before a connection was turned down: its process never ended.
            s.down_at = s.down_at.filter(|at| *at <= sent);
        } else if o.ending == Ending::Full {
            s.last_reply = Some(self.now);
        }
        let group = s.line.group;
        let took = begun.unwrap_or(self.now) - sent;
        if o.ending == Ending::ConnectFailed && took < self.set.connect_timeout {
            // Turned down at once: no process runs, and the list tells seconds late of the cold one to come.
            s.down_at = Some(self.now);
            s.allowed = (s.allowed.0.min(self.rng.f64()), self.now);
        }
        if o.ending == Ending::Ok || (!lost && o.ending == Ending::Timeout) {
            let (mean, dev) = &mut self.latency[class];
            blend(dev, (took as f64 - *mean).abs(), BLEND);
            blend(mean, took as f64, BLEND);
        }
        self.count_served(o.ending);
        let late = took > self.set.classes[class].aim;
        if late || matches!(o.ending, Ending::Ok | Ending::Timeout | Ending::Full) {
            let fell_back = !self.to_primary(class) && self.primary(group) == Some(server);
            let missed = &mut self.groups.entry(group).or_default().missed[usize::from(fell_back)];
            let miss = f64::from(late || o.ending != Ending::Ok);
            blend(missed, miss, QUICK_BLEND);
            blend(&mut self.fell, miss, if fell_back { BLEND } else { 0.0 });
        }
        if !lost {
            self.ease(server, o.ending, class, took);
        }
        self.learn_report(server, o.report);
        if let Some(note) = o.note {
            self.learn(server, Some(note.role), note.position, self.now);
            let written = o.ending == Ending::Ok && self.set.classes[class].need == Need::Write;
            if let Some(commit) = note.position.filter(|_| written) {
                self.remember(session, commit);
            }
        }
        match o.ending {
            Ending::Ok | Ending::Miss => self.heard(server, false, out),
            Ending::Error => self.heard(server, true, out),
            Ending::ConnectFailed => self.suspect(server, true, out),
            // Connections break for many reasons. If its process died, the next connect will tell.
            Ending::Broken | Ending::Reset => self.tally(server, true, out),
            // It turns work away at once, so it would look idle and draw all of it.
            Ending::Full => self.suspect(server, false, out),
            Ending::Timeout | Ending::Cancelled | Ending::Moot => {}
        }
        if let Some(open) = self.open.get_mut(&o.request) {
            open.out.retain(|n| *n != o.attempt.0);
            open.unsent &= matches!(o.ending, Ending::ConnectFailed | Ending::Broken | Ending::Moot);
            if !o.ending.never_ran() && open.ran_at.is_none_or(|r| sent < r.0) {
                open.ran_at = Some((sent, server));
            }
            if o.finished || o.ending == Ending::Ok {
                self.close(o.request, out);
            }
        }
        self.again(o.request, o.ending, out);
        self.release(group, out);
    }

    /// After an attempt that did not serve: send again, hold, or give the final answer.
    fn again(&mut self, id: RequestId, ending: Ending, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        if !open.out.is_empty() {
            return;
        }
        let to_primary = self.to_primary(open.class);
        let pause = RESEND_PAUSE << open.attempts.min(4);
        let cost = f64::from(!ending.never_ran());
        if self.now >= open.useful || self.purse < cost {
            self.give_up(id, out);
            return;
        }
        self.purse -= cost;
        if to_primary && ending != Ending::Miss {
            self.hold(id, pause, out);
        } else {
            self.dispatch(id, out);
        }
    }

    // ---- Probing ----

    /// A thin router hears too little to know any replica fresh. Left so, its reads and those of
    /// hundreds like it would all fall on the primary: it asks a replica just before the read, and
    /// another if that one is behind or silent; where servers check, trying is cheaper. True: it waits.
    fn ask_where(&mut self, open: &mut Open, at: Micros, of: &[ServerId], out: &mut Vec<Action>) -> bool {
        let tells = self.set.may_probe && self.set.report_position && self.set.checks == Checks::Silent;
        let tells = tells && self.set.reports != Reports::Never;
        let last = open.asked.last().and_then(|id| self.servers.get(id));
        if open.ask_until > Some(self.now) && last.is_some_and(|s| s.probe_out) {
            return true;
        }
        open.ask_until = None;
        if !tells || open.asked.len() >= ASKS {
            return false;
        }
        let near = |r: &ServerId| self.usable(*r, open, 1.0) && !self.far(&self.servers[r], at);
        let able = |r: &ServerId| !open.asked.contains(r) && near(r);
        let (deaf, answering): (Vec<_>, Vec<_>) =
            of.iter().filter(|r| able(r)).partition(|r| self.servers[r].unprobed.is_some());
        let first = self.least(&answering, false);
        let Some(id) = first.or_else(|| self.least(&deaf, false)) else { return false };
        // For a small part of the aim only: a probe may get no reply at all.
        open.ask_until = Some(self.now + (self.set.classes[open.class].aim as f64 * FIRST_GUESS) as Micros);
        open.asked.push(id);
        self.probe(id, out);
        true
    }

    fn probe(&mut self, server: ServerId, out: &mut Vec<Action>) {
        let asks = self.servers.get_mut(&server).is_some_and(|s| !std::mem::replace(&mut s.probe_out, true));
        out.extend(asks.then_some(Action::Probe { server }));
    }

    fn probed(&mut self, id: ServerId, ending: Ending, report: Option<Report>, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.probe_out = false;
        s.unprobed = Some(self.now).filter(|_| !matches!(ending, Ending::Ok | Ending::Moot));
        // Beside a second copy a probe proves too little: a server may hang and still answer it.
        if !self.set.parallel && matches!(ending, Ending::Ok | Ending::Error | Ending::Full | Ending::Miss) {
            s.last_reply = Some(self.now);
        }
        let group = s.line.group;
        self.learn_report(id, report.filter(|_| ending == Ending::Ok));
        self.release(group, out);
    }
}

/// Moves a running mean towards a new sample.
fn blend(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}
