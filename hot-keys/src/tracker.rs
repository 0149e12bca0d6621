//! The tracker's state, the copies that may serve a read, and the copies that are due for a refresh. What it reports and receives is in
//! `reporting`, how it derives the set in `update`.

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

/// How long a copy takes from its read to its holder. A copy that was not seen yet is assumed to be older than a refresh interval by it.
const COPY_TRANSIT_MICROS: Micros = 100_000;

/// A hot key as this process has it.
#[derive(Clone, Debug, PartialEq)]
pub struct HotKey {
    /// The key.
    pub key: Key,
    /// Its reads a second over all processes.
    pub reads_per_s: f64,
    /// When it became hot here.
    pub hot_since: Micros,
    /// When the reports last made it hot; later on it only stays for the minimum time.
    pub confirmed_at: Micros,
    /// The databases that hold its copies.
    pub copy_holders: Vec<Database>,
    /// How many copies it should have; there may be fewer holders than that.
    pub(crate) wanted_copies: usize,
    /// The refresh slot for which it was decided last who refreshes the copies.
    pub(crate) last_slot: i64,
}

/// A database that may have a copy of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyCandidate {
    /// The caller's number for the database.
    pub server: u32,
    /// The position that its copy is likely to have.
    pub likely_position: Micros,
}

/// How many entries the tracker's tables have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Counters of reads.
    pub counters: usize,
    /// Reports, one for each origin.
    pub reports: usize,
    /// Pairs of a key and a holder whose copy's age is known.
    pub copy_ages: usize,
}

/// Tracks which keys are hot and where their copies are.
pub struct HotKeyTracker {
    pub(crate) settings: Settings,
    /// The number of the secret that keys are hashed with.
    pub(crate) secret_id: u32,
    /// The reads of this process.
    pub(crate) sketch: ReadSketch,
    pub(crate) reports: PeerReports<Report>,
    pub(crate) hot_keys: BTreeMap<Key, HotKey>,
    pub(crate) copy_ages: CopyAges,
    /// Keys whose rows cannot be copied, and until when that is assumed.
    pub(crate) uncopyable_until: BTreeMap<Key, Micros>,
    /// Databases that may hold copies.
    pub(crate) databases: Vec<Database>,
    /// How many replicas each group has, by the endpoint list.
    pub(crate) replicas: BTreeMap<u32, usize>,
    /// Processes of the fleet, this one included.
    pub(crate) members: usize,
    /// When the set of hot keys was derived last.
    pub(crate) last_derived_at: Micros,
    /// How often a key became hot, or ceased to be.
    pub(crate) change_count: u64,
}

impl HotKeyTracker {
    /// A tracker without hot keys. `own_origin` is this process's number in reports, `secret_id` the number of the secret that keys
    /// are hashed with.
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

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the settings; the set is derived by them at the next update.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Sets how many processes the fleet has, and how often each of them reports.
    pub fn set_fleet(&mut self, members: usize, report_interval: Micros) {
        self.members = members.max(1);
        self.reports.set_interval(report_interval);
    }

    /// Replaces the databases that may hold copies, and the number of replicas of each group.
    pub fn update_databases(&mut self, databases: Vec<Database>, replicas: BTreeMap<u32, usize>) {
        self.databases = databases;
        self.replicas = replicas;
        for hot_key in self.hot_keys.values_mut() {
            hot_key.copy_holders = copy_holders(hot_key.key, &self.databases, hot_key.wanted_copies);
        }
    }

    /// Counts a read that a copy might serve.
    pub fn record_read(&mut self, now: Micros, key: Key, key_bytes: &[u8]) {
        self.sketch.record_read(now, key, key_bytes);
    }

    /// The databases that may have a copy of the key; none for a key that is not hot.
    pub fn copy_candidates(&self, now: Micros, key: Key) -> Vec<CopyCandidate> {
        let Some(hot_key) = self.hot_keys.get(&key) else { return Vec::new() };
        let candidate = |holder: &Database| {
            let age = self.copy_ages.expected_age(now, key, holder.server, self.default_copy_age())?;
            Some(CopyCandidate { server: holder.server, likely_position: now - age })
        };
        hot_key.copy_holders.iter().filter_map(candidate).collect()
    }

    /// How old a copy is assumed to be before one was seen at its holder.
    fn default_copy_age(&self) -> Micros {
        self.settings.refresh_interval() + COPY_TRANSIT_MICROS
    }

    /// Records a holder's answer to a read: from a copy with this position, or none if it had no copy that was recent enough.
    pub fn record_answer(&mut self, now: Micros, key: Key, holder: u32, position: Option<Micros>) {
        let default_age = self.default_copy_age();
        match position {
            _ if !self.hot_keys.contains_key(&key) => {}
            Some(position) => self.copy_ages.record_hit(now, key, holder, position),
            None => self.copy_ages.record_miss(now, key, holder, default_age),
        }
    }

    /// Records that the key's row cannot be copied: no copy is attempted before that instant.
    pub fn mark_uncopyable(&mut self, key: Key, until: Micros) {
        if self.hot_keys.contains_key(&key) {
            self.uncopyable_until.insert(key, until);
        }
    }

    /// Records that a copy was written to a holder.
    pub fn record_copy_written(&mut self, now: Micros, key: Key, holder: u32) {
        self.copy_ages.record_written(now, key, holder);
    }

    /// The keys whose copies this process refreshes now.
    pub fn due_refreshes(&mut self, now: Micros) -> Vec<DueRefresh> {
        let interval = self.settings.refresh_interval();
        let mut due = Vec::new();
        for hot_key in self.hot_keys.values_mut() {
            let key = hot_key.key;
            let slot = refresh::slot_at(now, key, interval);
            let is_new = std::mem::replace(&mut hot_key.last_slot, slot) != slot;
            if !is_new || hot_key.copy_holders.is_empty() {
                continue;
            }
            let Some(key_bytes) = self.sketch.key_bytes(key) else { continue };
            let is_copyable = self.uncopyable_until.get(&key).is_none_or(|until| now >= *until);
            let reporters = reporters(&self.reports, key);
            if is_copyable && refresh::is_own_slot(slot, key, self.reports.own_origin(), reporters) {
                let holders = hot_key.copy_holders.clone();
                due.push(DueRefresh { key, key_bytes: key_bytes.to_vec(), holders });
            }
        }
        due
    }

    /// When the tracker may have something to do: a report, a new set, or a refresh.
    pub fn next_change(&self, now: Micros) -> Micros {
        let interval = self.settings.refresh_interval();
        let slots = self.hot_keys.keys().map(|key| refresh::next_slot_at(now, *key, interval));
        let regular = [self.reports.next_due_at(), self.last_derived_at + DERIVE_INTERVAL_MICROS];
        slots.chain(regular).min().unwrap_or(Micros::MAX)
    }

    /// The hot keys, in the order of keys.
    pub fn hot_keys(&self) -> impl Iterator<Item = &HotKey> {
        self.hot_keys.values()
    }

    /// How often a key became hot, or ceased to be.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// How much the tracker keeps.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            counters: self.sketch.len(),
            reports: self.reports.origin_count(),
            copy_ages: self.copy_ages.len(),
        }
    }
}
