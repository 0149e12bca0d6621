//! The table of server facts that one proxy keeps. Owns which servers are in it; what follows from a fact is
//! decided in [`crate::advice`].

use crate::{Micros, Observation, ObservationSource, Role, ServerFacts, ServerIncarnation};
use std::collections::BTreeMap;

/// Servers that are kept.
const MAX_SERVERS: usize = 4096;
/// The longest server name that is kept, in bytes.
pub(crate) const MAX_SERVER_NAME_BYTES: usize = 128;
/// All of a slow start remains.
pub(crate) const FULL_SLOW_START_PERMILLE: u16 = 1000;

/// A listed server of which something is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownServer<'a> {
    /// Its name.
    pub uid: &'a str,
    /// What is known of it.
    pub facts: &'a ServerFacts,
}

/// Everything that one proxy knows of the servers on its endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// This proxy's identity, to recognize its own observations.
    pub observer: u64,
    /// Facts by server name.
    servers: BTreeMap<String, ServerFacts>,
    /// The endpoint list, by server name.
    list: BTreeMap<String, ServerIncarnation>,
    /// Facts discarded: of a server that is not listed, of another incarnation, or beyond a limit.
    pub dropped: u64,
}

impl PeerState {
    /// A state without facts and listed servers.
    pub fn new(observer: u64) -> PeerState {
        PeerState { observer, servers: BTreeMap::new(), list: BTreeMap::new(), dropped: 0 }
    }

    /// Adds a server of the endpoint list. Facts of an earlier incarnation are discarded.
    pub fn add_listed_server(&mut self, uid: &str, listed: ServerIncarnation) {
        let is_full = self.list.len() >= MAX_SERVERS && !self.list.contains_key(uid);
        if uid.len() > MAX_SERVER_NAME_BYTES || is_full {
            self.dropped += 1;
            return;
        }
        self.servers.retain(|name, facts| name != uid || facts.belong_to(&listed));
        self.list.insert(uid.into(), listed);
    }

    /// Removes a server that the endpoint list no longer has.
    pub fn remove_listed_server(&mut self, uid: &str) {
        self.list.remove(uid);
        self.servers.remove(uid);
    }

    /// The servers on the endpoint list, by name.
    pub fn listed_servers(&self) -> impl Iterator<Item = (&str, &ServerIncarnation)> {
        self.list.iter().map(|(uid, listed)| (uid.as_str(), listed))
    }

    /// What is known of the incarnation that the endpoint list names.
    pub fn facts(&self, uid: &str) -> Option<&ServerFacts> {
        let listed = self.list.get(uid)?;
        self.servers.get(uid).filter(|facts| facts.belong_to(listed))
    }

    /// Listed servers of which something is known, by name.
    pub fn servers(&self) -> impl Iterator<Item = KnownServer<'_>> {
        self.list.keys().filter_map(|uid| Some(KnownServer { uid, facts: self.facts(uid)? }))
    }

    /// Merges facts of one server. Facts of a server or incarnation that is not listed are dropped.
    pub fn merge(&mut self, uid: &str, facts: &ServerFacts) {
        match self.list.get(uid).filter(|listed| facts.belong_to(listed)) {
            None => self.dropped += 1,
            Some(_) => match self.servers.get_mut(uid) {
                Some(known) => *known = known.merge(facts),
                None => drop(self.servers.insert(uid.into(), facts.clone())),
            },
        }
    }

    /// Merges facts that this proxy observed of a listed server.
    fn record(&mut self, uid: &str, set: impl FnOnce(&mut ServerFacts)) {
        let Some(listed) = self.list.get(uid) else { return };
        let mut facts = ServerFacts::new(listed.started_ms, listed.group);
        set(&mut facts);
        self.merge(uid, &facts);
    }

    /// An observation of this proxy.
    fn own<T>(&self, value: T, observed_at: Micros, source: ObservationSource) -> Option<Observation<T>> {
        Some(Observation { value, observed_at, hop_count: 0, source, observer: self.observer })
    }

    /// Records a log position that this proxy observed, and how far behind the present it was.
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

    /// Records a server's role that this proxy observed.
    pub fn record_role(&mut self, now: Micros, uid: &str, role: Role, source: ObservationSource) {
        let seen = self.own((), now, source);
        self.record(uid, |facts| match role {
            Role::Primary => facts.primary = seen,
            Role::Replica => facts.replica = seen,
        });
    }

    /// Records whether this proxy found a server suspect or healthy.
    pub fn record_health(&mut self, now: Micros, uid: &str, suspect: bool) {
        let seen = self.own(suspect, now, ObservationSource::ServerStatus);
        self.record(uid, |facts| facts.suspect = seen);
    }

    /// Records the mean latency of a server's answers that this proxy measured.
    pub fn record_latency(&mut self, now: Micros, uid: &str, latency: Micros) {
        let seen = self.own(latency, now, ObservationSource::ServerStatus);
        self.record(uid, |facts| facts.latency = seen);
    }

    /// Records how much of a server's slow start remains.
    pub fn record_slow_start(&mut self, now: Micros, uid: &str, remaining_permille: u16) {
        let remaining = remaining_permille.min(FULL_SLOW_START_PERMILLE);
        let seen = self.own(remaining, now, ObservationSource::ServerStatus);
        self.record(uid, |facts| facts.slow_start_permille = seen);
    }
}
