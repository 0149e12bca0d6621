//! Facts and their join. Owns the order among sightings of one kind; never says what follows from them.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Servers kept, and the longest name of one.
pub const MOST_SERVERS: usize = 4096;
pub const MOST_NAME: usize = 128;

/// How the first observer learnt it; the surer, the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// The list says so.
    List,
    /// The server's report on itself.
    Report,
    /// A note in an answer.
    Note,
    /// It served a write.
    Served,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    Primary,
    Replica,
}

/// Something as it was seen: when (on the holder's clock, and never later than it truly was), how, by whom, and through how
/// many others it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CoreEvent<T> {
    pub value: T,
    pub at: Micros,
    pub hops: u8,
    pub source: Source,
    pub observer: u64,
}

impl<T: Copy + Ord> CoreEvent<T> {
    /// The later sighting; of one instant, the one told through fewer, then the surer. The rest only makes the order total.
    fn order(&self) -> impl Ord + use<T> {
        (self.at, Reverse(self.hops), self.source, self.observer, self.value)
    }

    /// The greater by another first key.
    fn by<K: Ord>(&self, other: &CoreEvent<T>, key: impl Fn(&CoreEvent<T>) -> K) -> CoreEvent<T> {
        if (key(self), self.order()) >= (key(other), other.order()) { *self } else { *other }
    }

    fn later(&self, other: &CoreEvent<T>) -> CoreEvent<T> {
        self.by(other, |_| ())
    }

    pub fn age(&self, now: Micros) -> Micros {
        (now - self.at).max(0)
    }
}

fn join<T: Copy>(a: Option<T>, b: Option<T>, greater: impl Fn(&T, &T) -> T) -> Option<T> {
    match (a, b) {
        (Some(a), Some(b)) => Some(greater(&a, &b)),
        (a, b) => a.or(b),
    }
}

/// What is known of one boot of one server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// The boot that all of it is of: Unix time in milliseconds, 0 if that was long ago.
    pub boot_ms: u64,
    pub group: u32,
    /// The highest log position seen, on the servers' own scale: a lower bound for good.
    pub position: Option<CoreEvent<Micros>>,
    /// How far behind the present it was when that was seen last.
    pub lag: Option<CoreEvent<Micros>>,
    pub primary: Option<CoreEvent<()>>,
    pub replica: Option<CoreEvent<()>>,
    /// It was found silent or failing, or well.
    pub suspect: Option<CoreEvent<bool>>,
    /// What its answers take, in the mean.
    pub latency: Option<CoreEvent<Micros>>,
    /// What is left of its budget while it is cold, in thousandths of the whole.
    pub cold: Option<CoreEvent<u16>>,
}

impl Facts {
    pub fn new(boot_ms: u64, group: u32) -> Facts {
        Facts { boot_ms, group, ..Facts::default() }
    }

    /// Both together. A later boot, or for one boot another group, is another server: the earlier one's facts are void.
    pub fn join(&self, other: &Facts) -> Facts {
        let (mine, theirs) = ((self.boot_ms, self.group), (other.boot_ms, other.group));
        if mine != theirs {
            return if mine > theirs { self.clone() } else { other.clone() };
        }
        Facts {
            boot_ms: self.boot_ms,
            group: self.group,
            position: join(self.position, other.position, |a, b| a.by(b, |seen| seen.value)),
            lag: join(self.lag, other.lag, CoreEvent::later),
            primary: join(self.primary, other.primary, CoreEvent::later),
            replica: join(self.replica, other.replica, CoreEvent::later),
            suspect: join(self.suspect, other.suspect, CoreEvent::later),
            latency: join(self.latency, other.latency, CoreEvent::later),
            cold: join(self.cold, other.cold, CoreEvent::later),
        }
    }

    pub fn is_empty(&self) -> bool {
        *self == Facts::new(self.boot_ms, self.group)
    }
}

/// A server as the holder's own list has it now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    pub boot_ms: u64,
    pub group: u32,
}

/// All that one proxy knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Knowledge {
    /// Who it is, to know its own words again.
    pub observer: u64,
    servers: BTreeMap<String, Facts>,
    list: BTreeMap<String, Listed>,
    /// Facts left out: of no server that is listed, of another boot, or beyond the table.
    pub dropped: u64,
}

impl Knowledge {
    pub fn new(observer: u64) -> Knowledge {
        Knowledge { observer, servers: BTreeMap::new(), list: BTreeMap::new(), dropped: 0 }
    }

    /// The list has this server. What was known of an earlier boot of it is void.
    pub fn listed(&mut self, uid: &str, listed: Listed) {
        if uid.len() > MOST_NAME || (self.list.len() >= MOST_SERVERS && !self.list.contains_key(uid)) {
            self.dropped += 1;
            return;
        }
        self.servers.retain(|name, facts| name != uid || same(facts, &listed));
        self.list.insert(uid.into(), listed);
    }

    /// The list has it no more.
    pub fn unlisted(&mut self, uid: &str) {
        self.list.remove(uid);
        self.servers.remove(uid);
    }

    pub fn list(&self) -> impl Iterator<Item = (&str, &Listed)> {
        self.list.iter().map(|(uid, listed)| (uid.as_str(), listed))
    }

    /// What is known of the boot that the list names.
    pub fn facts(&self, uid: &str) -> Option<&Facts> {
        let listed = self.list.get(uid)?;
        self.servers.get(uid).filter(|facts| same(facts, listed))
    }

    pub fn servers(&self) -> impl Iterator<Item = (&str, &Facts)> {
        self.list.keys().filter_map(|uid| Some((uid.as_str(), self.facts(uid)?)))
    }

    /// Joins what is known of one server. What the list does not name, or names otherwise, is left out.
    pub fn join(&mut self, uid: &str, facts: &Facts) {
        match self.list.get(uid).filter(|listed| same(facts, listed)) {
            None => self.dropped += 1,
            Some(_) => match self.servers.get_mut(uid) {
                Some(mine) => *mine = mine.join(facts),
                None => drop(self.servers.insert(uid.into(), facts.clone())),
            },
        }
    }

    fn saw(&mut self, uid: &str, note: impl FnOnce(&mut Facts)) {
        let Some(listed) = self.list.get(uid) else { return };
        let mut facts = Facts::new(listed.boot_ms, listed.group);
        note(&mut facts);
        self.join(uid, &facts);
    }

    fn own<T>(&self, value: T, at: Micros, source: Source) -> Option<CoreEvent<T>> {
        Some(CoreEvent { value, at, hops: 0, source, observer: self.observer })
    }

    /// A log position, seen by this proxy itself; and how far behind that was.
    pub fn saw_position(&mut self, now: Micros, uid: &str, position: Micros, lag: Micros, source: Source) {
        let (position, lag) = (self.own(position, now, source), self.own(lag, now, source));
        self.saw(uid, |facts| (facts.position, facts.lag) = (position, lag));
    }

    pub fn saw_role(&mut self, now: Micros, uid: &str, role: Role, source: Source) {
        let seen = self.own((), now, source);
        self.saw(uid, |facts| match role {
            Role::Primary => facts.primary = seen,
            Role::Replica => facts.replica = seen,
        });
    }

    pub fn saw_health(&mut self, now: Micros, uid: &str, suspect: bool) {
        let seen = self.own(suspect, now, Source::Note);
        self.saw(uid, |facts| facts.suspect = seen);
    }

    pub fn saw_latency(&mut self, now: Micros, uid: &str, latency: Micros) {
        let seen = self.own(latency, now, Source::Note);
        self.saw(uid, |facts| facts.latency = seen);
    }

    pub fn saw_cold(&mut self, now: Micros, uid: &str, left: u16) {
        let seen = self.own(left.min(1000), now, Source::Note);
        self.saw(uid, |facts| facts.cold = seen);
    }
}

fn same(facts: &Facts, listed: &Listed) -> bool {
    (facts.boot_ms, facts.group) == (listed.boot_ms, listed.group)
}
