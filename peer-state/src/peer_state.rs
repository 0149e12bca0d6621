//! The table of server facts that one proxy keeps, limited to the servers on its endpoint list. The decisions
//! that follow from the facts are made in [`crate::advice`].

use crate::{Micros, Observation, ObservationSource, Role, ServerFacts, ServerIncarnation};
use std::collections::BTreeMap;

/// The maximum number of listed servers.
const MAX_SERVERS: usize = 4096;
/// The maximum length of a server name.
pub(crate) const MAX_SERVER_NAME_BYTES: usize = 128;
/// The remaining part of a slow start that has just begun.
pub(crate) const FULL_SLOW_START_PERMILLE: u16 = 1000;

/// A listed server with at least one known fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownServer<'a> {
    /// The server's name.
    pub uid: &'a str,
    /// The facts of the listed incarnation.
    pub facts: &'a ServerFacts,
}

/// The facts that one proxy knows about the servers on its endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// The identity of this proxy, by which it recognizes its own observations.
    pub observer: u64,
    /// The facts by server name.
    servers: BTreeMap<String, ServerFacts>,
    /// The endpoint list, by server name.
    list: BTreeMap<String, ServerIncarnation>,
    /// The number of servers and facts that were dropped: because a server or its incarnation was not listed,
    /// a limit was exceeded, or this proxy had made the observation itself.
    pub dropped: u64,
}

impl PeerState {
    /// Creates a state without facts or listed servers. `observer` identifies this proxy.
    pub fn new(observer: u64) -> PeerState {
        PeerState { observer, servers: BTreeMap::new(), list: BTreeMap::new(), dropped: 0 }
    }

    /// Adds a server of the endpoint list, or updates its incarnation. Facts of another incarnation are
    /// removed. A server with too long a name, or beyond the maximum number, is dropped.
    pub fn add_listed_server(&mut self, uid: &str, listed: ServerIncarnation) {
        let is_full = self.list.len() >= MAX_SERVERS && !self.list.contains_key(uid);
        if uid.len() > MAX_SERVER_NAME_BYTES || is_full {
            self.dropped += 1;
            return;
        }
        self.servers.retain(|name, facts| name != uid || facts.belong_to(&listed));
        self.list.insert(uid.into(), listed);
    }

    /// Removes a server that is no longer on the endpoint list, with its facts.
    pub fn remove_listed_server(&mut self, uid: &str) {
        self.list.remove(uid);
        self.servers.remove(uid);
    }

    /// The servers on the endpoint list, sorted by name.
    pub fn listed_servers(&self) -> impl Iterator<Item = (&str, &ServerIncarnation)> {
        self.list.iter().map(|(uid, listed)| (uid.as_str(), listed))
    }

    /// The facts of the server's listed incarnation. `None` if the server is not listed or no fact is known.
    pub fn facts(&self, uid: &str) -> Option<&ServerFacts> {
        let listed = self.list.get(uid)?;
        self.servers.get(uid).filter(|facts| facts.belong_to(listed))
    }

    /// The listed servers with known facts, sorted by name.
    pub fn servers(&self) -> impl Iterator<Item = KnownServer<'_>> {
        self.list.keys().filter_map(|uid| Some(KnownServer { uid, facts: self.facts(uid)? }))
    }

    /// Merges facts of one server. They are dropped if the server or this incarnation is not listed.
    pub fn merge(&mut self, uid: &str, facts: &ServerFacts) {
        match self.list.get(uid).filter(|listed| facts.belong_to(listed)) {
            None => self.dropped += 1,
            Some(_) => match self.servers.get_mut(uid) {
                Some(known) => *known = known.merge(facts),
                None => drop(self.servers.insert(uid.into(), facts.clone())),
            },
        }
    }

    /// Merges facts that this proxy observed. Does nothing if the server is not listed.
    fn record(&mut self, uid: &str, set: impl FnOnce(&mut ServerFacts)) {
        let Some(listed) = self.list.get(uid) else { return };
        let mut facts = ServerFacts::new(listed.started_ms, listed.group);
        set(&mut facts);
        self.merge(uid, &facts);
    }

    /// Creates an observation by this proxy.
    fn observe<T>(&self, value: T, observed_at: Micros, source: ObservationSource) -> Option<Observation<T>> {
        Some(Observation { value, observed_at, hop_count: 0, source, observer: self.observer })
    }

    /// Records a log position that this proxy observed, and its lag behind the present.
    pub fn record_position(
        &mut self,
        now: Micros,
        uid: &str,
        position: Micros,
        lag: Micros,
        source: ObservationSource,
    ) {
        let (position, lag) = (self.observe(position, now, source), self.observe(lag, now, source));
        self.record(uid, |facts| (facts.position, facts.lag) = (position, lag));
    }

    /// Records the role in which this proxy observed a server.
    pub fn record_role(&mut self, now: Micros, uid: &str, role: Role, source: ObservationSource) {
        let observation = self.observe((), now, source);
        self.record(uid, |facts| match role {
            Role::Primary => facts.primary = observation,
            Role::Replica => facts.replica = observation,
        });
    }

    /// Records whether this proxy suspects a server to be faulty (`true`) or found it healthy (`false`).
    pub fn record_health(&mut self, now: Micros, uid: &str, suspect: bool) {
        let observation = self.observe(suspect, now, ObservationSource::ServerStatus);
        self.record(uid, |facts| facts.suspect = observation);
    }

    /// Records the mean response latency that this proxy measured for a server.
    pub fn record_latency(&mut self, now: Micros, uid: &str, latency: Micros) {
        let observation = self.observe(latency, now, ObservationSource::ServerStatus);
        self.record(uid, |facts| facts.latency = observation);
    }

    /// Records the remaining part of a server's slow start. A value above 1000 ‰ counts as 1000 ‰.
    pub fn record_slow_start(&mut self, now: Micros, uid: &str, remaining_permille: u16) {
        let remaining = remaining_permille.min(FULL_SLOW_START_PERMILLE);
        let observation = self.observe(remaining, now, ObservationSource::ServerStatus);
        self.record(uid, |facts| facts.slow_start_permille = observation);
    }
}
