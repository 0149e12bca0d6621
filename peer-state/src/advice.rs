//! The few things that facts may be used for. Each is a function of its own, and there is none besides: none sends a write
//! to anybody.

use crate::{Micros, Observation, PeerState, ServerFacts};

/// Own suspicion halves after this time; what was heard, sooner by half for each hop.
const SUSPICION_HALVES: Micros = 4_000_000;
/// Two sightings as primary within this time of one another contradict: one of the observers was cut off, or late.
const CONTRADICTS: Micros = 2_000_000;
/// A sighting as primary is worth half after this time, and for each hop.
const TRUST_HALVES: Micros = 10_000_000;

/// A lower bound for the log position of the boot that the list names.
pub fn position(knowledge: &PeerState, uid: &str) -> Option<Observation<Micros>> {
    knowledge.facts(uid)?.position
}

/// How far behind the present the replica may be by now, at the most that its last sighting tells: it may have stood still.
pub fn max_replication_lag(knowledge: &PeerState, uid: &str, now: Micros) -> Option<Micros> {
    let lag = knowledge.facts(uid)?.lag?;
    Some(lag.value.saturating_add(lag.age(now)))
}

/// How likely it still is that something is wrong with it, 0 to 1.
pub fn suspicion(knowledge: &PeerState, uid: &str, now: Micros) -> f64 {
    let Some(seen) = knowledge.facts(uid).and_then(|f| f.suspect).filter(|s| s.value) else { return 0.0 };
    decayed_weight(&seen, now, SUSPICION_HALVES >> seen.hop_count.min(4))
}

/// What a sighting is still worth.
fn decayed_weight<T>(seen: &Observation<T>, now: Micros, halves: Micros) -> f64
where
    T: Copy + Ord,
{
    0.5f64.powf(seen.age(now) as f64 / halves.max(1) as f64 + f64::from(seen.hop_count))
}

/// The sighting as primary, unless a later one says that it is none.
fn primary_observation(facts: &ServerFacts) -> Option<Observation<()>> {
    facts
        .primary
        .filter(|primary| facts.replica.is_none_or(|replica| replica.observed_at < primary.observed_at))
}

/// A server that may be asked whether it is the primary.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub uid: String,
    /// 0 to 1: by age, hops and contradiction.
    pub trust: f64,
    pub seen: Observation<()>,
}

/// Whom to *ask* whether it is the group's primary, the likeliest first. Not there: who was seen as a replica since, and who
/// was seen as primary so long before another that it has been deposed.
pub fn primary_candidates(knowledge: &PeerState, group: u32, now: Micros) -> Vec<Candidate> {
    let of_group = knowledge.servers().filter(|(_, facts)| facts.group == group);
    let mut seen: Vec<(&str, Observation<()>)> =
        of_group.filter_map(|(uid, facts)| Some((uid, primary_observation(facts)?))).collect();
    seen.sort_by_key(|(uid, s)| (std::cmp::Reverse(s.observed_at), *uid));
    let Some((_, newest)) = seen.first().copied() else { return Vec::new() };
    seen.retain(|(_, s)| newest.observed_at - s.observed_at < CONTRADICTS);
    let contradicted = if seen.len() > 1 { 0.5 } else { 1.0 };
    let candidate = |(uid, seen): (&str, Observation<()>)| Candidate {
        uid: uid.into(),
        trust: decayed_weight(&seen, now, TRUST_HALVES)
            * contradicted
            * (1.0 - suspicion(knowledge, uid, now)),
        seen,
    };
    let mut candidates: Vec<Candidate> = seen.into_iter().map(candidate).collect();
    candidates.sort_by(|a, b| b.trust.total_cmp(&a.trust).then_with(|| a.uid.cmp(&b.uid)));
    candidates
}

/// It was the primary, and is known not to be any more: nobody is to be led to it by what was heard.
pub fn is_former_primary(knowledge: &PeerState, uid: &str) -> bool {
    let Some(facts) = knowledge.facts(uid) else { return false };
    let Some(primary) = facts.primary else { return false };
    let later = |other: &ServerFacts| {
        primary_observation(other).is_some_and(|s| s.observed_at >= primary.observed_at + CONTRADICTS)
    };
    primary_observation(facts).is_none()
        || knowledge.servers().any(|(name, other)| name != uid && other.group == facts.group && later(other))
}
