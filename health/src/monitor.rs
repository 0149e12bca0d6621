//! Facts in, one verdict out. Owns the tables of servers and groups, both bounded, and the order in which states go
//! before one another. Never reads a clock: every time is the driver's.

use crate::claim::Claim;
use crate::evidence::{Against, Evidence};
use crate::probes::Budget;
use crate::settings::{HealthSettings, IdleGroupPolicy, OverloadPolicy, ProbeSettings, SharedCausePolicy};
use crate::verdict::{Capability, Change, GroupVerdict, Operation, Reason, State, Verdict};
use crate::weight::Weight;
use crate::{GroupId, Micros, Role, ServerId};
use std::collections::BTreeMap;

/// What is beyond is counted and left out: a list of this size is no list.
const MOST_SERVERS: usize = 4096;
const MOST_GROUPS: usize = 1024;
/// Reads are judged over so many spans of this length, and from so many on.
const SPANS: usize = 3;
const SPAN: Micros = 1_000_000;
const ENOUGH: u64 = 20;
/// The share of reads, one in so many, that must be served.
const ONE_IN: u64 = 10;

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// With an answer of any kind, an error too.
    Answered,
    /// Its time ran out.
    Unanswered,
    /// No process took the connection.
    Refused,
    /// The connection broke.
    Reset,
    /// Called off before its time.
    Cancelled,
    /// Never sent, for no fault of the server's.
    NotSent,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthEvent {
    /// The list has a server, or says something else of it. `primary`: what it says of its role, if it does; `up`: it
    /// takes new work.
    ServerListed { server: ServerId, group: GroupId, primary: Option<bool>, up: bool },
    /// The list has it no more.
    ServerUnlisted { server: ServerId },
    /// Discovery was heard.
    DiscoveryAnswered,
    /// An attempt goes out.
    RequestSent { server: ServerId },
    /// It came back, and what the server said that it is.
    RequestEnded { server: ServerId, write: bool, outcome: ProbeOutcome, role: Option<Role> },
    /// A probe that was asked for came back.
    ProbeEnded { server: ServerId, outcome: ProbeOutcome, role: Option<Role> },
    /// A sign of life beside answers: a connection came up.
    ServerAlive { server: ServerId },
    /// A read got its final answer.
    ReadEnded { group: GroupId, served: bool },
    /// Since when the oldest of a group's writes is held for want of a server, if one is.
    WritesQueued { group: GroupId, since: Option<Micros> },
    /// What the proxy itself has to carry: pressure (0 to 1) since the last time, and figures to tell.
    Load { pressure: f64, in_progress: usize, queued: usize, client_capacity: usize },
    /// It is not ready before this time.
    ReadyAt(Micros),
    /// It was told to stop.
    Stopping,
    /// Another process takes over at this time; or does not, after all.
    HandoverAt(Option<Micros>),
    /// An operator takes the proxy out, or back in.
    Maintenance(bool),
}

/// Reads that ended lately.
#[derive(Clone, Debug, Default)]
struct Reads {
    spans: [(u64, u64); SPANS],
    at: Micros,
}

impl Reads {
    fn turn(&mut self, now: Micros) {
        while now - self.at >= SPAN {
            let gone = (now - self.at) / SPAN;
            if gone >= SPANS as Micros {
                self.spans = Default::default();
                self.at = now;
                return;
            }
            self.spans.rotate_right(1);
            self.spans[0] = (0, 0);
            self.at += SPAN;
        }
    }

    fn ended(&mut self, now: Micros, served: bool) {
        self.turn(now);
        self.spans[0].0 += u64::from(served);
        self.spans[0].1 += 1;
    }

    fn failing(&mut self, now: Micros) -> bool {
        self.turn(now);
        let (served, all) = self.spans.iter().fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        all >= ENOUGH && served * ONE_IN < all
    }
}

#[derive(Clone, Debug)]
struct Members {
    write: Claim,
    read: Claim,
    proof: Option<(ServerId, Micros)>,
    /// Evidence has withdrawn the claim: what the list says counts no more until there is a proof.
    distrust: Option<Reason>,
    held: Option<Micros>,
    reads: Reads,
    /// Its servers by the list, and how many of them took work at the last look.
    ids: Vec<ServerId>,
    up: usize,
}

impl Members {
    fn new(now: Micros) -> Members {
        Members {
            write: Claim::new(now),
            read: Claim::new(now),
            proof: None,
            distrust: None,
            held: None,
            reads: Reads::default(),
            ids: Vec::new(),
            up: 0,
        }
    }

    /// Those that take work.
    fn working<'a>(&'a self, servers: &'a Servers) -> impl Iterator<Item = &'a Evidence> {
        self.ids.iter().filter_map(|id| servers.get(id)).map(|w| &w.evidence).filter(|e| e.up)
    }
}

type Servers = BTreeMap<ServerId, Watched>;

struct Watched {
    evidence: Evidence,
    /// A probe is out since then.
    probing: Option<Micros>,
    probe_next: Micros,
    /// Proxies must not ask in step: the next is due so much sooner.
    sooner: Micros,
}

pub struct Monitor {
    settings: HealthSettings,
    servers: BTreeMap<ServerId, Watched>,
    groups: BTreeMap<GroupId, Members>,
    weight: Weight,
    budget: Budget,
    rng: fastrand::Rng,
    discovery: Option<Micros>,
    started: Micros,
    listed: bool,
    ready_at: Micros,
    yield_at: Option<Micros>,
    stopping: bool,
    maintenance: bool,
    seeing: Claim,
    coping: Claim,
    next: Micros,
    verdict: Verdict,
    changes: Vec<Change>,
    wanted: Vec<ServerId>,
    /// Answers and reads alone move nothing that is told at once.
    stepped: Micros,
}

impl Monitor {
    pub fn new(settings: HealthSettings, now: Micros) -> Monitor {
        Monitor {
            verdict: Verdict::new(now, &settings),
            rng: fastrand::Rng::with_seed(settings.seed),
            settings,
            servers: BTreeMap::new(),
            groups: BTreeMap::new(),
            weight: Weight::new(now),
            budget: Budget::new(now),
            discovery: None,
            started: now,
            listed: false,
            ready_at: now,
            yield_at: None,
            stopping: false,
            maintenance: false,
            seeing: Claim::new(now),
            coping: Claim::new(now),
            next: now,
            changes: Vec::new(),
            wanted: Vec::new(),
            stepped: now,
        }
    }

    /// Other settings are in force from now on; what was heard stays.
    pub fn apply_settings(&mut self, now: Micros, settings: HealthSettings) {
        self.verdict.classes.clone_from(&settings.classes);
        self.verdict.aggregation = settings.aggregation;
        self.settings = settings;
        self.next = now;
    }

    /// When the verdict may change or a probe be due, unless a fact comes first.
    pub fn next_change(&self) -> Micros {
        self.next
    }

    /// As of the last step.
    pub fn verdict(&self) -> &Verdict {
        &self.verdict
    }

    /// What was told otherwise since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Whom to probe now. Each must come back as [`HealthEvent::ProbeEnded`].
    pub fn take_probes(&mut self) -> Vec<ServerId> {
        std::mem::take(&mut self.wanted)
    }

    fn by(&mut self, at: Micros) {
        self.next = self.next.min(at);
    }

    pub fn handle_event(&mut self, now: Micros, fact: HealthEvent) {
        match fact {
            HealthEvent::ServerListed { server, group, primary, up } => {
                self.list(now, server, group, primary, up)
            }
            HealthEvent::ServerUnlisted { server } => {
                self.leave(server);
                self.servers.remove(&server);
                self.by(now);
            }
            HealthEvent::DiscoveryAnswered => self.discovery = Some(now),
            HealthEvent::RequestSent { server } => {
                let Some(watched) = self.servers.get_mut(&server) else { return };
                watched.evidence.sent(now);
                let silent = watched.evidence.next(now, &self.settings);
                let suspect = self.settings.probes.as_ref().map(|p| p.suspect_after);
                let suspect = suspect.and_then(|long| watched.evidence.silent_at(now, long));
                silent.into_iter().chain(suspect).for_each(|at| self.by(at));
            }
            HealthEvent::RequestEnded { server, write, outcome: how, role } => {
                self.ended(now, server, write, how);
                if let Some(role) = role {
                    self.says(now, server, role);
                }
            }
            HealthEvent::ProbeEnded { server, outcome: how, role } => {
                let Some(watched) = self.servers.get_mut(&server) else { return };
                if watched.probing.take().is_none() {
                    // It was taken for lost; but a sign of life is one.
                    if !matches!(how, ProbeOutcome::Answered) {
                        return;
                    }
                    watched.evidence.alive(now);
                    self.look(now);
                } else {
                    self.ended(now, server, false, how);
                }
                if let Some(role) = role {
                    self.says(now, server, role);
                }
            }
            HealthEvent::ServerAlive { server } => {
                if let Some(watched) = self.servers.get_mut(&server) {
                    let doubted = watched.evidence.is_gone() || watched.evidence.owes;
                    watched.evidence.alive(now);
                    if doubted {
                        self.look(now);
                    }
                }
            }
            HealthEvent::ReadEnded { group, served } => {
                if let Some(members) = self.groups.get_mut(&group) {
                    members.reads.ended(now, served);
                    if served != members.read.available {
                        self.look(now);
                    }
                }
            }
            HealthEvent::WritesQueued { group, since } => {
                if let Some(members) = self.groups.get_mut(&group)
                    && std::mem::replace(&mut members.held, since) != since
                {
                    let told = since.map_or(now, |since| since + self.settings.silence_limit());
                    self.by(told.max(now));
                }
            }
            HealthEvent::Load { pressure, in_progress, queued: held, client_capacity: room } => {
                self.weight.press(now, pressure, &self.settings.weight);
                (self.verdict.in_progress, self.verdict.queued, self.verdict.client_capacity) =
                    (in_progress, held, room);
                self.by(now);
            }
            HealthEvent::ReadyAt(at) => {
                self.ready_at = at;
                self.by(now);
            }
            HealthEvent::Stopping => {
                self.stopping = true;
                self.by(now);
            }
            HealthEvent::HandoverAt(at) => {
                self.yield_at = at;
                self.by(now);
            }
            HealthEvent::Maintenance(on) => {
                self.maintenance = on;
                self.by(now);
            }
        }
    }

    /// Something may be told otherwise, but need not be at once: a busy proxy looks a hundred times a second at most.
    fn look(&mut self, now: Micros) {
        self.by((self.stepped + 10_000).max(now));
    }

    fn list(&mut self, now: Micros, server: ServerId, group: GroupId, primary: Option<bool>, up: bool) {
        self.listed = true;
        self.by(now);
        let moves = self.servers.get(&server).is_none_or(|w| w.evidence.group != group);
        if moves {
            let tables = self.servers.len() < MOST_SERVERS || self.servers.contains_key(&server);
            if !tables || (self.groups.len() >= MOST_GROUPS && !self.groups.contains_key(&group)) {
                self.verdict.ignored_servers += 1;
                return;
            }
            self.leave(server);
            let evidence = Evidence::new(now, group);
            self.servers.insert(server, Watched { evidence, probing: None, probe_next: now, sooner: 0 });
            self.groups.entry(group).or_insert_with(|| Members::new(now)).ids.push(server);
        }
        if let Some(watched) = self.servers.get_mut(&server) {
            (watched.evidence.listed, watched.evidence.up) = (primary, up);
        }
    }

    /// Its group has it no more.
    fn leave(&mut self, server: ServerId) {
        let group = self.servers.get(&server).map(|w| w.evidence.group);
        if let Some(members) = group.and_then(|group| self.groups.get_mut(&group)) {
            members.ids.retain(|id| *id != server);
        }
    }

    fn ended(&mut self, now: Micros, server: ServerId, write: bool, how: ProbeOutcome) {
        let Some(watched) = self.servers.get_mut(&server) else { return };
        let e = &mut watched.evidence;
        let doubted = e.owes || e.is_gone();
        match how {
            ProbeOutcome::Answered => e.answered(now, write),
            ProbeOutcome::Unanswered => e.unanswered(now, write),
            ProbeOutcome::Refused => e.refused(now),
            ProbeOutcome::Reset => e.reset(now),
            ProbeOutcome::Cancelled | ProbeOutcome::NotSent => e.called_off(now),
        }
        let group = e.group;
        match how {
            // The ordinary case costs no step.
            ProbeOutcome::Answered => {
                if doubted && self.groups.get(&group).is_some_and(|g| !g.write.available || !g.read.available)
                {
                    self.look(now);
                }
            }
            ProbeOutcome::Cancelled | ProbeOutcome::NotSent => {}
            ProbeOutcome::Unanswered | ProbeOutcome::Refused | ProbeOutcome::Reset => self.by(now),
        }
    }

    fn says(&mut self, now: Micros, server: ServerId, role: Role) {
        let Some(watched) = self.servers.get_mut(&server) else { return };
        watched.evidence.says(now, role);
        let Some(members) = self.groups.get_mut(&watched.evidence.group) else { return };
        match role {
            Role::Primary => {
                let moved = members.proof.is_none_or(|(proven, _)| proven != server);
                members.proof = Some((server, now));
                members.distrust = None;
                if moved || !members.write.available {
                    self.look(now);
                }
            }
            Role::Replica => {
                if members.proof.is_some_and(|(proven, _)| proven == server) {
                    members.proof = None;
                    members.distrust = Some(Reason::PrimaryDemoted);
                    self.by(now);
                }
            }
        }
    }

    /// Looks at everything that time or facts may have changed.
    pub fn update(&mut self, now: Micros) {
        self.stepped = now;
        let mut next = Micros::MAX;
        let mut by = |at: Option<Micros>| next = next.min(at.unwrap_or(Micros::MAX));
        self.forget();
        let s = &self.settings;
        for (&group, members) in &mut self.groups {
            let (able, reason) = writes(now, members, &self.servers, s);
            if members.write.see(now, able, reason, s) {
                self.changes.push(Change::Capability {
                    group,
                    operation: Operation::Write,
                    available: able,
                    reason,
                });
                if !able && reason.is_evidence() {
                    (members.proof, members.distrust) = (None, Some(reason));
                }
            }
            if let Some((_, at)) = members.proof {
                by(Some(at + s.proof_window).filter(|at| *at > now));
            }
            by(members.held.map(|since| since + s.silence_limit()).filter(|at| *at > now));
            let (able, reason) = reads(now, members, &self.servers, s);
            if members.read.see(now, able, reason, s) {
                self.changes.push(Change::Capability {
                    group,
                    operation: Operation::Read,
                    available: able,
                    reason,
                });
            }
            // Withdrawn for failing, they are tried again when the last spans have passed.
            by((!members.read.available && reason == Reason::ReadsFailing).then_some(now + SPAN));
            by(members.write.due(s));
            by(members.read.due(s));
        }
        for watched in self.servers.values() {
            by(watched.evidence.next(now, s));
        }
        by(self.own(now));
        let s = &self.settings;
        if let Some(probing) = s.probes.clone() {
            by(self.schedule(now, &probing));
        }
        by([Some(self.ready_at), self.yield_at].into_iter().flatten().filter(|at| *at > now).min());
        self.next = next.max(now + 1);
    }

    /// Groups that no server is of, and what was kept for them.
    fn forget(&mut self) {
        let (servers, budget) = (&self.servers, &mut self.budget);
        self.groups.retain(|group, members| {
            members.up = members.working(servers).count();
            if members.ids.is_empty() {
                budget.forget(*group);
            }
            !members.ids.is_empty()
        });
    }

    /// The whole, and with it what is told of every group.
    fn own(&mut self, now: Micros) -> Option<Micros> {
        let s = &self.settings;
        let deaf = self.discovery.unwrap_or(self.started) + s.discovery_lost_after;
        let tried = self.servers.values().filter(|w| w.evidence.owes || w.evidence.is_gone());
        let dead = |w: &Watched| w.evidence.against(now, s).is_some_and(|a| a != Against::WritesUnanswered);
        let (tried, unheard) = tried.fold((0, 0), |n, w| (n.0 + 1, n.1 + usize::from(dead(w))));
        let lately = self.servers.values().filter_map(|w| w.evidence.heard).max();
        let unheard = tried > 0 && unheard == tried && lately.is_none_or(|at| now - at >= s.silence_limit());
        let blind = now >= deaf && unheard;
        let seeing = if blind { Reason::Blind } else { Reason::Proven };
        self.seeing.see(now, !blind, seeing, s);
        let crowded = self.weight.pressure() >= s.overload_pressure;
        let coping = if crowded { Reason::Overloaded } else { Reason::Proven };
        self.coping.see(now, !crowded, coping, s);
        let starting = now < self.ready_at || !self.listed;
        let replaced = self.yield_at.is_some_and(|at| now >= at);
        let writes = self.groups.values().filter(|g| g.write.available).count();
        let whole = self.groups.values().all(|g| g.write.available && g.read.available);
        let worst = || {
            let claims = self.groups.values().flat_map(|g| [&g.write, &g.read]);
            claims.filter(|c| !c.available).map(|c| c.reason).max().unwrap_or(Reason::NoGroups)
        };
        let (state, reason) = if self.maintenance {
            (State::Maintenance, Reason::Maintenance)
        } else if self.stopping {
            (State::Draining, Reason::Draining)
        } else if replaced {
            (State::Draining, Reason::Replaced)
        } else if starting {
            (State::Starting, Reason::Starting)
        } else if !self.seeing.available {
            (State::Blind, Reason::Blind)
        } else if !self.coping.available {
            (State::Overloaded, Reason::Overloaded)
        } else if writes == 0 {
            (State::NoPrimary, worst())
        } else if !whole {
            (State::Degraded, worst())
        } else {
            (State::Ready, Reason::Proven)
        };
        let able = match state {
            State::Maintenance | State::Draining | State::Starting | State::Blind => false,
            State::Overloaded => s.overload == OverloadPolicy::ReduceWeight,
            State::NoPrimary => s.shared_causes == SharedCausePolicy::StayInRotation,
            State::Degraded | State::Ready => true,
        };
        let percent = self.weight.percent();
        let weight = if able { percent } else { 0 };
        let partial = able && matches!(state, State::Degraded | State::NoPrimary);
        let old = &self.verdict;
        if old.state != state {
            self.changes.push(Change::State { from: old.state, to: state, reason });
        }
        let since = if old.overall.available == able && old.state == state { old.overall.since } else { now };
        let told = Capability { available: able, partial, reason, since, weight_percent: weight };
        // What the proxy's own fault forbids, it forbids in every group; a shared cause does not.
        let own = !able && state != State::NoPrimary;
        let told_of = |claim: &Claim| {
            if own {
                return told;
            }
            let weight = if claim.available { percent } else { 0 };
            Capability {
                available: claim.available,
                partial: false,
                reason: claim.reason,
                since: claim.since,
                weight_percent: weight,
            }
        };
        let groups = self.groups.iter().map(|(&group, members)| GroupVerdict {
            group,
            read: told_of(&members.read),
            write: told_of(&members.write),
            proven_primary: members.proof.map(|(server, _)| server),
            proven_at: members.proof.map(|(_, at)| at),
            working_servers: members.up,
        });
        let groups = groups.collect();
        let verdict = &mut self.verdict;
        (verdict.state, verdict.overall, verdict.groups) = (state, told, groups);
        (verdict.discovery_heard_at, verdict.pressure) = (self.discovery, self.weight.pressure());
        let s = &self.settings;
        // Where something is tried in vain, blindness comes with the end of discovery's time.
        let deaf = (unheard && deaf > now).then_some(deaf);
        // And with the last sign of life growing old.
        let quiet =
            lately.map(|at| at + s.silence_limit()).filter(|at| *at > now && now >= deaf.unwrap_or(now));
        [self.seeing.due(s), self.coping.due(s), deaf, quiet].into_iter().flatten().min()
    }

    /// Whom to probe: whoever owes a sign of life, the primaries of groups that are long unproven, and every member of
    /// a group that has lost its primary.
    fn schedule(&mut self, now: Micros, probing: &ProbeSettings) -> Option<Micros> {
        let mut next: Option<Micros> = None;
        for (&server, watched) in &mut self.servers {
            let e = &watched.evidence;
            let Some(members) = self.groups.get(&e.group).filter(|_| e.up) else { continue };
            if let Some(since) = watched.probing {
                // A driver that lost one must not keep the server from being asked for good.
                if now - since < 4 * probing.timeout {
                    continue;
                }
                watched.probing = None;
                watched.evidence.called_off(now);
            }
            let e = &watched.evidence;
            let leading = match members.proof {
                Some((proven, _)) => proven == server,
                None => e.listed == Some(true),
            };
            let suspect = e.is_gone() || e.silence(now) >= probing.suspect_after;
            let searching = !members.write.available;
            let proven = members.proof.map(|(_, at)| at);
            let due = if (leading && suspect) || searching {
                Some(now)
            } else if leading {
                Some(proven.map_or(now, |at| at + probing.interval - watched.sooner))
            } else {
                None
            };
            let rising = e.silent_at(now, probing.suspect_after).filter(|_| leading);
            let mut by = |at: Micros| next = Some(next.map_or(at, |n: Micros| n.min(at)));
            rising.into_iter().for_each(&mut by);
            let Some(due) = due.map(|at| at.max(watched.probe_next)) else { continue };
            if due > now {
                by(due);
                continue;
            }
            if self.budget.take(now, e.group, probing) {
                watched.probing = Some(now);
                watched.evidence.sent(now);
                watched.sooner = self.rng.i64(0..=probing.interval / 4);
                // Whoever owes an answer is asked again as soon as one is lost, so that the silence has no gaps.
                let searched = searching && !suspect && !leading;
                let pause = if searched { probing.timeout + self.rng.i64(0..=probing.timeout) } else { 0 };
                watched.probe_next = now + pause.max(probing.timeout / 2);
                self.wanted.push(server);
                watched.evidence.next(now, &self.settings).into_iter().for_each(&mut by);
            } else {
                by(now + 50_000);
            }
        }
        next
    }
}

impl Reason {
    /// Something that was heard, or not, speaks against it; the list alone does not take that back.
    fn is_evidence(self) -> bool {
        use Reason::*;
        matches!(self, PrimarySilent | PrimaryGone | PrimaryDemoted | WritesUnanswered | WritesHeld)
    }
}

fn against(now: Micros, e: &Evidence, s: &HealthSettings) -> Option<Reason> {
    Some(match e.against(now, s)? {
        Against::Gone => Reason::PrimaryGone,
        Against::Silent => Reason::PrimarySilent,
        Against::WritesUnanswered => Reason::WritesUnanswered,
    })
}

/// What is seen of a group's writes.
fn writes(now: Micros, members: &Members, servers: &Servers, s: &HealthSettings) -> (bool, Reason) {
    if members.held.is_some_and(|since| now - since >= s.silence_limit()) {
        return (false, Reason::WritesHeld);
    }
    let unproven = if s.idle_groups == IdleGroupPolicy::TrustEndpointList {
        (true, Reason::Trusted)
    } else {
        (false, Reason::Unproven)
    };
    if let Some((server, at)) = members.proof {
        return match members
            .ids
            .contains(&server)
            .then(|| servers.get(&server))
            .flatten()
            .map(|w| &w.evidence)
            .filter(|e| e.up)
        {
            None => (false, Reason::PrimaryLeft),
            Some(e) => match against(now, e, s) {
                Some(reason) => (false, reason),
                None if now - at < s.proof_window => (true, Reason::Proven),
                None => unproven,
            },
        };
    }
    if let Some(reason) = members.distrust {
        return (false, reason);
    }
    match members.working(servers).find(|e| e.listed == Some(true)) {
        // A list that tells no roles claims nothing, but does not deny it either.
        None if members.working(servers).any(|e| e.listed.is_none()) => unproven,
        None => (false, Reason::NoPrimary),
        Some(e) => match against(now, e, s) {
            Some(reason) => (false, reason),
            None if e.role.is_some_and(|(role, _)| role == Role::Replica) => (false, Reason::PrimaryDemoted),
            None => unproven,
        },
    }
}

/// What is seen of a group's reads.
fn reads(now: Micros, members: &mut Members, servers: &Servers, s: &HealthSettings) -> (bool, Reason) {
    let failing = members.reads.failing(now);
    let up = || members.working(servers);
    if up().next().is_none() {
        (false, Reason::NoMembers)
    } else if up().all(|e| e.dead(now, s)) {
        (false, Reason::MembersSilent)
    } else if failing {
        (false, Reason::ReadsFailing)
    } else if up().any(|e| e.heard.is_some_and(|at| now - at < s.proof_window)) {
        (true, Reason::Proven)
    } else {
        (true, Reason::Trusted)
    }
}
