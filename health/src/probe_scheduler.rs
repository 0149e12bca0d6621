//! The scheduler decides which servers to probe, and when. Probes go to primaries that are suspected of a failure, to
//! primaries without a recent proof, and to every server of a group whose writes are unavailable.

use crate::group::GroupState;
use crate::probe_budget::ProbeBudget;
use crate::server_table::{MonitoredServer, ServerTable};
use crate::settings::{HealthSettings, ProbeSettings};
use crate::{GroupId, Micros, ServerId, earliest};

/// A probe expires if its end was not reported within this many timeouts.
const EXPIRES_AFTER_TIMEOUTS: Micros = 4;
/// If the budget is exhausted, a due probe is attempted again after this time.
const BUDGET_RETRY_MICROS: Micros = 50_000;

/// Requests probes within the probe budget.
pub(crate) struct ProbeScheduler {
    budget: ProbeBudget,
    /// Provides the jitter that prevents proxies from probing in lockstep.
    rng: fastrand::Rng,
    /// The servers to probe that the caller has not taken yet.
    requested: Vec<ServerId>,
}

/// The conditions that decide whether a server must be probed.
struct ProbeNeed {
    /// The server is the group's proven primary, or the listed one if none is proven.
    is_primary: bool,
    /// The server is unreachable, or has been silent for longer than `suspect_after`.
    is_suspect: bool,
    /// The group's writes are unavailable, so any of its servers may be the new primary.
    primary_unavailable: bool,
}

impl ProbeNeed {
    fn new(
        now: Micros,
        id: ServerId,
        server: &MonitoredServer,
        group: &GroupState,
        settings: &ProbeSettings,
    ) -> ProbeNeed {
        let evidence = &server.evidence;
        ProbeNeed {
            is_primary: match group.primary_proof {
                Some(proof) => proof.server == id,
                None => evidence.listed_as_primary == Some(true),
            },
            is_suspect: evidence.is_unreachable() || evidence.silence(now) >= settings.suspect_after,
            primary_unavailable: !group.write.available,
        }
    }

    /// Returns when the next probe is due; `None` if the server needs no probe.
    fn due_at(
        &self,
        now: Micros,
        server: &MonitoredServer,
        group: &GroupState,
        settings: &ProbeSettings,
    ) -> Option<Micros> {
        if self.primary_unavailable || (self.is_primary && self.is_suspect) {
            Some(now)
        } else if self.is_primary {
            let periodic = |proven_at: Micros| proven_at + settings.interval - server.probe_advance;
            Some(group.primary_proof.map_or(now, |proof| periodic(proof.at)))
        } else {
            None
        }
    }

    /// True if the only reason for a probe is that the server may be the new primary.
    fn is_search(&self) -> bool {
        self.primary_unavailable && !self.is_suspect && !self.is_primary
    }
}

impl ProbeScheduler {
    /// Creates a scheduler with a full budget. The seed determines the jitter.
    pub(crate) fn new(now: Micros, seed: u64) -> ProbeScheduler {
        ProbeScheduler {
            budget: ProbeBudget::new(now),
            rng: fastrand::Rng::with_seed(seed),
            requested: Vec::new(),
        }
    }

    /// Returns the servers to probe that were requested since the last call.
    pub(crate) fn take_requested(&mut self) -> Vec<ServerId> {
        std::mem::take(&mut self.requested)
    }

    /// Removes the budget of a group that is no longer listed.
    pub(crate) fn remove_group(&mut self, group: GroupId) {
        self.budget.remove_group(group);
    }

    /// Requests the probes that are due. Returns when this function must run next; `None` if no further probe is
    /// scheduled.
    pub(crate) fn schedule(
        &mut self,
        now: Micros,
        table: &mut ServerTable,
        settings: &HealthSettings,
    ) -> Option<Micros> {
        let probes = settings.probes.as_ref()?;
        let mut next = None;
        for (&id, server) in &mut table.servers {
            let group = table.groups.get(&server.evidence.group);
            let Some(group) = group.filter(|_| server.evidence.accepts_work) else { continue };
            if has_probe_in_flight(now, server, probes) {
                continue;
            }
            let need = ProbeNeed::new(now, id, server, group, probes);
            let suspect_at =
                server.evidence.silence_reaches_at(now, probes.suspect_after).filter(|_| need.is_primary);
            next = earliest(next, suspect_at);
            if let Some(due_at) = need.due_at(now, server, group, probes) {
                let due_at = due_at.max(server.probe_not_before);
                let again = if due_at > now {
                    Some(due_at)
                } else if self.budget.take(now, server.evidence.group, probes) {
                    self.request(now, id, server, &need, probes);
                    server.evidence.next_change(now, settings)
                } else {
                    Some(now + BUDGET_RETRY_MICROS)
                };
                next = earliest(next, again);
            }
        }
        next
    }

    /// Requests a probe and sets the earliest time of the server's next probe.
    fn request(
        &mut self,
        now: Micros,
        id: ServerId,
        server: &mut MonitoredServer,
        need: &ProbeNeed,
        settings: &ProbeSettings,
    ) {
        server.probe_sent_at = Some(now);
        server.evidence.record_sent(now);
        server.probe_advance = self.rng.i64(0..=settings.interval / 4);
        // A suspected server is probed again as soon as a probe times out. Its silence is then measured without gaps.
        let pause = if need.is_search() { settings.timeout + self.rng.i64(0..=settings.timeout) } else { 0 };
        server.probe_not_before = now + pause.max(settings.timeout / 2);
        self.requested.push(id);
    }
}

/// True while a probe is in flight. Removes an expired probe, because otherwise the server would never be probed again.
fn has_probe_in_flight(now: Micros, server: &mut MonitoredServer, settings: &ProbeSettings) -> bool {
    let Some(sent_at) = server.probe_sent_at else { return false };
    if now - sent_at < EXPIRES_AFTER_TIMEOUTS * settings.timeout {
        return true;
    }
    server.probe_sent_at = None;
    server.evidence.record_cancelled(now);
    false
}
