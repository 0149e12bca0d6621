//! The machine: reads in, reports out and in, the set, guests for a read, copies that are due.

use crate::copy_ages::CopyAges;
use crate::copy_holders::{Database, copy_holders};
use crate::refresh::{self, DueCopy};
use crate::reports::{ReceivedReport, Report, ReportError, Reports};
use crate::sketch::ReadSketch;
use crate::{Key, MAX_REPORT_ENTRIES, Micros, ReportEntry, Settings, mix};
use std::collections::BTreeMap;

/// A key that became hot stays so for so long: copies are made and used several times over.
pub(crate) const MIN_HOT_MICROS: Micros = 10_000_000;
/// How often the set is derived anew.
pub(crate) const DERIVE_INTERVAL_MICROS: Micros = 250_000;
/// A key is reported where its rate here is so much of what would make it hot if all saw it alike.
const REPORT_THRESHOLD_FRACTION: f64 = 0.25;
/// Before a copy was seen it is taken to be an interval old, and a bit for the way.
const COPY_TRANSIT_MICROS: Micros = 100_000;

/// A hot key, as it is held here.
#[derive(Clone, Debug, PartialEq)]
pub struct HotKey {
    pub reads_per_s: f64,
    pub hot_since: Micros,
    /// By the last set that was derived from reports; else it only stays.
    pub confirmed_at: Micros,
    pub copy_holders: Vec<Database>,
    pub(crate) wanted_copies: usize,
    /// The slot that was looked at last.
    pub(crate) last_slot: i64,
}

pub struct HotKeyTracker {
    pub(crate) settings: Settings,
    pub(crate) own_origin: u64,
    secret_id: u32,
    sketch: ReadSketch,
    pub(crate) reports: Reports,
    last_sequence: u64,
    pub(crate) hot_keys: BTreeMap<Key, HotKey>,
    pub(crate) copy_ages: CopyAges,
    /// Keys whose rows cannot be copied, until then.
    pub(crate) uncopyable_until: BTreeMap<Key, Micros>,
    pub(crate) databases: Vec<Database>,
    /// How many replicas each group has, by the list.
    pub(crate) replicas: BTreeMap<u32, usize>,
    members: usize,
    report_interval: Micros,
    last_report_at: Micros,
    pub(crate) last_derived_at: Micros,
    /// Times that a key became hot, or cold.
    pub changes: u64,
}

impl HotKeyTracker {
    /// `secret`: the number of the secret that keys are hashed under; `interval`: how often reports are renewed.
    pub fn new(settings: Settings, own: u64, secret: u32, now: Micros) -> HotKeyTracker {
        HotKeyTracker {
            settings,
            own_origin: own,
            secret_id: secret,
            sketch: ReadSketch::new(now),
            reports: Reports::default(),
            last_sequence: 0,
            hot_keys: BTreeMap::new(),
            copy_ages: CopyAges::default(),
            uncopyable_until: BTreeMap::new(),
            databases: Vec::new(),
            replicas: BTreeMap::new(),
            members: 1,
            report_interval: 1_000_000,
            last_report_at: now,
            last_derived_at: now,
            changes: 0,
        }
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Other settings from now on; the set is derived by them at the next look.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// How many are there, and how often each should tell something.
    pub fn set_fleet(&mut self, members: usize, interval: Micros) {
        (self.members, self.report_interval) = (members.max(1), interval);
    }

    /// The list: databases that may be guests, and how many replicas each group has.
    pub fn update_databases(&mut self, databases: Vec<Database>, replicas: BTreeMap<u32, usize>) {
        (self.databases, self.replicas) = (databases, replicas);
        let databases = &self.databases;
        self.hot_keys
            .iter_mut()
            .for_each(|(key, k)| k.copy_holders = copy_holders(*key, databases, k.wanted_copies));
    }

    /// A read that a copy might serve.
    pub fn record_read(&mut self, now: Micros, key: Key, text: &[u8]) {
        self.sketch.record_read(now, key, text);
    }

    /// Guests that may have a copy of the key, each with the position that it is likely to have; none for a key that is not hot.
    pub fn copy_candidates(&self, now: Micros, key: Key) -> Vec<(u32, Micros)> {
        let Some(hot) = self.hot_keys.get(&key) else { return Vec::new() };
        let usual = self.settings.refresh_interval() + COPY_TRANSIT_MICROS;
        let likely =
            |d: &Database| Some((d.server, now - self.copy_ages.expected_age(now, key, d.server, usual)?));
        hot.copy_holders.iter().filter_map(likely).collect()
    }

    /// A guest answered: from a copy with this position, or it had none that was new enough.
    pub fn record_answer(&mut self, now: Micros, key: Key, guest: u32, position: Option<Micros>) {
        let usual = self.settings.refresh_interval() + COPY_TRANSIT_MICROS;
        match position {
            _ if !self.hot_keys.contains_key(&key) => {}
            Some(position) => self.copy_ages.record_hit(now, key, guest, position),
            None => self.copy_ages.record_miss(now, key, guest, usual),
        }
    }

    /// Its row cannot be copied: it is not tried again before that time.
    pub fn mark_uncopyable(&mut self, key: Key, until: Micros) {
        if self.hot_keys.contains_key(&key) {
            self.uncopyable_until.insert(key, until);
        }
    }

    /// A copy was written.
    pub fn record_copy_written(&mut self, now: Micros, key: Key, guest: u32) {
        self.copy_ages.record_written(now, key, guest);
    }

    /// What another tells, of an origin that is a member.
    pub fn receive_report(
        &mut self,
        now: Micros,
        origin: u64,
        number: u64,
        age: Micros,
        bytes: &[u8],
    ) -> Result<(), ReportError> {
        let report = Report::decode(bytes)?;
        if report.secret_id != self.secret_id {
            return Err(ReportError::OtherSecret);
        }
        self.reports.record(origin, ReceivedReport { sequence: number, made_at: now - age.max(0), report })
    }

    /// What is to be told now, if it is time.
    pub fn report_if_due(&mut self, now: Micros) -> Option<Vec<u8>> {
        if now - self.last_report_at < self.report_interval {
            return None;
        }
        self.last_report_at = now;
        let least = |group: u32| {
            let replicas = self.replicas.get(&group).copied().unwrap_or(1);
            REPORT_THRESHOLD_FRACTION * self.settings.hot_threshold(replicas) / self.members as f64
        };
        let top = self.sketch.top_keys(now, MAX_REPORT_ENTRIES * 4);
        let entry = |(key, rate): (Key, f64)| {
            let hot = self.hot_keys.contains_key(&key);
            (hot || rate >= least(key.group)).then_some(ReportEntry {
                key,
                reads_per_1000_s: (rate * 1_000.0) as u32,
                is_hot: hot,
            })
        };
        let entries = top.into_iter().filter_map(entry).take(MAX_REPORT_ENTRIES).collect();
        self.last_sequence += 1;
        let report = Report { secret_id: self.secret_id, set_digest: self.digest(), entries };
        let told = ReceivedReport { sequence: self.last_sequence, made_at: now, report: report.clone() };
        let _ = self.reports.record(self.own_origin, told);
        Some(report.encode())
    }

    /// How long a report counts.
    pub(crate) fn report_lifetime(&self) -> Micros {
        4 * self.report_interval
    }

    /// Copies whose renewal is this process's, now.
    pub fn due_copies(&mut self, now: Micros) -> Vec<DueCopy> {
        let refresh = self.settings.refresh_interval();
        let mut all = Vec::new();
        for (key, hot) in &mut self.hot_keys {
            let slot = refresh::slot_at(now, *key, refresh);
            if std::mem::replace(&mut hot.last_slot, slot) == slot || hot.copy_holders.is_empty() {
                continue;
            }
            let Some(text) = self.sketch.key_bytes(*key) else { continue };
            let spoilt = self.uncopyable_until.get(key).is_some_and(|until| now < *until);
            if !spoilt && refresh::is_own_slot(slot, *key, self.own_origin, self.reports.reporters(*key)) {
                let guests = hot.copy_holders.iter().map(|d| (d.server, d.group)).collect();
                all.push(DueCopy { key: *key, key_bytes: text.to_vec(), holders: guests });
            }
        }
        all
    }

    /// When something here may be due.
    pub fn next_change(&self, now: Micros) -> Micros {
        let refresh = self.settings.refresh_interval();
        let slots = self.hot_keys.keys().map(|key| refresh::next_slot_at(now, *key, refresh));
        slots
            .chain([
                self.last_report_at + self.report_interval,
                self.last_derived_at + DERIVE_INTERVAL_MICROS,
            ])
            .min()
            .unwrap_or(Micros::MAX)
    }

    pub fn hot_keys(&self) -> impl Iterator<Item = (Key, &HotKey)> {
        self.hot_keys.iter().map(|(key, hot)| (*key, hot))
    }

    pub fn key_bytes(&self, key: Key) -> Option<&[u8]> {
        self.sketch.key_bytes(key)
    }

    /// Equal at all that hold the same keys for hot.
    pub fn digest(&self) -> u64 {
        self.hot_keys.keys().fold(0, |all, key| all ^ mix(key.hash ^ mix(u64::from(key.group) + 1)))
    }

    /// Of how many others the newest report has the same set, and how many have reported.
    pub fn agreement(&self) -> (usize, usize) {
        let own = self.digest();
        let others = self.reports.newest().filter(|(origin, _)| *origin != self.own_origin);
        others.fold((0, 0), |(same, all), (_, told)| {
            (same + usize::from(told.report.set_digest == own), all + 1)
        })
    }

    /// What is kept: counters, reports, and what was learnt of copies.
    pub fn table_sizes(&self) -> [usize; 3] {
        [self.sketch.len(), self.reports.len(), self.copy_ages.len()]
    }
}
