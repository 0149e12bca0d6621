//! A reference model of the monitor. It receives the same events, keeps its own simple records, and checks the verdict
//! against them.

use birchreach_health::{
    AttemptOutcome, HealthSettings, IdleGroupPolicy, Micros, Reason, Role, State, Verdict,
};
use std::collections::HashMap;

/// After this many consecutive resets a server counts as unreachable, and after this many consecutive write timeouts as
/// not responding to writes.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

#[derive(Clone, Default)]
pub(crate) struct ServerRecord {
    pub group: u32,
    pub accepts_work: bool,
    pub listed_as_primary: bool,
    pub requests_in_flight: u32,
    pub probes_in_flight: u32,
    pub sent_at: Option<Micros>,
    last_contact_at: Option<Micros>,
    /// When the server first refused connections after the last contact.
    refused_at: Option<Micros>,
    consecutive_resets: u32,
    reported_role: Option<Role>,
    write_timeouts: u32,
}

/// A server's report that it is the primary.
struct Proof {
    at: Micros,
    server: u32,
}

/// A withdrawal of writes because of evidence.
struct Withdrawal {
    at: Micros,
    reason: Reason,
}

/// A change of a group's write capability.
#[derive(Clone, Copy)]
pub(crate) struct WriteChange {
    pub at: Micros,
    pub group: u32,
    pub available: bool,
    pub reason: Reason,
}

/// The model's records of one history.
pub(crate) struct ReferenceModel {
    seed: u64,
    settings: HealthSettings,
    pub servers: HashMap<u32, ServerRecord>,
    /// When each group's oldest queued write was queued. Groups without queued writes are absent.
    pub queued_since: HashMap<u32, Micros>,
    /// The proofs of each group, in the order of their times.
    proofs: HashMap<u32, Vec<Proof>>,
    /// The withdrawal of each group whose writes were withdrawn because of evidence and not restored yet.
    withdrawals: HashMap<u32, Withdrawal>,
}

impl ReferenceModel {
    /// Creates a model without servers.
    pub(crate) fn new(seed: u64, settings: HealthSettings) -> ReferenceModel {
        ReferenceModel {
            seed,
            settings,
            servers: HashMap::new(),
            queued_since: HashMap::new(),
            proofs: HashMap::new(),
            withdrawals: HashMap::new(),
        }
    }

    /// Returns the record of a listed server.
    pub(crate) fn server(&mut self, server: u32) -> &mut ServerRecord {
        self.servers.get_mut(&server).unwrap()
    }

    /// Records a response or an established connection.
    pub(crate) fn record_contact(&mut self, now: Micros, server: u32) {
        let record = self.server(server);
        record.last_contact_at = Some(now);
        record.refused_at = None;
        record.consecutive_resets = 0;
    }

    /// Records the outcome of an attempt or a probe.
    pub(crate) fn record_outcome(&mut self, now: Micros, server: u32, write: bool, outcome: AttemptOutcome) {
        let record = self.server(server);
        match outcome {
            AttemptOutcome::TimedOut if write => record.write_timeouts += 1,
            AttemptOutcome::Refused => record.refused_at = record.refused_at.or(Some(now)),
            AttemptOutcome::Reset => {
                record.consecutive_resets += 1;
                let refuses = record.consecutive_resets >= MAX_CONSECUTIVE_FAILURES;
                record.refused_at = record.refused_at.or(refuses.then_some(now));
            }
            AttemptOutcome::Answered if write => record.write_timeouts = 0,
            _ => {}
        }
        if outcome == AttemptOutcome::Answered {
            self.record_contact(now, server);
        }
    }

    /// Records the role that the server reported, if any.
    pub(crate) fn record_role(&mut self, now: Micros, server: u32, role: Option<Role>) {
        let record = self.server(server);
        record.reported_role = role.or(record.reported_role);
        let group = record.group;
        if role == Some(Role::Primary) {
            self.proofs.entry(group).or_default().push(Proof { at: now, server });
        }
    }

    fn members(&self, group: u32) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().filter(move |record| record.group == group)
    }

    fn proofs(&self, group: u32) -> &[Proof] {
        self.proofs.get(&group).map_or(&[], Vec::as_slice)
    }

    /// Checks invariants 2 and 3. A withdrawal must have a cause, and only a later proof may end a withdrawal because
    /// of evidence.
    pub(crate) fn check_change(&mut self, change: WriteChange) {
        let WriteChange { at, group, available, reason } = change;
        if available {
            if let Some(withdrawal) = self.withdrawals.remove(&group) {
                let proven_since = self.proofs(group).iter().any(|proof| proof.at >= withdrawal.at);
                let (seed, reason) = (self.seed, withdrawal.reason);
                assert!(proven_since, "seed {seed}: writes restored after {reason} without a proof");
            }
            return;
        }
        let seed = self.seed;
        assert!(self.has_cause(change), "seed {seed}: writes withdrawn at {at} for {reason} without a cause");
        if !matches!(reason, Reason::Unproven | Reason::NoPrimary | Reason::PrimaryDrainingOrRemoved) {
            self.withdrawals.insert(group, Withdrawal { at, reason });
        }
    }

    /// Returns whether the records confirm the reason for a withdrawal.
    fn has_cause(&self, WriteChange { at: now, group, reason, .. }: WriteChange) -> bool {
        let (settings, proofs) = (&self.settings, self.proofs(group));
        let is_unresponsive = |record: &ServerRecord| {
            let silent = record.last_contact_at.is_none_or(|at| now - at >= settings.silence_limit());
            record.sent_at.is_some() && silent
        };
        match reason {
            Reason::PrimaryUnresponsive => self.members(group).any(is_unresponsive),
            Reason::PrimaryUnreachable => self.members(group).any(|record| record.refused_at.is_some()),
            Reason::PrimaryDemoted => {
                self.members(group).any(|record| record.reported_role == Some(Role::Replica))
            }
            Reason::WritesUnanswered => {
                self.members(group).any(|record| record.write_timeouts >= MAX_CONSECUTIVE_FAILURES)
            }
            Reason::WritesQueued => {
                self.queued_since.get(&group).is_some_and(|since| now - since >= settings.silence_limit())
            }
            Reason::Unproven => {
                let expired = proofs.last().is_none_or(|proof| now - proof.at >= settings.proof_window);
                settings.idle_groups == IdleGroupPolicy::Withdraw && expired
            }
            Reason::NoPrimary => {
                !self.members(group).any(|record| record.accepts_work && record.listed_as_primary)
            }
            Reason::PrimaryDrainingOrRemoved => {
                proofs.last().is_some_and(|proof| !self.servers[&proof.server].accepts_work)
            }
            _ => false,
        }
    }

    /// Checks invariants 1 and 5, and that an unavailable capability has the weight 0.
    pub(crate) fn check_verdict(&self, now: Micros, verdict: &Verdict) {
        let (seed, settings) = (self.seed, &self.settings);
        let delay = settings.withdraw_after + settings.min_time_available;
        for group in &verdict.groups {
            let (id, write) = (group.group.0, group.write);
            if settings.idle_groups == IdleGroupPolicy::Withdraw && write.available {
                let proof = self.proofs(id).last();
                let fresh = proof.is_some_and(|proof| now - proof.at <= settings.proof_window + delay);
                assert!(fresh, "seed {seed}: writes of group {id} are available at {now} without a proof");
            }
            assert!(
                write.weight_percent == 0 || write.available,
                "seed {seed}: writes of group {id} are unavailable and have a weight"
            );
        }
        let own_fault = matches!(verdict.state, State::Starting | State::Isolated);
        let weight = if own_fault { 0 } else { 100 };
        let state = verdict.state;
        assert_eq!(verdict.overall.weight_percent, weight, "seed {seed}: {state} changed the overall weight");
    }
}
