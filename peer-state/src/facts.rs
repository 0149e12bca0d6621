//! Facts and their join. Owns the order among sightings of one kind; never says what follows from them.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Servers kept, and the longest name of one.
pub const MAX_SERVERS: usize = 4096;
pub const MAX_SERVER_NAME_BYTES: usize = 128;

/// How the first observer learnt it; the surer, the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ObservationSource {
    /// The list says so.
    EndpointList,
    /// The server's report on itself.
    LoadReport,
    /// A note in an answer.
    ServerStatus,
    /// It served a write.
    ServedWrite,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    Primary,
    Replica,
}

/// Something as it was seen: when (on the holder's clock, and never later than it truly was), how, by whom, and through how
/// many others it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Observation<T> {
    pub value: T,
    pub observed_at: Micros,
    pub hop_count: u8,
    pub source: ObservationSource,
    pub observer: u64,
}

impl<T: Copy + Ord> Observation<T> {
    /// The later sighting; of one instant, the one told through fewer, then the surer. The rest only makes the order total.
    fn order(&self) -> impl Ord + use<T> {
        (self.observed_at, Reverse(self.hop_count), self.source, self.observer, self.value)
    }

    /// The greater by another first key.
    fn by<K: Ord>(&self, other: &Observation<T>, key: impl Fn(&Observation<T>) -> K) -> Observation<T> {
        if (key(self), self.order()) >= (key(other), other.order()) { *self } else { *other }
    }

    fn later(&self, other: &Observation<T>) -> Observation<T> {
        self.by(other, |_| ())
    }

    pub fn age(&self, now: Micros) -> Micros {
        (now - self.observed_at).max(0)
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
pub struct ServerFacts {
    /// The boot that all of it is of: Unix time in milliseconds, 0 if that was long ago.
    pub started_ms: u64,
    pub group: u32,
    /// The highest log position seen, on the servers' own scale: a lower bound for good.
    pub position: Option<Observation<Micros>>,
    /// How far behind the present it was when that was seen last.
    pub lag: Option<Observation<Micros>>,
    pub primary: Option<Observation<()>>,
    pub replica: Option<Observation<()>>,
    /// It was found silent or failing, or well.
    pub suspect: Option<Observation<bool>>,
    /// What its answers take, in the mean.
    pub latency: Option<Observation<Micros>>,
    /// What is left of its budget while it is cold, in thousandths of the whole.
    pub slow_start_permille: Option<Observation<u16>>,
}

impl ServerFacts {
    pub fn new(boot_ms: u64, group: u32) -> ServerFacts {
        ServerFacts { started_ms: boot_ms, group, ..ServerFacts::default() }
    }

    /// Both together. A later boot, or for one boot another group, is another server: the earlier one's facts are void.
    pub fn merge(&self, other: &ServerFacts) -> ServerFacts {
        let (mine, theirs) = ((self.started_ms, self.group), (other.started_ms, other.group));
        if mine != theirs {
            return if mine > theirs { self.clone() } else { other.clone() };
        }
        ServerFacts {
            started_ms: self.started_ms,
            group: self.group,
            position: join(self.position, other.position, |a, b| a.by(b, |seen| seen.value)),
            lag: join(self.lag, other.lag, Observation::later),
            primary: join(self.primary, other.primary, Observation::later),
            replica: join(self.replica, other.replica, Observation::later),
            suspect: join(self.suspect, other.suspect, Observation::later),
            latency: join(self.latency, other.latency, Observation::later),
            slow_start_permille: join(
                self.slow_start_permille,
                other.slow_start_permille,
                Observation::later,
            ),
        }
    }

    pub fn is_empty(&self) -> bool {
        *self == ServerFacts::new(self.started_ms, self.group)
    }
}

/// A server as the holder's own list has it now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerIncarnation {
    pub started_ms: u64,
    pub group: u32,
}

/// All that one proxy knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Who it is, to know its own words again.
    pub observer: u64,
    servers: BTreeMap<String, ServerFacts>,
    list: BTreeMap<String, ServerIncarnation>,
    /// Facts left out: of no server that is listed, of another boot, or beyond the table.
    pub dropped: u64,
}

impl PeerState {
    pub fn new(observer: u64) -> PeerState {
        PeerState { observer, servers: BTreeMap::new(), list: BTreeMap::new(), dropped: 0 }
    }

    /// The list has this server. What was known of an earlier boot of it is void.
    pub fn add_listed_server(&mut self, uid: &str, listed: ServerIncarnation) {
        if uid.len() > MAX_SERVER_NAME_BYTES
            || (self.list.len() >= MAX_SERVERS && !self.list.contains_key(uid))
        {
            self.dropped += 1;
            return;
        }
        self.servers.retain(|name, facts| name != uid || same(facts, &listed));
        self.list.insert(uid.into(), listed);
    }

    /// The list has it no more.
    pub fn remove_listed_server(&mut self, uid: &str) {
        self.list.remove(uid);
        self.servers.remove(uid);
    }

    pub fn listed_servers(&self) -> impl Iterator<Item = (&str, &ServerIncarnation)> {
        self.list.iter().map(|(uid, listed)| (uid.as_str(), listed))
    }

    /// What is known of the boot that the list names.
    pub fn facts(&self, uid: &str) -> Option<&ServerFacts> {
        let listed = self.list.get(uid)?;
        self.servers.get(uid).filter(|facts| same(facts, listed))
    }

    pub fn servers(&self) -> impl Iterator<Item = (&str, &ServerFacts)> {
        self.list.keys().filter_map(|uid| Some((uid.as_str(), self.facts(uid)?)))
    }

    /// Joins what is known of one server. What the list does not name, or names otherwise, is left out.
    pub fn merge(&mut self, uid: &str, facts: &ServerFacts) {
        match self.list.get(uid).filter(|listed| same(facts, listed)) {
            None => self.dropped += 1,
            Some(_) => match self.servers.get_mut(uid) {
                Some(mine) => *mine = mine.merge(facts),
                None => drop(self.servers.insert(uid.into(), facts.clone())),
            },
        }
    }

    fn record(&mut self, uid: &str, note: impl FnOnce(&mut ServerFacts)) {
        let Some(listed) = self.list.get(uid) else { return };
        let mut facts = ServerFacts::new(listed.started_ms, listed.group);
        note(&mut facts);
        self.merge(uid, &facts);
    }

    fn own<T>(&self, value: T, at: Micros, source: ObservationSource) -> Option<Observation<T>> {
        Some(Observation { value, observed_at: at, hop_count: 0, source, observer: self.observer })
    }

    /// A log position, seen by this proxy itself; and how far behind that was.
    pub fn record_position(
        &mut self,
        now: Micros,
        uid: &str,
        position: Micros,
        lag: Micros,
        source: ObservationSource,
    ) {
        let (position, lag) = (self.own(position, now, source), self.own(lag, now, source));
        self.record(uid, |facts| (facts.position, facts.lag) = (position, lag));
    }

    pub fn record_role(&mut self, now: Micros, uid: &str, role: Role, source: ObservationSource) {
        let seen = self.own((), now, source);
        self.record(uid, |facts| match role {
            Role::Primary => facts.primary = seen,
            Role::Replica => facts.replica = seen,
        });
    }

    pub fn record_health(&mut self, now: Micros, uid: &str, suspect: bool) {
        let seen = self.own(suspect, now, ObservationSource::ServerStatus);
        self.record(uid, |facts| facts.suspect = seen);
    }

    pub fn record_latency(&mut self, now: Micros, uid: &str, latency: Micros) {
        let seen = self.own(latency, now, ObservationSource::ServerStatus);
        self.record(uid, |facts| facts.latency = seen);
    }

    pub fn record_slow_start(&mut self, now: Micros, uid: &str, left: u16) {
        let seen = self.own(left.min(1000), now, ObservationSource::ServerStatus);
        self.record(uid, |facts| facts.slow_start_permille = seen);
    }
}

fn same(facts: &ServerFacts, listed: &ServerIncarnation) -> bool {
    (facts.started_ms, facts.group) == (listed.started_ms, listed.group)
}
