//! A seeded history: random events at random times, which the monitor and the reference model receive.

use crate::common::request_classes;
use crate::reference_model::{ReferenceModel, WriteChange};
use birchreach_health::{
    AttemptOutcome, Change, GroupId, HealthEvent, HealthSettings, IdleGroupPolicy, Micros, Monitor,
    Operation, ProbeSettings, Role, ServerId,
};

/// The number of steps in a history. Each step has one to three events.
pub(crate) const STEPS: usize = 120;

/// A monitor, the random generator that drives it, and the monitor's output.
pub(crate) struct History {
    pub seed: u64,
    pub rng: fastrand::Rng,
    now: Micros,
    pub settings: HealthSettings,
    pub monitor: Monitor,
    pub model: ReferenceModel,
    /// Every change of the verdict with its time.
    pub changes: Vec<(Micros, Change)>,
    /// The time and the server of every probe.
    pub probes: Vec<(Micros, u32)>,
}

/// Returns the settings of a history. Every second seed has probes, and every fourth withdraws idle groups.
fn settings(seed: u64) -> HealthSettings {
    let classes = request_classes();
    let probes = seed.is_multiple_of(2).then(ProbeSettings::default);
    let idle_groups = if probes.is_some() && seed.is_multiple_of(4) {
        IdleGroupPolicy::Withdraw
    } else {
        IdleGroupPolicy::TrustEndpointList
    };
    let settings = HealthSettings { classes, probes, idle_groups, seed, ..HealthSettings::default() };
    assert_eq!(settings.errors(), []);
    settings
}

impl History {
    /// Creates a history of two groups with two to six servers in total.
    pub(crate) fn new(seed: u64) -> History {
        let settings = settings(seed);
        let start = 1_000_000;
        let mut history = History {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: start,
            monitor: Monitor::new(settings.clone(), start),
            model: ReferenceModel::new(seed, settings.clone()),
            settings,
            changes: Vec::new(),
            probes: Vec::new(),
        };
        for server in 0..history.rng.u32(2..7) {
            history.list(server, server % 2, server < 2, true);
        }
        history.update();
        history
    }

    /// Runs all steps of the history and checks the verdict after each step.
    pub(crate) fn run(mut self) -> History {
        for _ in 0..STEPS {
            let is_long = self.rng.u8(0..8) == 0;
            let span = if is_long { self.rng.i64(0..4_000_000) } else { self.rng.i64(0..60_000) };
            self.advance(span);
            for _ in 0..self.rng.u8(1..4) {
                self.random_event();
            }
            if self.monitor.next_change() <= self.now {
                self.update();
            }
            self.model.check_verdict(self.now, self.monitor.verdict());
        }
        self
    }

    /// Advances the time and updates the monitor whenever an update is due.
    pub(crate) fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        while self.monitor.next_change() <= until {
            let next = self.monitor.next_change();
            assert!(next > self.now, "seed {}: the next update is not in the future", self.seed);
            self.now = next;
            self.update();
        }
        self.now = until;
    }

    /// Updates the monitor, records its probes and changes, and checks the changes of write capabilities.
    pub(crate) fn update(&mut self) {
        let now = self.now;
        self.monitor.update(now);
        for server in self.monitor.take_probes() {
            let record = self.model.server(server.0);
            record.probes_in_flight = 1;
            record.sent_at = Some(now);
            self.probes.push((now, server.0));
        }
        for change in self.monitor.take_changes() {
            self.changes.push((now, change));
            if let Change::Capability { group, operation: Operation::Write, available, reason } = change {
                self.model.check_change(WriteChange { at: now, group: group.0, available, reason });
            }
        }
    }

    /// Sends a random event for a random server or its group.
    pub(crate) fn random_event(&mut self) {
        let server = self.rng.u32(0..self.model.servers.len() as u32);
        let group = self.model.servers[&server].group;
        match self.rng.u8(0..20) {
            0 => {
                let (accepts_work, primary) = (self.rng.u8(0..4) > 0, self.rng.u8(0..3) == 0);
                self.list(server, group, primary, accepts_work);
            }
            1 => self.begin_or_end_queueing(group),
            2 => self.handle(HealthEvent::DiscoveryAnswered),
            3 => {
                self.model.record_contact(self.now, server);
                self.handle(HealthEvent::ServerAlive { server: ServerId(server) });
            }
            4 | 5 => {
                let served = self.rng.bool();
                self.handle(HealthEvent::ReadEnded { group: GroupId(group), served });
            }
            _ => self.send_or_end(server),
        }
    }

    fn handle(&mut self, event: HealthEvent) {
        self.monitor.handle_event(self.now, event);
    }

    /// Lists a server or changes its entry.
    fn list(&mut self, server: u32, group: u32, primary: bool, accepts_work: bool) {
        let record = self.model.servers.entry(server).or_default();
        record.group = group;
        record.listed_as_primary = primary;
        record.accepts_work = accepts_work;
        self.handle(HealthEvent::ServerListed {
            server: ServerId(server),
            group: GroupId(group),
            primary: Some(primary),
            accepts_work,
        });
    }

    /// Begins queueing of the group's writes, or ends it if writes are queued.
    fn begin_or_end_queueing(&mut self, group: u32) {
        let was_queued = self.model.queued_since.remove(&group).is_some();
        let since = if was_queued { None } else { Some(self.now) };
        self.model.queued_since.extend(since.map(|at| (group, at)));
        self.handle(HealthEvent::WritesQueued { group: GroupId(group), since });
    }

    /// Sends an attempt to the server, or ends an attempt or a probe that is in flight.
    fn send_or_end(&mut self, server: u32) {
        let now = self.now;
        let record = self.model.server(server);
        if record.probes_in_flight > 0 && self.rng.bool() {
            record.probes_in_flight -= 1;
            self.end_attempt(server, false, true);
        } else if record.requests_in_flight > 0 && self.rng.u8(0..3) > 0 {
            record.requests_in_flight -= 1;
            let write = self.rng.bool();
            self.end_attempt(server, write, false);
        } else {
            record.requests_in_flight += 1;
            record.sent_at = Some(now);
            self.handle(HealthEvent::AttemptSent { server: ServerId(server) });
        }
    }

    /// Ends an attempt or a probe with a random outcome.
    fn end_attempt(&mut self, server: u32, write: bool, is_probe: bool) {
        let outcome = match self.rng.u8(0..10) {
            0..4 => AttemptOutcome::Answered,
            4 | 5 => AttemptOutcome::TimedOut,
            6 => AttemptOutcome::Refused,
            7 => AttemptOutcome::Reset,
            8 => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::NotSent,
        };
        let reports_role = outcome == AttemptOutcome::Answered && self.rng.u8(0..4) > 0;
        let role = reports_role.then(|| {
            // With a probability of 1/8 the server's report contradicts the endpoint list.
            let is_primary = self.model.servers[&server].listed_as_primary != (self.rng.u8(0..8) == 0);
            if is_primary { Role::Primary } else { Role::Replica }
        });
        self.model.record_outcome(self.now, server, write, outcome);
        self.model.record_role(self.now, server, role);
        let server = ServerId(server);
        self.handle(if is_probe {
            HealthEvent::ProbeEnded { server, outcome, role }
        } else {
            HealthEvent::AttemptEnded { server, write, outcome, role }
        });
    }
}
