//! The proxy's values as the crate `hot` has them: reads that come, databases of the list, answers of guests; and what operators are
//! shown of it. It owns the words; which keys are hot, and who has copies, is the crate's to say.

use crate::observe::{CopyLocator, CoreEvent, Observer, ReadDescription};
use birchreach::{Consistency, CopyCandidate, Micros, ServerId};
use birchreach_hot_keys::{CopyRequirement as Needs, Database, HotKeyTracker, Key, Settings};
use birchreach_peer_state::NameHasher;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

struct Listed {
    uid: String,
    group: u32,
    primary: bool,
    up: bool,
}

/// What is known of hot keys; it listens to the core and advises it.
pub struct Watch {
    pub hot: HotKeyTracker,
    hasher: NameHasher,
    listed: HashMap<ServerId, Listed>,
    changed: bool,
    /// Reads that guests served, and those for which they had no copy.
    pub served: u64,
    pub missed: u64,
}

fn needs(need: Consistency) -> Needs {
    match need {
        Consistency::Write | Consistency::Strong => Needs::Current,
        Consistency::BoundedStaleness(age) => Needs::MaxAge(age),
        Consistency::Session => Needs::Session,
        Consistency::Any => Needs::Any,
    }
}

/// The options as the crate has them.
pub fn settings(options: &birchreach_options::Hot, named: u32, classes: &[Consistency]) -> Settings {
    Settings {
        database_reads_per_s: options.bears,
        copy_cost_reads: options.copy_cost,
        max_copies: options.guests,
        configured_members: named,
        class_requirements: classes.iter().copied().map(needs).collect(),
    }
}

impl Watch {
    pub fn new(settings: Settings, own: u64, hasher: NameHasher, now: Micros) -> Watch {
        let hot = HotKeyTracker::new(settings, own, hasher.key_id, now);
        Watch { hot, hasher, listed: HashMap::new(), changed: false, served: 0, missed: 0 }
    }

    /// Tells the crate of the list, if it has changed.
    pub fn relist(&mut self) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let up = || self.listed.iter().filter(|(_, l)| l.up);
        let mut replicas: BTreeMap<u32, usize> = BTreeMap::new();
        for (_, l) in up() {
            *replicas.entry(l.group).or_default() += usize::from(!l.primary);
        }
        // A number of the name alone: the same at all, whatever secret they speak with.
        let name = |l: &Listed| crate::hash::fnv1a(l.uid.as_bytes());
        let databases = up().map(|(id, l)| Database { server: id.0, group: l.group, name_hash: name(l) });
        let databases = databases.collect();
        self.hot.update_databases(databases, replicas);
    }

    pub fn key(&self, group: u32, key: &[u8]) -> Key {
        Key { group, hash: self.hasher.hash(group, key) }
    }

    /// The keys that are hot, a line each, behind a line for the whole.
    pub fn lines(&self, now: Micros) -> String {
        let (agreed, of) = self.hot.agreement();
        let mut out = String::new();
        let _ = writeln!(
            out,
            "hot keys={} digest={:016x} agreed={agreed} of={of} changes={} refresh_ms={} served={} missed={}",
            self.hot.hot_keys().count(),
            self.hot.digest(),
            self.hot.changes,
            self.hot.settings().refresh_interval() / 1_000,
            self.served,
            self.missed
        );
        for (key, hot) in self.hot.hot_keys() {
            let name = |d: &Database| self.listed.get(&ServerId(d.server)).map_or("?", |l| l.uid.as_str());
            let guests: Vec<&str> = hot.copy_holders.iter().map(name).collect();
            let _ = writeln!(
                out,
                "key group={} hash={:016x} rate={:.1} for_ms={} guests={}",
                key.group,
                key.hash,
                hot.reads_per_s,
                (now - hot.hot_since) / 1_000,
                guests.join(",")
            );
        }
        out
    }
}

impl Observer for Watch {
    fn on_event(&mut self, now: Micros, seen: CoreEvent<'_>) {
        match seen {
            CoreEvent::Listed { server, uid, group, primary, up, .. } => {
                let listed = Listed { uid: uid.into(), group: group.0, primary: primary == Some(true), up };
                self.listed.insert(server, listed);
                self.changed = true;
            }
            CoreEvent::Unlisted { server, .. } => self.changed |= self.listed.remove(&server).is_some(),
            CoreEvent::CopyRead { group, key, server, position } => {
                self.served += u64::from(position.is_some());
                self.missed += u64::from(position.is_none());
                let key = self.key(group.0, key);
                self.hot.record_answer(now, key, server.0, position);
            }
            _ => {}
        }
    }
}

impl CopyLocator for Watch {
    fn locate_copies(&mut self, now: Micros, asked: &ReadDescription<'_>) -> Vec<CopyCandidate> {
        if needs(asked.consistency) == Needs::Current {
            return Vec::new();
        }
        let key = self.key(asked.group.0, asked.key);
        self.hot.record_read(now, key, asked.key);
        let candidate =
            |(server, likely_position)| CopyCandidate { server: ServerId(server), likely_position };
        self.hot.copy_candidates(now, key).into_iter().map(candidate).collect()
    }
}
