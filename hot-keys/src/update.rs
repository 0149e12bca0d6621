//! The set as it is held here: derived anew from what was reported, with a least stay.

use crate::copy_holders::copy_holders;
use crate::refresh;
use crate::set::{Hotness, MAX_HOT_KEYS, derive_hot_set};
use crate::tracker::{DERIVE_INTERVAL_MICROS, HotKey, HotKeyTracker, MIN_HOT_MICROS};
use crate::{Key, Micros};
use birchreach_fault_injection::fault_injected;

impl HotKeyTracker {
    /// Derives the set, if it is time. True: it has changed.
    pub fn update(&mut self, now: Micros) -> bool {
        if now - self.last_derived_at < DERIVE_INTERVAL_MICROS {
            return false;
        }
        self.last_derived_at = now;
        self.reports.remove_expired(now, self.report_lifetime());
        let replicas = |group: u32| self.replicas.get(&group).copied().unwrap_or(1);
        let derived = derive_hot_set(
            &self.settings,
            &self.reports,
            now,
            self.report_lifetime(),
            self.own_origin,
            replicas,
        );
        let before: Vec<Key> = self.hot_keys.keys().copied().collect();
        for (key, Hotness { reads_per_s: rate, wanted_copies: wanted }) in derived {
            let slot = refresh::slot_at(now, key, self.settings.refresh_interval());
            let fresh = HotKey {
                reads_per_s: rate,
                hot_since: now,
                confirmed_at: now,
                copy_holders: Vec::new(),
                wanted_copies: 0,
                last_slot: slot,
            };
            let hot = self.hot_keys.entry(key).or_insert(fresh);
            // More guests at once, fewer once the key has been hot for its stay: copies are there.
            let fewer = wanted < hot.wanted_copies && now - hot.hot_since < MIN_HOT_MICROS;
            (hot.reads_per_s, hot.confirmed_at) = (rate, now);
            if wanted != hot.wanted_copies && !fewer {
                hot.wanted_copies = wanted;
                hot.copy_holders = copy_holders(key, &self.databases, wanted);
            }
        }
        let stays = |k: &HotKey| {
            now - k.confirmed_at < 2 * DERIVE_INTERVAL_MICROS
                || (now - k.hot_since < MIN_HOT_MICROS && !fault_injected!(SkipsMinimumStay))
        };
        self.hot_keys.retain(|_, k| stays(k));
        self.enforce_limit();
        let after: Vec<Key> = self.hot_keys.keys().copied().collect();
        let changed = before.iter().filter(|k| !after.contains(k)).count()
            + after.iter().filter(|k| !before.contains(k)).count();
        self.changes += changed as u64;
        self.copy_ages.retain_keys(|key| self.hot_keys.contains_key(&key));
        self.uncopyable_until.retain(|key, until| now < *until && self.hot_keys.contains_key(key));
        changed > 0
    }

    /// Those that only stay make room first, the least asked for first.
    fn enforce_limit(&mut self) {
        while self.hot_keys.len() > MAX_HOT_KEYS {
            let least = self.hot_keys.iter().min_by(|a, b| {
                (a.1.confirmed_at, a.1.reads_per_s)
                    .partial_cmp(&(b.1.confirmed_at, b.1.reads_per_s))
                    .unwrap_or(std::cmp::Ordering::Equal)
            });
            let Some(least) = least.map(|(key, _)| *key) else { return };
            self.hot_keys.remove(&least);
        }
    }
}
