//! The tracker's set of hot keys: derived from the reports at intervals, with a minimum time for which a key stays hot.

use crate::copy_holders::copy_holders;
use crate::refresh;
use crate::set::{Derivation, Hotness, MAX_HOT_KEYS};
use crate::tracker::{HotKey, HotKeyTracker};
use crate::{Key, Micros};
use birchreach_fault_injection::fault_injected;
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// A key that became hot stays so for this long, in which its copies are refreshed and read several times.
const MIN_HOT_MICROS: Micros = 10_000_000;
/// How often the set is derived.
pub(crate) const DERIVE_INTERVAL_MICROS: Micros = 250_000;
/// A key that reports made hot within this time is in the set without regard to the minimum time: one derivation may be missed.
const CONFIRMATION_MICROS: Micros = 2 * DERIVE_INTERVAL_MICROS;

impl HotKeyTracker {
    /// Derives the set, if it is time. True if the set has changed.
    pub fn update(&mut self, now: Micros) -> bool {
        if now - self.last_derived_at < DERIVE_INTERVAL_MICROS {
            return false;
        }
        self.last_derived_at = now;
        self.reports.remove_expired(now);
        let before: BTreeSet<Key> = self.hot_keys.keys().copied().collect();
        let derivation =
            Derivation { reports: &self.reports, settings: &self.settings, now, replicas: &self.replicas };
        for (key, hotness) in derivation.hot_set() {
            self.confirm(now, key, hotness);
        }
        let stays = |hot_key: &HotKey| {
            let is_young = now - hot_key.hot_since < MIN_HOT_MICROS && !fault_injected!(SkipsMinimumStay);
            is_young || now - hot_key.confirmed_at < CONFIRMATION_MICROS
        };
        self.hot_keys.retain(|_, hot_key| stays(hot_key));
        self.enforce_limit();
        let after: BTreeSet<Key> = self.hot_keys.keys().copied().collect();
        let changes = before.symmetric_difference(&after).count();
        self.change_count += changes as u64;
        self.copy_ages.retain_keys(|key| after.contains(&key));
        self.uncopyable_until.retain(|key, until| now < *until && after.contains(key));
        changes > 0
    }

    /// Adds a key that the reports make hot to the set, or updates it there.
    fn confirm(&mut self, now: Micros, key: Key, hotness: Hotness) {
        let Hotness { reads_per_s, wanted_copies } = hotness;
        let last_slot = refresh::slot_at(now, key, self.settings.refresh_interval());
        let hot_key = self.hot_keys.entry(key).or_insert(HotKey {
            key,
            reads_per_s,
            hot_since: now,
            confirmed_at: now,
            copy_holders: Vec::new(),
            wanted_copies: 0,
            last_slot,
        });
        hot_key.reads_per_s = reads_per_s;
        hot_key.confirmed_at = now;
        // Copies are added at once, but removed only after the minimum time: those that exist have had their cost.
        let is_fewer_too_early =
            wanted_copies < hot_key.wanted_copies && now - hot_key.hot_since < MIN_HOT_MICROS;
        if wanted_copies != hot_key.wanted_copies && !is_fewer_too_early {
            hot_key.wanted_copies = wanted_copies;
            hot_key.copy_holders = copy_holders(key, &self.databases, wanted_copies);
        }
    }

    /// Evicts keys until the limit holds: first those that only stay for the minimum time, then those with the lowest rates.
    fn enforce_limit(&mut self) {
        while self.hot_keys.len() > MAX_HOT_KEYS {
            let rank = |hot_key: &HotKey| (hot_key.confirmed_at, hot_key.reads_per_s);
            let by_rank = |a: &&HotKey, b: &&HotKey| rank(a).partial_cmp(&rank(b)).unwrap_or(Ordering::Equal);
            let least = self.hot_keys.values().min_by(by_rank);
            let Some(least) = least.map(|hot_key| hot_key.key) else { return };
            self.hot_keys.remove(&least);
        }
    }
}
