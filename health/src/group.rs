//! The state of one group of servers, from which the availability of the group's reads and writes is derived.

use crate::evidence::{FailureEvidence, ServerEvidence};
use crate::hysteresis::{Observation, ReportedCapability};
use crate::labels::{Operation, Reason};
use crate::read_window::{INTERVAL_MICROS, ReadWindow};
use crate::server_table::Servers;
use crate::settings::{HealthSettings, IdleGroupPolicy};
use crate::verdict::Change;
use crate::{GroupId, Micros, Role, ServerId, earliest};

/// How soon the verdict must be recomputed after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateUrgency {
    /// The event doesn't change the verdict.
    None,
    /// The update may be delayed and cover several events.
    Deferred,
    /// The update must not be delayed.
    Immediate,
}

/// A server's report that it is the primary.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrimaryProof {
    pub server: ServerId,
    pub at: Micros,
}

/// The evidence about a group and the capabilities reported for it.
#[derive(Clone, Debug)]
pub(crate) struct GroupState {
    pub write: ReportedCapability,
    pub read: ReportedCapability,
    /// The latest proof, until evidence contradicts it.
    pub primary_proof: Option<PrimaryProof>,
    /// The evidence that caused writes to be withdrawn. While this is set, the endpoint list is not trusted; a new
    /// proof clears it.
    pub withdrawn_for: Option<Reason>,
    /// When the oldest queued write was queued; `None` if no write is queued.
    pub writes_queued_since: Option<Micros>,
    pub reads: ReadWindow,
    /// The servers that the endpoint list assigns to this group.
    pub members: Vec<ServerId>,
    /// The number of members that accepted work at the last update.
    pub accepting_members: usize,
}

impl GroupState {
    /// Creates the state of a group without members.
    pub(crate) fn new(now: Micros) -> GroupState {
        GroupState {
            write: ReportedCapability::new(now),
            read: ReportedCapability::new(now),
            primary_proof: None,
            withdrawn_for: None,
            writes_queued_since: None,
            reads: ReadWindow::default(),
            members: Vec::new(),
            accepting_members: 0,
        }
    }

    /// Returns the evidence about each member that accepts work.
    pub(crate) fn accepting<'a>(&'a self, servers: &'a Servers) -> impl Iterator<Item = &'a ServerEvidence> {
        let members = self.members.iter().filter_map(|id| servers.get(id));
        members.map(|server| &server.evidence).filter(|evidence| evidence.accepts_work)
    }

    /// Records the role that a member reported.
    pub(crate) fn record_role(&mut self, now: Micros, server: ServerId, role: Role) -> UpdateUrgency {
        let known = self.primary_proof.is_some_and(|proof| proof.server == server);
        match role {
            Role::Primary => {
                self.primary_proof = Some(PrimaryProof { server, at: now });
                self.withdrawn_for = None;
                if known && self.write.available { UpdateUrgency::None } else { UpdateUrgency::Deferred }
            }
            Role::Replica if known => {
                self.primary_proof = None;
                self.withdrawn_for = Some(Reason::PrimaryDemoted);
                UpdateUrgency::Immediate
            }
            Role::Replica => UpdateUrgency::None,
        }
    }

    /// Recomputes both capabilities and appends their changes to `changes`. Returns when the capabilities may change
    /// next without an event.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        group: GroupId,
        servers: &Servers,
        settings: &HealthSettings,
        changes: &mut Vec<Change>,
    ) -> Option<Micros> {
        let write = self.observe_writes(now, servers, settings);
        if self.write.observe(now, write, settings) {
            let Observation { available, reason } = write;
            changes.push(Change::Capability { group, operation: Operation::Write, available, reason });
            if !available && reason.contradicts_endpoint_list() {
                self.primary_proof = None;
                self.withdrawn_for = Some(reason);
            }
        }
        let read = self.observe_reads(now, servers, settings);
        if self.read.observe(now, read, settings) {
            let Observation { available, reason } = read;
            changes.push(Change::Capability { group, operation: Operation::Read, available, reason });
        }
        // Reads that were withdrawn because they failed are attempted again when the window starts a new interval.
        let reads_failing = !self.read.available && read.reason == Reason::ReadsFailing;
        let reads_retried_at = reads_failing.then_some(now + INTERVAL_MICROS);
        earliest(self.next_change(now, settings), reads_retried_at)
    }

    /// Returns when a capability may change next without an event.
    fn next_change(&self, now: Micros, settings: &HealthSettings) -> Option<Micros> {
        let proof_expires_at = self.primary_proof.map(|proof| proof.at + settings.proof_window);
        let queueing_counts_at = self.writes_queued_since.map(|since| since + settings.silence_limit());
        let ahead = [proof_expires_at, queueing_counts_at].into_iter().flatten().filter(|at| *at > now).min();
        let reported = earliest(self.write.changes_at(settings), self.read.changes_at(settings));
        earliest(ahead, reported)
    }

    /// Derives from the current evidence whether writes are available.
    fn observe_writes(&self, now: Micros, servers: &Servers, settings: &HealthSettings) -> Observation {
        if self.writes_queued_since.is_some_and(|since| now - since >= settings.silence_limit()) {
            return Observation::unavailable(Reason::WritesQueued);
        }
        if let Some(proof) = self.primary_proof {
            return self.observe_proven_primary(now, proof, servers, settings);
        }
        if let Some(reason) = self.withdrawn_for {
            return Observation::unavailable(reason);
        }
        self.observe_listed_primary(now, servers, settings)
    }

    /// Derives whether writes are available when a server has reported that it is the primary.
    fn observe_proven_primary(
        &self,
        now: Micros,
        proof: PrimaryProof,
        servers: &Servers,
        settings: &HealthSettings,
    ) -> Observation {
        let server = servers.get(&proof.server).filter(|_| self.members.contains(&proof.server));
        let Some(evidence) = server.map(|server| &server.evidence).filter(|evidence| evidence.accepts_work)
        else {
            return Observation::unavailable(Reason::PrimaryDrainingOrRemoved);
        };
        match evidence.failure(now, settings) {
            Some(failure) => Observation::unavailable(primary_failure(failure)),
            None if now - proof.at < settings.proof_window => Observation::available(Reason::Proven),
            None => observe_unproven_primary(settings),
        }
    }

    /// The same, given the endpoint list alone.
    fn observe_listed_primary(
        &self,
        now: Micros,
        servers: &Servers,
        settings: &HealthSettings,
    ) -> Observation {
        match self.accepting(servers).find(|evidence| evidence.listed_as_primary == Some(true)) {
            // An endpoint list without roles neither confirms nor rules out a primary.
            None if self.accepting(servers).any(|evidence| evidence.listed_as_primary.is_none()) => {
                observe_unproven_primary(settings)
            }
            None => Observation::unavailable(Reason::NoPrimary),
            Some(evidence) => match evidence.failure(now, settings) {
                Some(failure) => Observation::unavailable(primary_failure(failure)),
                None if evidence.reported_role == Some(Role::Replica) => {
                    Observation::unavailable(Reason::PrimaryDemoted)
                }
                None => observe_unproven_primary(settings),
            },
        }
    }

    /// Derives from the current evidence whether reads are available.
    fn observe_reads(&mut self, now: Micros, servers: &Servers, settings: &HealthSettings) -> Observation {
        let failing = self.reads.is_failing(now);
        let responded_recently = |evidence: &ServerEvidence| {
            evidence.last_contact_at.is_some_and(|at| now - at < settings.proof_window)
        };
        if self.accepting(servers).next().is_none() {
            Observation::unavailable(Reason::NoMembers)
        } else if self.accepting(servers).all(|evidence| evidence.is_unusable_for_reads(now, settings)) {
            Observation::unavailable(Reason::MembersUnresponsive)
        } else if failing {
            Observation::unavailable(Reason::ReadsFailing)
        } else if self.accepting(servers).any(responded_recently) {
            Observation::available(Reason::Proven)
        } else {
            Observation::available(Reason::Trusted)
        }
    }
}

/// Returns what the settings require for a primary without a proof and without evidence against it.
fn observe_unproven_primary(settings: &HealthSettings) -> Observation {
    match settings.idle_groups {
        IdleGroupPolicy::TrustEndpointList => Observation::available(Reason::Trusted),
        IdleGroupPolicy::Withdraw => Observation::unavailable(Reason::Unproven),
    }
}

/// Returns the reason to report for a failed primary.
fn primary_failure(failure: FailureEvidence) -> Reason {
    match failure {
        FailureEvidence::Unreachable => Reason::PrimaryUnreachable,
        FailureEvidence::Unresponsive => Reason::PrimaryUnresponsive,
        FailureEvidence::WritesUnanswered => Reason::WritesUnanswered,
    }
}
