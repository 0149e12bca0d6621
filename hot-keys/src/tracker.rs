//! The state of the hot key tracker, the copies that may serve a read, and the copies that are due for a refresh.
//! Module `reporting` creates and receives reports, module `update` derives the hot set.

use crate::copy_ages::CopyAges;
use crate::copy_holders::{Database, copy_holders};
use crate::refresh::{self, DueRefresh};
use crate::report::Report;
use crate::reporting::reporters;
use crate::sketch::ReadSketch;
use crate::update::DERIVE_INTERVAL_MICROS;
use crate::{Key, Micros, Settings};
use birchreach_peer_reports::PeerReports;
use std::collections::BTreeMap;

/// The assumed time between the read of a row and the arrival of its copy at the holder. The assumed age of a copy that
/// was not observed yet is the refresh interval plus this time.
const COPY_TRANSIT_MICROS: Micros = 100_000;

/// A key in this process's hot set.
#[derive(Clone, Debug, PartialEq)]
pub struct HotKey {
    /// Identifies the key, equally at all processes.
    pub key: Key,
    /// Reads per second over all processes.
    pub reads_per_s: f64,
    /// When the key became hot at this process.
    pub hot_since: Micros,
    /// When the reports last qualified the key as hot. Without a further confirmation the key stays hot only until the
    /// minimum time is over.
    pub confirmed_at: Micros,
    /// The databases that hold copies of the key's row.
    pub copy_holders: Vec<Database>,
    /// The number of copies that the key should have. There may be fewer holders than this.
    pub(crate) wanted_copies: usize,
    /// The last refresh slot whose owner was determined.
    pub(crate) last_slot: i64,
}

/// A database that may have a copy of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyCandidate {
    /// The caller's number for the database, as in [`Database::server`].
    pub server: u32,
    /// The position that the copy is expected to have. It is an estimate from earlier answers.
    pub likely_position: Micros,
}

/// The sizes of the tracker's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Counters of reads in use.
    pub counters: usize,
    /// Reports, one per origin.
    pub reports: usize,
    /// Pairs of a key and a copy holder with a recorded age.
    pub copy_ages: usize,
}

/// Tracks which keys are hot and which databases hold their copies.
pub struct HotKeyTracker {
    pub(crate) settings: Settings,
    /// Identifies the secret that keys are hashed with.
    pub(crate) secret_id: u32,
    /// Estimates the read rates at this process.
    pub(crate) sketch: ReadSketch,
    pub(crate) reports: PeerReports<Report>,
    pub(crate) hot_keys: BTreeMap<Key, HotKey>,
    pub(crate) copy_ages: CopyAges,
    /// Keys whose rows cannot be copied, each with the instant at which a copy may be attempted again.
    pub(crate) uncopyable_until: BTreeMap<Key, Micros>,
    /// Databases that may hold copies.
    pub(crate) databases: Vec<Database>,
    /// The number of replicas of each group in the endpoint list.
    pub(crate) replicas: BTreeMap<u32, usize>,
    /// The number of processes in the fleet, including this one.
    pub(crate) members: usize,
    /// When the hot set was last derived.
    pub(crate) last_derived_at: Micros,
    /// The number of times that a key entered or left the hot set.
    pub(crate) change_count: u64,
}

impl HotKeyTracker {
    /// Creates a tracker without hot keys. `own_origin` identifies this process in reports, and `secret_id` identifies
    /// the secret that keys are hashed with.
    pub fn new(settings: Settings, own_origin: u64, secret_id: u32, now: Micros) -> HotKeyTracker {
        HotKeyTracker {
            settings,
            secret_id,
            sketch: ReadSketch::new(now),
            reports: PeerReports::new(own_origin, now),
            hot_keys: BTreeMap::new(),
            copy_ages: CopyAges::default(),
            uncopyable_until: BTreeMap::new(),
            databases: Vec::new(),
            replicas: BTreeMap::new(),
            members: 1,
            last_derived_at: now,
            change_count: 0,
        }
    }

    /// Returns the current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the settings. They apply to the hot set from the next derivation on.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Sets the number of processes in the fleet, including this one, and the interval at which each of them reports.
    pub fn set_fleet(&mut self, members: usize, report_interval: Micros) {
        self.members = members.max(1);
        self.reports.set_interval(report_interval);
    }

    /// Replaces the databases that may hold copies and the number of replicas of each group, and reassigns the copy
    /// holders of all hot keys.
    pub fn update_databases(&mut self, databases: Vec<Database>, replicas: BTreeMap<u32, usize>) {
        self.databases = databases;
        self.replicas = replicas;
        for hot_key in self.hot_keys.values_mut() {
            hot_key.copy_holders = copy_holders(hot_key.key, &self.databases, hot_key.wanted_copies);
        }
    }

    /// Counts a read that a copy could serve.
    pub fn record_read(&mut self, now: Micros, key: Key, key_bytes: &[u8]) {
        self.sketch.record_read(now, key, key_bytes);
    }

    /// Returns the databases that are likely to have a copy of the key, without those in backoff after a miss. The
    /// result is empty if the key is not hot.
    pub fn copy_candidates(&self, now: Micros, key: Key) -> Vec<CopyCandidate> {
        let Some(hot_key) = self.hot_keys.get(&key) else { return Vec::new() };
        let candidate = |holder: &Database| {
            let age = self.copy_ages.expected_age(now, key, holder.server, self.default_copy_age())?;
            Some(CopyCandidate { server: holder.server, likely_position: now - age })
        };
        hot_key.copy_holders.iter().filter_map(candidate).collect()
    }

    /// Returns the assumed age of a copy that was not observed at its holder yet.
    fn default_copy_age(&self) -> Micros {
        self.settings.refresh_interval() + COPY_TRANSIT_MICROS
    }

    /// Records a holder's answer to a read. `position` is the position of the copy that served the read, or `None` if
    /// the holder had no copy that was recent enough.
    pub fn record_answer(&mut self, now: Micros, key: Key, holder: u32, position: Option<Micros>) {
        let default_age = self.default_copy_age();
        match position {
            _ if !self.hot_keys.contains_key(&key) => {}
            Some(position) => self.copy_ages.record_hit(now, key, holder, position),
            None => self.copy_ages.record_miss(now, key, holder, default_age),
        }
    }

    /// Records that the key's row cannot be copied. No copy is attempted before the instant `until`.
    pub fn mark_uncopyable(&mut self, key: Key, until: Micros) {
        if self.hot_keys.contains_key(&key) {
            self.uncopyable_until.insert(key, until);
        }
    }

    /// Records that a copy was written to a holder, so that a holder in backoff is queried again soon.
    pub fn record_copy_written(&mut self, now: Micros, key: Key, holder: u32) {
        self.copy_ages.record_written(now, key, holder);
    }

    /// Returns the keys whose copies this process must refresh now. Each refresh slot of a key yields the key at most
    /// once.
    pub fn due_refreshes(&mut self, now: Micros) -> Vec<DueRefresh> {
        let interval = self.settings.refresh_interval();
        let mut due = Vec::new();
        for hot_key in self.hot_keys.values_mut() {
            let key = hot_key.key;
            let slot = refresh::slot_at(now, key, interval);
            let is_new_slot = std::mem::replace(&mut hot_key.last_slot, slot) != slot;
            if !is_new_slot || hot_key.copy_holders.is_empty() {
                continue;
            }
            let Some(key_bytes) = self.sketch.key_bytes(key) else { continue };
            let is_copyable = self.uncopyable_until.get(&key).is_none_or(|until| now >= *until);
            let reporters = reporters(&self.reports, key);
            if is_copyable && refresh::owns_slot(slot, key, self.reports.own_origin(), reporters) {
                let holders = hot_key.copy_holders.clone();
                due.push(DueRefresh { key, key_bytes: key_bytes.to_vec(), holders });
            }
        }
        due
    }

    /// Returns the earliest instant at which a report, a derivation of the hot set or a refresh may be due.
    pub fn next_change(&self, now: Micros) -> Micros {
        let interval = self.settings.refresh_interval();
        let slots = self.hot_keys.keys().map(|key| refresh::next_slot_at(now, *key, interval));
        let regular = [self.reports.next_due_at(), self.last_derived_at + DERIVE_INTERVAL_MICROS];
        slots.chain(regular).min().unwrap_or(Micros::MAX)
    }

    /// Returns the hot keys, ordered by key.
    pub fn hot_keys(&self) -> impl Iterator<Item = &HotKey> {
        self.hot_keys.values()
    }

    /// Returns the number of times that a key entered or left the hot set.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the sizes of the tracker's tables.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            counters: self.sketch.len(),
            reports: self.reports.origin_count(),
            copy_ages: self.copy_ages.len(),
        }
    }
}
