//! The decisions that peer state may influence, one function each, and no others. None of them leads to a write being sent to a
//! server.

use crate::{KnownServer, Micros, Observation, PeerState, ServerFacts};

/// This proxy's own suspicion of a server halves in this time; a received one in half of it for each hop.
const SUSPICION_HALF_LIFE: Micros = 4_000_000;
/// Two observations as primary within this time contradict: one observer was partitioned or late.
const CONTRADICTION_WINDOW: Micros = 2_000_000;
/// The weight of an observation as primary halves in this time, and with each hop.
const TRUST_HALF_LIFE: Micros = 10_000_000;
/// The fraction of trust that remains if another server was observed as primary at the same time.
const CONTRADICTED_TRUST: f64 = 0.5;

/// A lower bound for the log position of the incarnation that the endpoint list names.
pub fn position(state: &PeerState, uid: &str) -> Option<Observation<Micros>> {
    state.facts(uid)?.position
}

/// An upper bound for the replica's lag now: its replication may have stopped since the last observation.
pub fn max_replication_lag(state: &PeerState, uid: &str, now: Micros) -> Option<Micros> {
    let lag = state.facts(uid)?.lag?;
    Some(lag.value.saturating_add(lag.age(now)))
}

/// How likely it is that the server is still faulty, 0 to 1.
pub fn suspicion(state: &PeerState, uid: &str, now: Micros) -> f64 {
    let suspect = state.facts(uid).and_then(|facts| facts.suspect);
    let Some(seen) = suspect.filter(|seen| seen.value) else { return 0.0 };
    decayed_weight(&seen, now, SUSPICION_HALF_LIFE >> seen.hop_count.min(4))
}

/// The weight of an observation by its age and hops, 0 to 1.
fn decayed_weight<T: Copy + Ord>(seen: &Observation<T>, now: Micros, half_life: Micros) -> f64 {
    0.5f64.powf(seen.age(now) as f64 / half_life.max(1) as f64 + f64::from(seen.hop_count))
}

/// The observation as primary, unless a later one is as replica.
fn primary_observation(facts: &ServerFacts) -> Option<Observation<()>> {
    facts
        .primary
        .filter(|primary| facts.replica.is_none_or(|replica| replica.observed_at < primary.observed_at))
}

/// A server that may be the primary.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub uid: String,
    /// 0 to 1: by age, hops and contradiction.
    pub trust: f64,
    /// The observation as primary.
    pub observation: Observation<()>,
}

/// Servers to *query* whether they are the group's primary, the likeliest first. Left out are those observed as a replica since,
/// and those whose observation as primary is so much older than another's that they have been replaced.
pub fn primary_candidates(state: &PeerState, group: u32, now: Micros) -> Vec<Candidate> {
    let of_group = state.servers().filter(|server| server.facts.group == group);
    let mut seen: Vec<(&str, Observation<()>)> =
        of_group.filter_map(|server| Some((server.uid, primary_observation(server.facts)?))).collect();
    seen.sort_by_key(|(uid, primary)| (std::cmp::Reverse(primary.observed_at), *uid));
    let Some((_, newest)) = seen.first().copied() else { return Vec::new() };
    seen.retain(|(_, primary)| newest.observed_at - primary.observed_at < CONTRADICTION_WINDOW);
    let contradiction = if seen.len() > 1 { CONTRADICTED_TRUST } else { 1.0 };
    let candidate = |(uid, observation): (&str, Observation<()>)| Candidate {
        uid: uid.into(),
        trust: decayed_weight(&observation, now, TRUST_HALF_LIFE)
            * contradiction
            * (1.0 - suspicion(state, uid, now)),
        observation,
    };
    let mut candidates: Vec<Candidate> = seen.into_iter().map(candidate).collect();
    candidates.sort_by(|a, b| b.trust.total_cmp(&a.trust).then_with(|| a.uid.cmp(&b.uid)));
    candidates
}

/// Whether the server was the primary and is known not to be any longer.
pub fn is_former_primary(state: &PeerState, uid: &str) -> bool {
    let Some(facts) = state.facts(uid) else { return false };
    let Some(primary) = facts.primary else { return false };
    let replaces = |other: KnownServer| {
        let is_another_of_group = other.uid != uid && other.facts.group == facts.group;
        let seen = primary_observation(other.facts);
        is_another_of_group
            && seen.is_some_and(|seen| seen.observed_at >= primary.observed_at + CONTRADICTION_WINDOW)
    };
    primary_observation(facts).is_none() || state.servers().any(replaces)
}
