//! Periodic update of the tracker's hot set from the reports, with a minimum time for which a key stays hot.

use crate::copy_holders::copy_holders;
use crate::refresh;
use crate::set::{HotKeyDemand, HotSetDerivation, MAX_HOT_KEYS};
use crate::tracker::{HotKey, HotKeyTracker};
use crate::{Key, Micros};
use birchreach_fault_injection::fault_injected;
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// The minimum time for which a key stays hot. Its copies are refreshed and read several times in this period.
const MIN_HOT_MICROS: Micros = 10_000_000;
/// The interval at which the hot set is derived.
pub(crate) const DERIVE_INTERVAL_MICROS: Micros = 250_000;
/// A key stays hot for this long after its last confirmation, even if its minimum time is over. This tolerates one
/// derivation that does not confirm the key.
const CONFIRMATION_VALIDITY_MICROS: Micros = 2 * DERIVE_INTERVAL_MICROS;

impl HotKeyTracker {
    /// Derives the hot set if a derivation is due. Returns whether the set has changed.
    pub fn update(&mut self, now: Micros) -> bool {
        if now - self.last_derived_at < DERIVE_INTERVAL_MICROS {
            return false;
        }
        self.last_derived_at = now;
        self.reports.remove_expired(now);
        let before: BTreeSet<Key> = self.hot_keys.keys().copied().collect();
        let derivation = HotSetDerivation {
            reports: &self.reports,
            settings: &self.settings,
            now,
            replicas: &self.replicas,
        };
        for (key, demand) in derivation.hot_set() {
            self.confirm(now, key, demand);
        }
        let stays_hot = |hot_key: &HotKey| {
            let is_young = now - hot_key.hot_since < MIN_HOT_MICROS && !fault_injected!(SkipsMinimumHotTime);
            is_young || now - hot_key.confirmed_at < CONFIRMATION_VALIDITY_MICROS
        };
        self.hot_keys.retain(|_, hot_key| stays_hot(hot_key));
        self.enforce_limit();
        let after: BTreeSet<Key> = self.hot_keys.keys().copied().collect();
        let changes = before.symmetric_difference(&after).count();
        self.change_count += changes as u64;
        self.copy_ages.retain_keys(|key| after.contains(&key));
        self.uncopyable_until.retain(|key, until| now < *until && after.contains(key));
        changes > 0
    }

    /// Adds a key that qualifies as hot to the set, or updates its entry.
    fn confirm(&mut self, now: Micros, key: Key, demand: HotKeyDemand) {
        let HotKeyDemand { reads_per_s, wanted_copies } = demand;
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
        // Copies are added immediately but removed only after the minimum time, because the cost of writing the
        // existing copies has already been paid.
        let removes_copies_too_early =
            wanted_copies < hot_key.wanted_copies && now - hot_key.hot_since < MIN_HOT_MICROS;
        if wanted_copies != hot_key.wanted_copies && !removes_copies_too_early {
            hot_key.wanted_copies = wanted_copies;
            hot_key.copy_holders = copy_holders(key, &self.databases, wanted_copies);
        }
    }

    /// Evicts keys until the set is within its limit: first the keys whose last confirmation is oldest, which stay hot
    /// only for the minimum time, and among equally old ones the keys with the lowest rates.
    fn enforce_limit(&mut self) {
        while self.hot_keys.len() > MAX_HOT_KEYS {
            let rank = |hot_key: &HotKey| (hot_key.confirmed_at, hot_key.reads_per_s);
            let by_rank = |a: &&HotKey, b: &&HotKey| rank(a).partial_cmp(&rank(b)).unwrap_or(Ordering::Equal);
            let lowest_ranked = self.hot_keys.values().min_by(by_rank);
            let Some(key) = lowest_ranked.map(|hot_key| hot_key.key) else { return };
            self.hot_keys.remove(&key);
        }
    }
}
