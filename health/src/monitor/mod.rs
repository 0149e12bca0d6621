//! The monitor, which computes one verdict from the events that it receives. It reads no clock; the caller passes every
//! time.

mod events;

use crate::overall::ProxyHealth;
use crate::probe_scheduler::ProbeScheduler;
use crate::server_table::ServerTable;
use crate::settings::HealthSettings;
use crate::verdict::{Change, Verdict};
use crate::{Micros, ServerId, earliest};

/// Computes the verdict from health events. The crate's documentation describes how to drive it.
pub struct Monitor {
    settings: HealthSettings,
    table: ServerTable,
    proxy: ProxyHealth,
    probes: ProbeScheduler,
    verdict: Verdict,
    /// The changes of the verdict since the last call of `take_changes`.
    changes: Vec<Change>,
    last_update_at: Micros,
    /// When the verdict may change next, or the next probe is due.
    next_update_at: Micros,
}

impl Monitor {
    /// Creates the monitor of a proxy that starts now and has no endpoint list yet.
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

    /// Replaces the settings. The evidence is kept.
    pub fn apply_settings(&mut self, now: Micros, settings: HealthSettings) {
        self.verdict.classes.clone_from(&settings.classes);
        self.verdict.aggregation = settings.aggregation;
        self.settings = settings;
        self.next_update_at = now;
    }

    /// Returns when [`Monitor::update`] must run next, because the verdict may change or a probe is due. An event may
    /// bring this time forward.
    pub fn next_change(&self) -> Micros {
        self.next_update_at
    }

    /// Returns the verdict of the last update.
    pub fn verdict(&self) -> &Verdict {
        &self.verdict
    }

    /// Returns the changes of the verdict since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the servers to probe now. The caller must report the end of each probe as
    /// [`crate::HealthEvent::ProbeEnded`].
    pub fn take_probes(&mut self) -> Vec<ServerId> {
        self.probes.take_requested()
    }

    /// Recomputes the verdict and requests the probes that are due.
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
