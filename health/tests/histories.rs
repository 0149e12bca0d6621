//! The crate's invariants over seeded histories: random facts at random times, and beside the monitor an account kept
//! here of what was heard. A seed that fails is printed, and fails again.

use birchreach_health::{
    Change, GroupId, HealthEvent, HealthSettings, IdleGroupPolicy, Micros, Monitor, Operation, ProbeOutcome,
    ProbeSettings, Reason, RequestClass, RequiredServer, Role, ServerId, State,
};
use std::collections::HashMap;

const HISTORIES: u64 = 10_000;
const FACTS: usize = 120;

/// What was heard of a server, as an honest clerk would note it.
#[derive(Clone, Default)]
struct Noted {
    group: u32,
    up: bool,
    primary: bool,
    out: u32,
    life: Option<Micros>,
    sent: Option<Micros>,
    refused: Option<Micros>,
    resets: u32,
    said: Option<Role>,
    writes_timed_out: u32,
    write_timed_out: Option<Micros>,
    probed: u32,
}

struct History {
    seed: u64,
    rng: fastrand::Rng,
    now: Micros,
    settings: HealthSettings,
    monitor: Monitor,
    servers: HashMap<u32, Noted>,
    /// Each group's last word of a primary, and when its claim fell for evidence.
    proofs: HashMap<u32, Vec<(Micros, u32)>>,
    held: HashMap<u32, Micros>,
    fell: HashMap<u32, (Micros, Reason)>,
    changes: Vec<(Micros, Change)>,
    probes: Vec<(Micros, u32)>,
}

fn settings(seed: u64) -> HealthSettings {
    let class = |name: &str, needs| RequestClass { name: name.into(), needs };
    let classes =
        vec![class("file-entry", RequiredServer::Primary), class("tariff-lookup", RequiredServer::AnyMember)];
    let probes = seed.is_multiple_of(2).then(ProbeSettings::default);
    let idle = if probes.is_some() && seed.is_multiple_of(4) {
        IdleGroupPolicy::Withdraw
    } else {
        IdleGroupPolicy::TrustEndpointList
    };
    let settings = HealthSettings { classes, probes, idle_groups: idle, seed, ..HealthSettings::default() };
    assert_eq!(settings.errors(), []);
    settings
}

impl History {
    fn new(seed: u64) -> History {
        let settings = settings(seed);
        let mut history = History {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: 1_000_000,
            monitor: Monitor::new(settings.clone(), 1_000_000),
            settings,
            servers: HashMap::new(),
            proofs: HashMap::new(),
            held: HashMap::new(),
            fell: HashMap::new(),
            changes: Vec::new(),
            probes: Vec::new(),
        };
        for n in 0..history.rng.u32(2..7) {
            history.list(n, n % 2, n < 2, true);
        }
        history.step();
        history
    }

    fn list(&mut self, n: u32, group: u32, primary: bool, up: bool) {
        let noted = self.servers.entry(n).or_default();
        (noted.group, noted.primary, noted.up) = (group, primary, up);
        self.tell(HealthEvent::ServerListed {
            server: ServerId(n),
            group: GroupId(group),
            primary: Some(primary),
            up,
        });
    }

    fn tell(&mut self, fact: HealthEvent) {
        self.monitor.handle_event(self.now, fact);
    }

    fn life(&mut self, n: u32) {
        let now = self.now;
        let noted = self.servers.get_mut(&n).unwrap();
        (noted.life, noted.refused, noted.resets) = (Some(now), None, 0);
    }

    fn said(&mut self, n: u32, role: Option<Role>) {
        let noted = self.servers.get_mut(&n).unwrap();
        noted.said = role.or(noted.said);
        if role == Some(Role::Primary) {
            self.proofs.entry(noted.group).or_default().push((self.now, n));
        }
    }

    fn come_back(&mut self, n: u32, write: bool, probe: bool) {
        let how = match self.rng.u8(0..10) {
            0..4 => ProbeOutcome::Answered,
            4 | 5 => ProbeOutcome::Unanswered,
            6 => ProbeOutcome::Refused,
            7 => ProbeOutcome::Reset,
            8 => ProbeOutcome::Cancelled,
            _ => ProbeOutcome::NotSent,
        };
        let answered = matches!(how, ProbeOutcome::Answered);
        let role = (answered && self.rng.u8(0..4) > 0).then(|| {
            let primary = self.servers[&n].primary != (self.rng.u8(0..8) == 0);
            if primary { Role::Primary } else { Role::Replica }
        });
        let now = self.now;
        let noted = self.servers.get_mut(&n).unwrap();
        match how {
            ProbeOutcome::Unanswered if write => {
                noted.writes_timed_out += 1;
                noted.write_timed_out = Some(now);
            }
            ProbeOutcome::Refused => noted.refused = noted.refused.or(Some(now)),
            ProbeOutcome::Reset => {
                noted.resets += 1;
                noted.refused = noted.refused.or((noted.resets >= 3).then_some(now));
            }
            ProbeOutcome::Answered if write => noted.writes_timed_out = 0,
            _ => {}
        }
        if answered {
            self.life(n);
        }
        self.said(n, role);
        let server = ServerId(n);
        self.tell(if probe {
            HealthEvent::ProbeEnded { server, outcome: how, role }
        } else {
            HealthEvent::RequestEnded { server, write, outcome: how, role }
        });
    }

    fn fact(&mut self) {
        let n = self.rng.u32(0..self.servers.len() as u32);
        let group = self.servers[&n].group;
        match self.rng.u8(0..20) {
            0 => {
                let (up, primary) = (self.rng.u8(0..4) > 0, self.rng.u8(0..3) == 0);
                self.list(n, group, primary, up);
            }
            1 => {
                let now = self.now;
                let since = if self.held.remove(&group).is_none() { Some(now) } else { None };
                self.held.extend(since.map(|at| (group, at)));
                self.tell(HealthEvent::WritesQueued { group: GroupId(group), since });
            }
            2 => self.tell(HealthEvent::DiscoveryAnswered),
            3 => {
                self.life(n);
                self.tell(HealthEvent::ServerAlive { server: ServerId(n) });
            }
            4 | 5 => {
                let served = self.rng.bool();
                self.tell(HealthEvent::ReadEnded { group: GroupId(group), served });
            }
            _ => {
                let now = self.now;
                let noted = self.servers.get_mut(&n).unwrap();
                if noted.probed > 0 && self.rng.bool() {
                    self.servers.get_mut(&n).unwrap().probed -= 1;
                    self.come_back(n, false, true);
                } else if noted.out > 0 && self.rng.u8(0..3) > 0 {
                    noted.out -= 1;
                    let write = self.rng.bool();
                    self.come_back(n, write, false);
                } else {
                    noted.out += 1;
                    noted.sent = Some(now);
                    self.tell(HealthEvent::RequestSent { server: ServerId(n) });
                }
            }
        }
    }

    fn step(&mut self) {
        self.monitor.update(self.now);
        for server in self.monitor.take_probes() {
            let noted = self.servers.get_mut(&server.0).unwrap();
            noted.probed = 1;
            noted.sent = Some(self.now);
            self.probes.push((self.now, server.0));
        }
        for change in self.monitor.take_changes() {
            self.changes.push((self.now, change));
            if let Change::Capability { group, operation: Operation::Write, available: able, reason } = change
            {
                self.judge(group.0, able, reason);
            }
        }
    }

    /// A write claim was made or withdrawn: was there cause?
    fn judge(&mut self, group: u32, able: bool, reason: Reason) {
        let (now, seed, s) = (self.now, self.seed, &self.settings);
        let members = || self.servers.values().filter(|n| n.group == group);
        let proofs = self.proofs.get(&group).map_or(&[][..], Vec::as_slice);
        if able {
            if let Some((at, why)) = self.fell.remove(&group) {
                assert!(proofs.iter().any(|(t, _)| *t >= at), "seed {seed}: back from {why} without a proof");
            }
            return;
        }
        let owes = |n: &Noted| n.sent.is_some() && n.life.is_none_or(|l| now - l >= s.silence_limit());
        let cause = match reason {
            Reason::PrimarySilent => members().any(owes),
            Reason::PrimaryGone => members().any(|n| n.refused.is_some()),
            Reason::PrimaryDemoted => members().any(|n| n.said == Some(Role::Replica)),
            Reason::WritesUnanswered => members().any(|n| n.writes_timed_out >= 3),
            Reason::WritesHeld => self.held.get(&group).is_some_and(|at| now - at >= s.silence_limit()),
            Reason::Unproven => {
                s.idle_groups == IdleGroupPolicy::Withdraw
                    && proofs.last().is_none_or(|(t, _)| now - t >= s.proof_window)
            }
            Reason::NoPrimary => !members().any(|n| n.up && n.primary),
            Reason::PrimaryLeft => proofs.last().is_some_and(|(_, n)| !self.servers[n].up),
            _ => false,
        };
        assert!(cause, "seed {seed}: withdrawn at {now} for {reason} without cause");
        if !matches!(reason, Reason::Unproven | Reason::NoPrimary | Reason::PrimaryLeft) {
            self.fell.insert(group, (now, reason));
        }
    }

    /// What holds at every moment.
    fn always(&self) {
        let (now, seed, s, verdict) = (self.now, self.seed, &self.settings, self.monitor.verdict());
        let lag = s.withdraw_after + s.min_time_available;
        for g in &verdict.groups {
            let proof = self.proofs.get(&g.group.0).and_then(|p| p.last());
            if s.idle_groups == IdleGroupPolicy::Withdraw && g.write.available {
                let fresh = proof.is_some_and(|(t, _)| now - t <= s.proof_window + lag);
                assert!(fresh, "seed {seed}: group {} is claimed at {now} without a proof", g.group.0);
            }
            assert!(g.write.weight_percent == 0 || g.write.available, "seed {seed}: weight without a claim");
        }
        let own = matches!(verdict.state, State::Starting | State::Blind);
        let weight = if own { 0 } else { 100 };
        assert_eq!(verdict.overall.weight_percent, weight, "seed {seed}: {} moved the whole", verdict.state);
    }

    /// Goes on to a later time, waking when the monitor wants to.
    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.monitor.next_change() <= until {
            assert!(self.monitor.next_change() > self.now, "seed {}: it wakes without end", self.seed);
            self.now = self.monitor.next_change();
            self.step();
        }
        self.now = until;
    }

    fn play(mut self) -> History {
        for _ in 0..FACTS {
            let span =
                if self.rng.u8(0..8) == 0 { self.rng.i64(0..4_000_000) } else { self.rng.i64(0..60_000) };
            self.pass(span);
            for _ in 0..self.rng.u8(1..4) {
                self.fact();
            }
            if self.monitor.next_change() <= self.now {
                self.step();
            }
            self.always();
        }
        self
    }
}

/// Invariants 1, 2, 3 and 5 are looked at within, 4 and 7 at the end.
#[test]
fn histories_of_facts_keep_the_invariants() {
    let (mut claims, mut withdrawn, mut probes) = (0, 0, 0);
    for seed in 0..HISTORIES {
        let history = History::new(seed).play();
        transitions_are_bounded(&history);
        probes_stay_within_their_budget(&history);
        let fell = |(_, c): &&(Micros, Change)| matches!(c, Change::Capability { available: false, .. });
        claims += history.changes.len();
        withdrawn += history.changes.iter().filter(fell).count();
        probes += history.probes.len();
    }
    println!("{HISTORIES} histories: {claims} changes, {withdrawn} withdrawals, {probes} probes");
    assert!(
        withdrawn > HISTORIES as usize / 2 && probes > 0,
        "histories in which nothing happens show nothing"
    );
}

fn transitions_are_bounded(history: &History) {
    let s = &history.settings;
    let mut last: HashMap<(GroupId, bool), (Micros, bool, u32)> = HashMap::new();
    for (at, change) in &history.changes {
        let Change::Capability { group, operation: kind, available: able, .. } = change else { continue };
        let key = (*group, *kind == Operation::Write);
        let (before, _, falls) = last.get(&key).copied().unwrap_or((Micros::MIN / 2, false, 0));
        let held = if *able { s.min_time_unavailable.max(s.restore_after) } else { s.min_time_available };
        assert!(falls == 0 && *able || at - before >= held, "seed {}: held too short at {at}", history.seed);
        last.insert(key, (*at, *able, falls + u32::from(!*able)));
    }
}

fn probes_stay_within_their_budget(history: &History) {
    let Some(s) = &history.settings.probes else { return assert!(history.probes.is_empty()) };
    let check = |times: &[Micros], rate: f64, burst: f64| {
        for (i, from) in times.iter().enumerate() {
            for (n, to) in times[i..].iter().enumerate() {
                let allowed = burst + rate * (to - from) as f64 / 1e6;
                assert!((n + 1) as f64 <= allowed + 1e-6, "seed {}: probes beyond the budget", history.seed);
            }
        }
    };
    check(&history.probes.iter().map(|p| p.0).collect::<Vec<_>>(), s.total_rate_per_s, 8.0);
    for group in 0..2 {
        let of = history.probes.iter().filter(|(_, n)| history.servers[n].group == group);
        check(&of.map(|p| p.0).collect::<Vec<_>>(), s.group_rate_per_s, 3.0);
    }
}

/// Invariant 8: who looks at odd times between sees nothing that the sleeper does not.
#[test]
fn sleepers_miss_nothing() {
    for seed in (1..2_000).step_by(2) {
        let mut sleeper = History::new(seed);
        let mut restless = History::new(seed);
        let mut odd = fastrand::Rng::with_seed(!seed);
        for _ in 0..FACTS {
            let span = sleeper.rng.i64(0..400_000);
            assert_eq!(restless.rng.i64(0..400_000), span);
            sleeper.pass(span);
            let looks = odd.u8(0..4);
            let mut left = span;
            for _ in 0..looks {
                let part = odd.i64(0..=left);
                restless.pass(part);
                restless.step();
                left -= part;
            }
            restless.pass(left);
            for history in [&mut sleeper, &mut restless] {
                history.fact();
                history.step();
            }
            assert_eq!(sleeper.changes, restless.changes, "seed {seed}");
            let (a, b) = (sleeper.monitor.verdict(), restless.monitor.verdict());
            assert_eq!((a.state, a.overall, &a.groups), (b.state, b.overall, &b.groups), "seed {seed}");
        }
    }
}
