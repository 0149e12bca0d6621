//! The set as it is held here: derived anew from what was reported, with a least stay.

use crate::due;
use crate::guests::guests;
use crate::machine::{Hot, HotKey, LOOK, STAY};
use crate::set::{Hotness, MOST_HOT, derive};
use crate::{Key, Micros};

impl Hot {
    /// Derives the set, if it is time. True: it has changed.
    pub fn step(&mut self, now: Micros) -> bool {
        if now - self.looked < LOOK {
            return false;
        }
        self.looked = now;
        self.reports.forget(now, self.life());
        let replicas = |group: u32| self.replicas.get(&group).copied().unwrap_or(1);
        let derived = derive(&self.settings, &self.reports, now, self.life(), self.own, replicas);
        let before: Vec<Key> = self.hot.keys().copied().collect();
        for (key, Hotness { rate, guests: wanted }) in derived {
            let slot = due::slot(now, key, self.settings.refresh());
            let fresh = HotKey { rate, since: now, held: now, guests: Vec::new(), wanted: 0, slot };
            let hot = self.hot.entry(key).or_insert(fresh);
            // More guests at once, fewer once the key has been hot for its stay: copies are there.
            let fewer = wanted < hot.wanted && now - hot.since < STAY;
            (hot.rate, hot.held) = (rate, now);
            if wanted != hot.wanted && !fewer {
                hot.wanted = wanted;
                hot.guests = guests(key, &self.databases, wanted);
            }
        }
        let stays =
            |k: &HotKey| now - k.held < 2 * LOOK || (now - k.since < STAY && !crate::faulty!(LeavesAtOnce));
        self.hot.retain(|_, k| stays(k));
        self.bound();
        let after: Vec<Key> = self.hot.keys().copied().collect();
        let changed = before.iter().filter(|k| !after.contains(k)).count()
            + after.iter().filter(|k| !before.contains(k)).count();
        self.changes += changed as u64;
        self.learnt.keep(|key| self.hot.contains_key(&key));
        self.spoilt.retain(|key, until| now < *until && self.hot.contains_key(key));
        changed > 0
    }

    /// Those that only stay make room first, the least asked for first.
    fn bound(&mut self) {
        while self.hot.len() > MOST_HOT {
            let least = self.hot.iter().min_by(|a, b| {
                (a.1.held, a.1.rate).partial_cmp(&(b.1.held, b.1.rate)).unwrap_or(std::cmp::Ordering::Equal)
            });
            let Some(least) = least.map(|(key, _)| *key) else { return };
            self.hot.remove(&least);
        }
    }
}
