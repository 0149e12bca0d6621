//! A record of what the monitor received, kept apart from it, against which its verdict is checked.

use birchreach_health::{
    AttemptOutcome, HealthSettings, IdleGroupPolicy, Micros, Reason, Role, State, Verdict,
};
use std::collections::HashMap;

/// Resets in a row that count as a refusal, and write timeouts in a row that are evidence.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// What is known of a server.
#[derive(Clone, Default)]
pub(crate) struct ServerRecord {
    pub group: u32,
    pub accepts_work: bool,
    pub listed_as_primary: bool,
    pub requests_in_flight: u32,
    pub probes_in_flight: u32,
    pub sent_at: Option<Micros>,
    last_contact_at: Option<Micros>,
    /// When it first refused connections since the last sign of life.
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

/// Writes were withdrawn for evidence.
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

/// The servers, proofs and withdrawals of one history.
pub(crate) struct ReferenceModel {
    seed: u64,
    settings: HealthSettings,
    pub servers: HashMap<u32, ServerRecord>,
    /// Since when each group's oldest write is queued.
    pub queued_since: HashMap<u32, Micros>,
    /// Each group's reports of a primary.
    proofs: HashMap<u32, Vec<Proof>>,
    /// Withdrawals of writes for evidence, by group, until the writes are restored.
    withdrawals: HashMap<u32, Withdrawal>,
}

impl ReferenceModel {
    /// An model without servers.
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

    /// The record of a server that is known.
    pub(crate) fn server(&mut self, server: u32) -> &mut ServerRecord {
        self.servers.get_mut(&server).unwrap()
    }

    /// The server responded, or a connection to it was established.
    pub(crate) fn record_contact(&mut self, now: Micros, server: u32) {
        let record = self.server(server);
        record.last_contact_at = Some(now);
        record.refused_at = None;
        record.consecutive_resets = 0;
    }

    /// An attempt or a probe ended.
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

    /// The server reported its role, if one is given.
    pub(crate) fn record_role(&mut self, now: Micros, server: u32, role: Option<Role>) {
        let record = self.server(server);
        record.reported_role = role.or(record.reported_role);
        let group = record.group;
        if role == Some(Role::Primary) {
            self.proofs.entry(group).or_default().push(Proof { at: now, server });
        }
    }

    /// The servers of a group.
    fn members(&self, group: u32) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().filter(move |record| record.group == group)
    }

    /// A group's reports of a primary, in their order.
    fn proofs(&self, group: u32) -> &[Proof] {
        self.proofs.get(&group).map_or(&[], Vec::as_slice)
    }

    /// Invariants 2 and 3: a withdrawal has its cause, and one for evidence ends by a later proof alone.
    pub(crate) fn check_change(&mut self, change: WriteChange) {
        let WriteChange { at, group, available, reason } = change;
        if available {
            if let Some(withdrawal) = self.withdrawals.remove(&group) {
                let proven_since = self.proofs(group).iter().any(|proof| proof.at >= withdrawal.at);
                let (seed, reason) = (self.seed, withdrawal.reason);
                assert!(proven_since, "seed {seed}: restored after {reason} without a proof");
            }
            return;
        }
        let seed = self.seed;
        assert!(self.has_cause(change), "seed {seed}: withdrawn at {at} for {reason} without cause");
        if !matches!(reason, Reason::Unproven | Reason::NoPrimary | Reason::PrimaryDrainingOrRemoved) {
            self.withdrawals.insert(group, Withdrawal { at, reason });
        }
    }

    /// Whether the reason for a withdrawal holds.
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

    /// Invariants 1 and 5, and that an unavailable capability has no weight.
    pub(crate) fn check_verdict(&self, now: Micros, verdict: &Verdict) {
        let (seed, settings) = (self.seed, &self.settings);
        let delay = settings.withdraw_after + settings.min_time_available;
        for group in &verdict.groups {
            let (id, write) = (group.group.0, group.write);
            if settings.idle_groups == IdleGroupPolicy::Withdraw && write.available {
                let proof = self.proofs(id).last();
                let fresh = proof.is_some_and(|proof| now - proof.at <= settings.proof_window + delay);
                assert!(fresh, "seed {seed}: group {id} has writes at {now} without a proof");
            }
            assert!(
                write.weight_percent == 0 || write.available,
                "seed {seed}: weight without the capability"
            );
        }
        let own_fault = matches!(verdict.state, State::Starting | State::Isolated);
        let weight = if own_fault { 0 } else { 100 };
        let state = verdict.state;
        assert_eq!(verdict.overall.weight_percent, weight, "seed {seed}: {state} changed the overall weight");
    }
}
