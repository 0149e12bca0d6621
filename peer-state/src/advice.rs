//! The decisions that peer state may influence, one function each. Peer state influences no other decision,
//! and none of these causes a write to be sent to a server.

use crate::{KnownServer, Micros, Observation, PeerState, ServerFacts};

/// The half-life of a suspicion that this proxy observed itself. Each hop of a received suspicion halves it.
const SUSPICION_HALF_LIFE: Micros = 4_000_000;
/// Observations of two primaries within this time contradict each other: one observer was partitioned or
/// late.
const CONTRADICTION_WINDOW: Micros = 2_000_000;
/// The half-life of the weight of an observation as primary. Each hop also halves the weight.
const TRUST_HALF_LIFE: Micros = 10_000_000;
/// The factor on trust if another server was observed as primary at the same time.
const CONTRADICTED_TRUST: f64 = 0.5;

/// A lower bound for the log position of the server's listed incarnation. `None` if no position was observed.
pub fn position(state: &PeerState, uid: &str) -> Option<Observation<Micros>> {
    state.facts(uid)?.position
}

/// An upper bound for the replica's current lag: the last observed lag plus its age, because replication may
/// have stopped since the observation. `None` if no lag was observed.
pub fn max_replication_lag(state: &PeerState, uid: &str, now: Micros) -> Option<Micros> {
    let lag = state.facts(uid)?.lag?;
    Some(lag.value.saturating_add(lag.age(now)))
}

/// The estimated probability that the server is still faulty, 0 to 1.
pub fn suspicion(state: &PeerState, uid: &str, now: Micros) -> f64 {
    let suspect = state.facts(uid).and_then(|facts| facts.suspect);
    let Some(observation) = suspect.filter(|observation| observation.value) else { return 0.0 };
    decayed_weight(&observation, now, SUSPICION_HALF_LIFE >> observation.hop_count.min(4))
}

/// The weight of an observation, 0 to 1. It halves with each half-life of age and with each hop.
fn decayed_weight<T: Copy + Ord>(observation: &Observation<T>, now: Micros, half_life: Micros) -> f64 {
    let half_lives = observation.age(now) as f64 / half_life.max(1) as f64;
    0.5f64.powf(half_lives + f64::from(observation.hop_count))
}

/// The observation as primary, unless the server was later observed as a replica.
fn primary_observation(facts: &ServerFacts) -> Option<Observation<()>> {
    facts
        .primary
        .filter(|primary| facts.replica.is_none_or(|replica| replica.observed_at < primary.observed_at))
}

/// A server that may be the primary.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The server's name.
    pub uid: String,
    /// The confidence that the server is the primary, 0 to 1. It falls with the age of the observation, its
    /// hops, contradicting observations and suspicion of the server.
    pub trust: f64,
    /// The observation of the server as the primary, with its time and origin.
    pub observation: Observation<()>,
}

/// The servers that may be the group's primary, the most likely first. The caller *queries* their role before
/// it relies on one.
///
/// The result excludes servers that were later observed as a replica. It also excludes a server whose
/// observation as primary is older than another's by the contradiction window: that server has been replaced.
pub fn primary_candidates(state: &PeerState, group: u32, now: Micros) -> Vec<Candidate> {
    let of_group = state.servers().filter(|server| server.facts.group == group);
    let mut primaries: Vec<(&str, Observation<()>)> =
        of_group.filter_map(|server| Some((server.uid, primary_observation(server.facts)?))).collect();
    primaries.sort_by_key(|(uid, primary)| (std::cmp::Reverse(primary.observed_at), *uid));
    let Some((_, newest)) = primaries.first().copied() else { return Vec::new() };
    primaries.retain(|(_, primary)| newest.observed_at - primary.observed_at < CONTRADICTION_WINDOW);
    let contradiction_factor = if primaries.len() > 1 { CONTRADICTED_TRUST } else { 1.0 };
    let candidate = |(uid, observation): (&str, Observation<()>)| Candidate {
        uid: uid.into(),
        trust: decayed_weight(&observation, now, TRUST_HALF_LIFE)
            * contradiction_factor
            * (1.0 - suspicion(state, uid, now)),
        observation,
    };
    let mut candidates: Vec<Candidate> = primaries.into_iter().map(candidate).collect();
    candidates.sort_by(|a, b| b.trust.total_cmp(&a.trust).then_with(|| a.uid.cmp(&b.uid)));
    candidates
}

/// Returns whether the server was the primary and is known to have lost that role.
pub fn is_former_primary(state: &PeerState, uid: &str) -> bool {
    let Some(facts) = state.facts(uid) else { return false };
    let Some(primary) = facts.primary else { return false };
    let replaces = |other: KnownServer| {
        let is_another_of_group = other.uid != uid && other.facts.group == facts.group;
        let other_primary = primary_observation(other.facts);
        is_another_of_group
            && other_primary
                .is_some_and(|other| other.observed_at >= primary.observed_at + CONTRADICTION_WINDOW)
    };
    primary_observation(facts).is_none() || state.servers().any(replaces)
}
