//! Adapter between the core and the crate `birchreach-hot-keys`. It translates the core's events, the endpoint list and the
//! options into the types of the crate, and the state of the crate into the reply to the admin call `hot`. The crate decides
//! which keys are hot and which databases hold copies.

use crate::observe::{CopyLocator, CoreEvent, Observer, ReadDescription};
use crate::units::MICROS_PER_MILLI;
use birchreach::{Consistency, CopyCandidate, Micros, ServerId};
use birchreach_hot_keys::{CopyRequirement, Database, HotKey, HotKeyTracker, Key, Settings};
use birchreach_peer_state::NameHasher;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

/// A server's entry in the endpoint list.
struct ListedServer {
    uid: String,
    group: u32,
    primary: bool,
    up: bool,
}

/// The tracker of hot keys as an observer of the core, and the locator of the tracker's copies.
pub(crate) struct HotKeyObserver {
    /// Decides which keys are hot and which databases hold their copies.
    pub tracker: HotKeyTracker,
    hasher: NameHasher,
    listed: HashMap<ServerId, ListedServer>,
    /// Whether the endpoint list has changed since it was last passed to the tracker.
    list_changed: bool,
    copy_hits: u64,
    copy_misses: u64,
}

/// Counts of the reads that were sent to holders of copies, by whether the holder had a copy that was recent enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CopyReadCounts {
    /// Reads that were served from copies.
    pub hits: u64,
    /// Reads for which the holder had no copy, or a copy that was too old.
    pub misses: u64,
}

/// Returns the requirement that a copy must meet to serve a read of this consistency.
fn copy_requirement(consistency: Consistency) -> CopyRequirement {
    match consistency {
        Consistency::Write | Consistency::Strong => CopyRequirement::Current,
        Consistency::BoundedStaleness(age) => CopyRequirement::MaxAge(age),
        Consistency::Session => CopyRequirement::Session,
        Consistency::Any => CopyRequirement::Any,
    }
}

/// Returns the crate's settings from the options, the number of configured processes and the consistency of each request class.
pub(crate) fn settings(
    options: &birchreach_options::HotKeyOptions,
    configured_members: u32,
    classes: &[Consistency],
) -> Settings {
    Settings {
        database_reads_per_s: options.database_reads_per_s,
        copy_cost_reads: options.copy_cost_reads,
        max_copies: options.max_copies,
        configured_members,
        class_requirements: classes.iter().copied().map(copy_requirement).collect(),
    }
}

impl HotKeyObserver {
    /// Creates an observer without counted reads. `local_origin` identifies this process in reports.
    pub(crate) fn new(
        settings: Settings,
        local_origin: u64,
        hasher: NameHasher,
        now: Micros,
    ) -> HotKeyObserver {
        HotKeyObserver {
            tracker: HotKeyTracker::new(settings, local_origin, hasher.key_id, now),
            hasher,
            listed: HashMap::new(),
            list_changed: false,
            copy_hits: 0,
            copy_misses: 0,
        }
    }

    /// Passes the endpoint list to the tracker if the list has changed.
    pub(crate) fn apply_list_changes(&mut self) {
        if !std::mem::take(&mut self.list_changed) {
            return;
        }
        let mut replicas: BTreeMap<u32, usize> = BTreeMap::new();
        let mut databases = Vec::new();
        for (id, server) in self.listed.iter().filter(|(_, server)| server.up) {
            *replicas.entry(server.group).or_default() += usize::from(!server.primary);
            // An unkeyed hash of the name is equal in all processes, whichever key file they use.
            let name_hash = crate::hash::fnv1a(server.uid.as_bytes());
            databases.push(Database { server: id.0, group: server.group, name_hash });
        }
        self.tracker.update_databases(databases, replicas);
    }

    /// Returns the key with its keyed hash, which cannot be computed outside the fleet.
    fn key(&self, group: u32, key_bytes: &[u8]) -> Key {
        Key { group, hash: self.hasher.hash(group, key_bytes) }
    }

    /// Returns how many reads the holders of copies served and missed.
    pub(crate) fn copy_read_counts(&self) -> CopyReadCounts {
        CopyReadCounts { hits: self.copy_hits, misses: self.copy_misses }
    }

    /// Returns the reply to the admin call `hot`: a summary line, and a line for each hot key.
    pub(crate) fn status_lines(&self, now: Micros) -> String {
        let agreement = self.tracker.agreement();
        let mut lines = String::new();
        let _ = writeln!(
            lines,
            "hot keys={} digest={:016x} agreed={} of={} changes={} refresh_ms={} served={} missed={}",
            self.tracker.hot_keys().count(),
            self.tracker.digest(),
            agreement.agreeing,
            agreement.reporting,
            self.tracker.change_count(),
            self.tracker.settings().refresh_interval() / MICROS_PER_MILLI,
            self.copy_hits,
            self.copy_misses
        );
        for hot_key in self.tracker.hot_keys() {
            let _ = writeln!(lines, "{}", self.key_line(now, hot_key));
        }
        lines
    }

    /// Returns the line for a hot key.
    fn key_line(&self, now: Micros, hot_key: &HotKey) -> String {
        let holder_name = |holder: &Database| {
            self.listed.get(&ServerId(holder.server)).map_or("?", |server| server.uid.as_str())
        };
        let holders: Vec<&str> = hot_key.copy_holders.iter().map(holder_name).collect();
        format!(
            "key group={} hash={:016x} rate={:.1} for_ms={} guests={}",
            hot_key.key.group,
            hot_key.key.hash,
            hot_key.reads_per_s,
            (now - hot_key.hot_since) / MICROS_PER_MILLI,
            holders.join(",")
        )
    }
}

impl Observer for HotKeyObserver {
    fn on_event(&mut self, now: Micros, event: CoreEvent<'_>) {
        match event {
            CoreEvent::Listed { server, uid, group, primary, up, .. } => {
                let primary = primary == Some(true);
                self.listed.insert(server, ListedServer { uid: uid.into(), group: group.0, primary, up });
                self.list_changed = true;
            }
            CoreEvent::Unlisted { server, .. } => self.list_changed |= self.listed.remove(&server).is_some(),
            CoreEvent::CopyRead { group, key, server, position } => {
                self.copy_hits += u64::from(position.is_some());
                self.copy_misses += u64::from(position.is_none());
                let key = self.key(group.0, key);
                self.tracker.record_answer(now, key, server.0, position);
            }
            _ => {}
        }
    }
}

impl CopyLocator for HotKeyObserver {
    fn locate_copies(&mut self, now: Micros, read: &ReadDescription<'_>) -> Vec<CopyCandidate> {
        if copy_requirement(read.consistency) == CopyRequirement::Current {
            return Vec::new();
        }
        let key = self.key(read.group.0, read.key);
        self.tracker.record_read(now, key, read.key);
        let candidates = self.tracker.copy_candidates(now, key);
        candidates
            .into_iter()
            .map(|candidate| CopyCandidate {
                server: ServerId(candidate.server),
                likely_position: candidate.likely_position,
            })
            .collect()
    }
}
