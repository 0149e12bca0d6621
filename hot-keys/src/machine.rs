//! The machine: reads in, reports out and in, the set, guests for a read, copies that are due.

use crate::due::{self, Due};
use crate::guests::{Database, guests};
use crate::learnt::Learnt;
use crate::reports::{Refused, Report, Reports, Told};
use crate::sketch::Sketch;
use crate::{Entry, Key, MOST_ENTRIES, Micros, Settings, mix};
use std::collections::BTreeMap;

/// A key that became hot stays so for so long: copies are made and used several times over.
pub(crate) const STAY: Micros = 10_000_000;
/// How often the set is derived anew.
pub(crate) const LOOK: Micros = 250_000;
/// A key is reported where its rate here is so much of what would make it hot if all saw it alike.
const LUKEWARM: f64 = 0.25;
/// Before a copy was seen it is taken to be an interval old, and a bit for the way.
const WAY: Micros = 100_000;

/// A hot key, as it is held here.
#[derive(Clone, Debug, PartialEq)]
pub struct HotKey {
    pub rate: f64,
    pub since: Micros,
    /// By the last set that was derived from reports; else it only stays.
    pub held: Micros,
    pub guests: Vec<Database>,
    pub(crate) wanted: usize,
    /// The slot that was looked at last.
    pub(crate) slot: i64,
}

pub struct Hot {
    pub(crate) settings: Settings,
    pub(crate) own: u64,
    secret: u32,
    sketch: Sketch,
    pub(crate) reports: Reports,
    number: u64,
    pub(crate) hot: BTreeMap<Key, HotKey>,
    pub(crate) learnt: Learnt,
    /// Keys whose rows cannot be copied, until then.
    pub(crate) spoilt: BTreeMap<Key, Micros>,
    pub(crate) databases: Vec<Database>,
    /// How many replicas each group has, by the list.
    pub(crate) replicas: BTreeMap<u32, usize>,
    members: usize,
    interval: Micros,
    said: Micros,
    pub(crate) looked: Micros,
    /// Times that a key became hot, or cold.
    pub changes: u64,
}

impl Hot {
    /// `secret`: the number of the secret that keys are hashed under; `interval`: how often reports are renewed.
    pub fn new(settings: Settings, own: u64, secret: u32, now: Micros) -> Hot {
        Hot {
            settings,
            own,
            secret,
            sketch: Sketch::new(now),
            reports: Reports::default(),
            number: 0,
            hot: BTreeMap::new(),
            learnt: Learnt::default(),
            spoilt: BTreeMap::new(),
            databases: Vec::new(),
            replicas: BTreeMap::new(),
            members: 1,
            interval: 1_000_000,
            said: now,
            looked: now,
            changes: 0,
        }
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Other settings from now on; the set is derived by them at the next look.
    pub fn set(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// How many are there, and how often each should tell something.
    pub fn fleet(&mut self, members: usize, interval: Micros) {
        (self.members, self.interval) = (members.max(1), interval);
    }

    /// The list: databases that may be guests, and how many replicas each group has.
    pub fn list(&mut self, databases: Vec<Database>, replicas: BTreeMap<u32, usize>) {
        (self.databases, self.replicas) = (databases, replicas);
        let databases = &self.databases;
        self.hot.iter_mut().for_each(|(key, k)| k.guests = guests(*key, databases, k.wanted));
    }

    /// A read that a copy might serve.
    pub fn read(&mut self, now: Micros, key: Key, text: &[u8]) {
        self.sketch.count(now, key, text);
    }

    /// Guests that may have a copy of the key, each with the position that it is likely to have; none for a key that is not hot.
    pub fn guests(&self, now: Micros, key: Key) -> Vec<(u32, Micros)> {
        let Some(hot) = self.hot.get(&key) else { return Vec::new() };
        let usual = self.settings.refresh() + WAY;
        let likely = |d: &Database| Some((d.number, now - self.learnt.lag(now, key, d.number, usual)?));
        hot.guests.iter().filter_map(likely).collect()
    }

    /// A guest answered: from a copy with this position, or it had none that was new enough.
    pub fn answered(&mut self, now: Micros, key: Key, guest: u32, position: Option<Micros>) {
        let usual = self.settings.refresh() + WAY;
        match position {
            _ if !self.hot.contains_key(&key) => {}
            Some(position) => self.learnt.served(now, key, guest, position),
            None => self.learnt.missed(now, key, guest, usual),
        }
    }

    /// Its row cannot be copied: it is not tried again before that time.
    pub fn spoilt(&mut self, key: Key, until: Micros) {
        if self.hot.contains_key(&key) {
            self.spoilt.insert(key, until);
        }
    }

    /// A copy was written.
    pub fn written(&mut self, now: Micros, key: Key, guest: u32) {
        self.learnt.written(now, key, guest);
    }

    /// What another tells, of an origin that is a member.
    pub fn hear(
        &mut self,
        now: Micros,
        origin: u64,
        number: u64,
        age: Micros,
        bytes: &[u8],
    ) -> Result<(), Refused> {
        let report = Report::decode(bytes)?;
        if report.secret != self.secret {
            return Err(Refused::Secret);
        }
        self.reports.hear(origin, Told { number, made: now - age.max(0), report })
    }

    /// What is to be told now, if it is time.
    pub fn say(&mut self, now: Micros) -> Option<Vec<u8>> {
        if now - self.said < self.interval {
            return None;
        }
        self.said = now;
        let least = |group: u32| {
            let replicas = self.replicas.get(&group).copied().unwrap_or(1);
            LUKEWARM * self.settings.threshold(replicas) / self.members as f64
        };
        let top = self.sketch.top(now, MOST_ENTRIES * 4);
        let entry = |(key, rate): (Key, f64)| {
            let hot = self.hot.contains_key(&key);
            (hot || rate >= least(key.group)).then_some(Entry { key, milli: (rate * 1_000.0) as u32, hot })
        };
        let entries = top.into_iter().filter_map(entry).take(MOST_ENTRIES).collect();
        self.number += 1;
        let report = Report { secret: self.secret, digest: self.digest(), entries };
        let told = Told { number: self.number, made: now, report: report.clone() };
        let _ = self.reports.hear(self.own, told);
        Some(report.encode())
    }

    /// How long a report counts.
    pub(crate) fn life(&self) -> Micros {
        4 * self.interval
    }

    /// Copies whose renewal is this process's, now.
    pub fn due(&mut self, now: Micros) -> Vec<Due> {
        let refresh = self.settings.refresh();
        let mut all = Vec::new();
        for (key, hot) in &mut self.hot {
            let slot = due::slot(now, *key, refresh);
            if std::mem::replace(&mut hot.slot, slot) == slot || hot.guests.is_empty() {
                continue;
            }
            let Some(text) = self.sketch.text(*key) else { continue };
            let spoilt = self.spoilt.get(key).is_some_and(|until| now < *until);
            if !spoilt && due::mine(slot, *key, self.own, self.reports.reporters(*key)) {
                let guests = hot.guests.iter().map(|d| (d.number, d.group)).collect();
                all.push(Due { key: *key, text: text.to_vec(), guests });
            }
        }
        all
    }

    /// When something here may be due.
    pub fn next_change(&self, now: Micros) -> Micros {
        let refresh = self.settings.refresh();
        let slots = self.hot.keys().map(|key| due::next(now, *key, refresh));
        slots.chain([self.said + self.interval, self.looked + LOOK]).min().unwrap_or(Micros::MAX)
    }

    pub fn keys(&self) -> impl Iterator<Item = (Key, &HotKey)> {
        self.hot.iter().map(|(key, hot)| (*key, hot))
    }

    pub fn text(&self, key: Key) -> Option<&[u8]> {
        self.sketch.text(key)
    }

    /// Equal at all that hold the same keys for hot.
    pub fn digest(&self) -> u64 {
        self.hot.keys().fold(0, |all, key| all ^ mix(key.hash ^ mix(u64::from(key.group) + 1)))
    }

    /// Of how many others the newest report has the same set, and how many have reported.
    pub fn agreed(&self) -> (usize, usize) {
        let own = self.digest();
        let others = self.reports.origins().filter(|(origin, _)| *origin != self.own);
        others.fold((0, 0), |(same, all), (_, told)| (same + usize::from(told.report.digest == own), all + 1))
    }

    /// What is kept: counters, reports, and what was learnt of copies.
    pub fn sizes(&self) -> [usize; 3] {
        [self.sketch.len(), self.reports.len(), self.learnt.len()]
    }
}
