//! The monitor: events in, one verdict out. It never reads a clock: every time is the caller's.

mod events;

use crate::overall::ProxyHealth;
use crate::probe_scheduler::ProbeScheduler;
use crate::server_table::ServerTable;
use crate::settings::HealthSettings;
use crate::verdict::{Change, Verdict};
use crate::{Micros, ServerId, earliest};

/// Computes the verdict from the events that it receives, see the crate's documentation.
pub struct Monitor {
    settings: HealthSettings,
    table: ServerTable,
    proxy: ProxyHealth,
    probes: ProbeScheduler,
    verdict: Verdict,
    /// Changes of the verdict since they were last taken.
    changes: Vec<Change>,
    last_update_at: Micros,
    /// When the verdict may change, or a probe is due.
    next_update_at: Micros,
}

impl Monitor {
    /// A monitor that starts now, without an endpoint list.
    pub fn new(settings: HealthSettings, now: Micros) -> Monitor {
        Monitor {
            table: ServerTable::default(),
            proxy: ProxyHealth::new(now),
            probes: ProbeScheduler::new(now, settings.seed),
            verdict: Verdict::new(now, &settings),
            changes: Vec::new(),
            last_update_at: now,
            next_update_at: now,
            settings,
        }
    }

    /// Applies other settings from now on and keeps the evidence.
    pub fn apply_settings(&mut self, now: Micros, settings: HealthSettings) {
        self.verdict.classes.clone_from(&settings.classes);
        self.verdict.aggregation = settings.aggregation;
        self.settings = settings;
        self.next_update_at = now;
    }

    /// When [`Monitor::update`] must run next, unless an event comes first: the verdict may change, or a probe is due.
    pub fn next_change(&self) -> Micros {
        self.next_update_at
    }

    /// The verdict as of the last update.
    pub fn verdict(&self) -> &Verdict {
        &self.verdict
    }

    /// The changes of the verdict since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The servers to probe now. The end of each probe must be reported as [`crate::HealthEvent::ProbeEnded`].
    pub fn take_probes(&mut self) -> Vec<ServerId> {
        self.probes.take_requested()
    }

    /// Computes the verdict as of now and requests the probes that are due.
    pub fn update(&mut self, now: Micros) {
        self.last_update_at = now;
        for removed in self.table.refresh_groups() {
            self.probes.remove_group(removed);
        }
        let settings = &self.settings;
        let mut next = None;
        let ServerTable { servers, groups } = &mut self.table;
        for (&id, group) in groups {
            next = earliest(next, group.update(now, id, servers, settings, &mut self.changes));
        }
        for server in servers.values() {
            next = earliest(next, server.evidence.next_change(now, settings));
        }
        next = earliest(next, self.proxy.update(now, servers, settings));
        let change = self.verdict.refresh(now, &self.proxy, &self.table.groups, settings);
        self.changes.extend(change);
        next = earliest(next, self.probes.schedule(now, &mut self.table, settings));
        self.next_update_at = next.unwrap_or(Micros::MAX).max(now + 1);
    }
}
