//! Event handling. Each event is passed to the component that owns the affected state, and determines when the verdict
//! must be recomputed.

use super::Monitor;
use crate::event::{AttemptOutcome, HealthEvent};
use crate::group::UpdateUrgency;
use crate::overall::ProxyHealth;
use crate::server_table::ServerListing;
use crate::{GroupId, Micros, Role, ServerId, earliest};

/// The minimum interval between updates that are not urgent. It bounds the cost of updates on a busy proxy.
const DEFERRED_UPDATE_INTERVAL_MICROS: Micros = 10_000;

impl Monitor {
    /// Records an event. The verdict reflects it after the next update, which is due at [`Monitor::next_change`].
    pub fn handle_event(&mut self, now: Micros, event: HealthEvent) {
        match event {
            HealthEvent::ServerListed { server, group, primary, accepts_work } => {
                self.list_server(now, server, ServerListing { group, primary, accepts_work });
            }
            HealthEvent::ServerUnlisted { server } => {
                self.table.remove(server);
                self.update_by(now);
            }
            HealthEvent::DiscoveryAnswered => self.proxy.connectivity.discovery_responded_at = Some(now),
            HealthEvent::AttemptSent { server } => self.record_sent(now, server),
            HealthEvent::AttemptEnded { server, write, outcome, role } => {
                self.record_outcome(now, server, write, outcome);
                self.record_role(now, server, role);
            }
            HealthEvent::ProbeEnded { server, outcome, role } => {
                self.record_probe_outcome(now, server, outcome, role);
            }
            HealthEvent::ServerAlive { server } => self.record_contact(now, server),
            HealthEvent::ReadEnded { group, served } => self.record_read(now, group, served),
            HealthEvent::WritesQueued { group, since } => self.record_queued_writes(now, group, since),
            HealthEvent::Load { pressure, in_progress, queued, client_capacity } => {
                self.proxy.weight.record_pressure(now, pressure, &self.settings.weight);
                self.verdict.in_progress = in_progress;
                self.verdict.queued = queued;
                self.verdict.client_capacity = client_capacity;
                self.update_by(now);
            }
            HealthEvent::ReadyAt(at) => self.change_lifecycle(now, |proxy| proxy.ready_at = at),
            HealthEvent::Stopping => self.change_lifecycle(now, |proxy| proxy.stopping = true),
            HealthEvent::HandoverAt(at) => self.change_lifecycle(now, |proxy| proxy.handover_at = at),
            HealthEvent::Maintenance(on) => self.change_lifecycle(now, |proxy| proxy.in_maintenance = on),
        }
    }

    /// Changes the state of the process's lifecycle, which affects every capability.
    fn change_lifecycle(&mut self, now: Micros, change: impl FnOnce(&mut ProxyHealth)) {
        change(&mut self.proxy);
        self.update_by(now);
    }

    /// Schedules an update at this time or earlier.
    fn update_by(&mut self, at: Micros) {
        self.next_update_at = self.next_update_at.min(at);
    }

    /// Schedules an update as soon as the urgency requires.
    fn request_update(&mut self, now: Micros, urgency: UpdateUrgency) {
        match urgency {
            UpdateUrgency::None => {}
            UpdateUrgency::Deferred => {
                self.update_by((self.last_update_at + DEFERRED_UPDATE_INTERVAL_MICROS).max(now));
            }
            UpdateUrgency::Immediate => self.update_by(now),
        }
    }

    /// Records an entry of the endpoint list. If the table is full, the entry is ignored and counted.
    fn list_server(&mut self, now: Micros, server: ServerId, listing: ServerListing) {
        self.proxy.list_received = true;
        self.update_by(now);
        if self.table.list(now, server, listing).is_err() {
            self.verdict.ignored_servers += 1;
        }
    }

    /// Records that an attempt was sent and schedules the update at which the server would become a suspect.
    fn record_sent(&mut self, now: Micros, server: ServerId) {
        let Some(server) = self.table.servers.get_mut(&server) else { return };
        server.evidence.record_sent(now);
        let next_change = server.evidence.next_change(now, &self.settings);
        let suspect_at = self
            .settings
            .probes
            .as_ref()
            .and_then(|probes| server.evidence.silence_reaches_at(now, probes.suspect_after));
        if let Some(at) = earliest(next_change, suspect_at) {
            self.update_by(at);
        }
    }

    /// Records the outcome of an attempt or a probe that was in flight.
    fn record_outcome(&mut self, now: Micros, server: ServerId, write: bool, outcome: AttemptOutcome) {
        let Some(server) = self.table.servers.get_mut(&server) else { return };
        let evidence = &mut server.evidence;
        let awaited_contact = evidence.awaits_contact();
        match outcome {
            AttemptOutcome::Answered => evidence.record_answer(now, write),
            AttemptOutcome::TimedOut => evidence.record_timeout(now, write),
            AttemptOutcome::Refused => evidence.record_refused(now),
            AttemptOutcome::Reset => evidence.record_reset(now),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => evidence.record_cancelled(now),
        }
        let group = self.table.groups.get(&evidence.group);
        let urgency = match outcome {
            // The common case is an answer from a server of a healthy group. It must not cause an update.
            AttemptOutcome::Answered => {
                let group_unavailable =
                    group.is_some_and(|group| !group.write.available || !group.read.available);
                if awaited_contact && group_unavailable {
                    UpdateUrgency::Deferred
                } else {
                    UpdateUrgency::None
                }
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => UpdateUrgency::None,
            AttemptOutcome::TimedOut | AttemptOutcome::Refused | AttemptOutcome::Reset => {
                UpdateUrgency::Immediate
            }
        };
        self.request_update(now, urgency);
    }

    /// Records the outcome of a probe, which may arrive after the probe expired.
    fn record_probe_outcome(
        &mut self,
        now: Micros,
        id: ServerId,
        outcome: AttemptOutcome,
        role: Option<Role>,
    ) {
        let Some(server) = self.table.servers.get_mut(&id) else { return };
        if server.probe_sent_at.take().is_some() {
            self.record_outcome(now, id, false, outcome);
        } else if outcome == AttemptOutcome::Answered {
            // The probe had expired, but its answer still counts as a contact.
            server.evidence.record_contact(now);
            self.request_update(now, UpdateUrgency::Deferred);
        } else {
            return;
        }
        self.record_role(now, id, role);
    }

    /// Records a contact other than an answer.
    fn record_contact(&mut self, now: Micros, server: ServerId) {
        let Some(server) = self.table.servers.get_mut(&server) else { return };
        let awaited_contact = server.evidence.awaits_contact();
        server.evidence.record_contact(now);
        if awaited_contact {
            self.request_update(now, UpdateUrgency::Deferred);
        }
    }

    /// Records the role that the server reported, if any.
    fn record_role(&mut self, now: Micros, id: ServerId, role: Option<Role>) {
        let Some(role) = role else { return };
        let Some(server) = self.table.servers.get_mut(&id) else { return };
        server.evidence.reported_role = Some(role);
        let Some(group) = self.table.groups.get_mut(&server.evidence.group) else { return };
        let urgency = group.record_role(now, id, role);
        self.request_update(now, urgency);
    }

    /// Records the final answer to a read request.
    fn record_read(&mut self, now: Micros, group: GroupId, served: bool) {
        let Some(group) = self.table.groups.get_mut(&group) else { return };
        group.reads.record(now, served);
        if served != group.read.available {
            self.request_update(now, UpdateUrgency::Deferred);
        }
    }

    /// Records a change of the group's oldest queued write.
    fn record_queued_writes(&mut self, now: Micros, group: GroupId, since: Option<Micros>) {
        let Some(group) = self.table.groups.get_mut(&group) else { return };
        if std::mem::replace(&mut group.writes_queued_since, since) != since {
            let counts_at = since.map_or(now, |since| since + self.settings.silence_limit());
            self.update_by(counts_at.max(now));
        }
    }
}
