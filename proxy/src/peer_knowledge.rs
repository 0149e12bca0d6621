//! Between the core and the knowledge crate: what this proxy sees of servers as facts, and what others tell as the few things
//! that the decisions may hear of it. It owns the translation; what a fact may be used for is the crate's to say, and no
//! write is sent because of one.

use crate::observe::{CoreEvent, Observer};
use crate::reply::Reply;
use birchreach::{LoadReport, Micros};
use birchreach_peer_state::{ObservationSource, PeerState, Role, ServerIncarnation, TransferPart, advice};
use std::collections::HashMap;

/// A position seen longer ago is not handed on: the decisions date it by the moment at which they hear of it, and would
/// take the replica for one so far behind that it need not be asked for a while.
const OLD: Micros = 5_000_000;
/// A sighting that is trusted less than this leads nobody, not even a probe.
const LEAST_TRUST: f64 = 0.05;

pub struct PeerKnowledge {
    pub knowledge: PeerState,
    /// Positions that the decisions have been told.
    told: HashMap<String, Micros>,
}

/// What was learnt from an answer.
pub struct Learnt {
    /// Positions proven for the servers that the list names now.
    pub reports: Vec<(String, LoadReport)>,
    /// Whom to ask whether it is its group's primary.
    pub ask: Vec<String>,
}

impl PeerKnowledge {
    pub fn new(observer: u64) -> PeerKnowledge {
        PeerKnowledge { knowledge: PeerState::new(observer), told: HashMap::new() }
    }

    /// What a server said of itself, with an answer or a report.
    fn saw(&mut self, now: Micros, uid: &str, reply: &Reply) {
        let known = &mut self.knowledge;
        if let Some(note) = reply.status {
            known.record_role(now, uid, role(note.role), ObservationSource::ServerStatus);
            if let Some(position) = note.position {
                known.record_position(
                    now,
                    uid,
                    position,
                    (now - position).max(0),
                    ObservationSource::ServerStatus,
                );
            }
        }
        if let Some(report) = reply.load_report {
            if let Some(told) = report.role {
                known.record_role(now, uid, role(told), ObservationSource::LoadReport);
            }
            if let Some(position) = report.position {
                known.record_position(
                    now,
                    uid,
                    position,
                    (now - position).max(0),
                    ObservationSource::LoadReport,
                );
            }
        }
        let answered = reply.status.is_some() || reply.load_report.is_some();
        if answered || reply.connection_refused {
            known.record_health(now, uid, reply.connection_refused);
        }
    }

    /// Takes what another tells, asked at this time.
    pub fn hear(&mut self, now: Micros, asked_at: Micros, told: &TransferPart) -> Learnt {
        self.knowledge.apply_transfer(asked_at, told);
        let mut learnt = Learnt { reports: Vec::new(), ask: Vec::new() };
        let mut groups: Vec<u32> = Vec::new();
        for server in &told.servers {
            let uid = server.uid.as_str();
            let heard = advice::position(&self.knowledge, uid).filter(|seen| seen.hop_count > 0);
            let heard = heard.filter(|seen| seen.age(now) <= OLD);
            if let Some(seen) = heard
                && self.told.get(uid).is_none_or(|before| *before < seen.value)
            {
                self.told.insert(uid.into(), seen.value);
                learnt.reports.push((uid.into(), LoadReport { position: Some(seen.value), role: None }));
            }
            if let Some(facts) = self.knowledge.facts(uid).filter(|f| !groups.contains(&f.group)) {
                groups.push(facts.group);
            }
        }
        for group in groups {
            let first = advice::primary_candidates(&self.knowledge, group, now).into_iter().next();
            // Who was seen so by this proxy itself need not be asked.
            learnt
                .ask
                .extend(first.filter(|c| c.seen.hop_count > 0 && c.trust >= LEAST_TRUST).map(|c| c.uid));
        }
        let listed = &self.knowledge;
        self.told.retain(|uid, _| listed.facts(uid).is_some());
        learnt
    }
}

impl Observer for PeerKnowledge {
    fn on_event(&mut self, now: Micros, seen: CoreEvent<'_>) {
        match seen {
            // Facts are kept of the servers that the list names, and of their present boots alone.
            CoreEvent::Listed { uid, group, started_ms: boot_ms, .. } => {
                self.knowledge
                    .add_listed_server(uid, ServerIncarnation { started_ms: boot_ms, group: group.0 });
            }
            CoreEvent::Unlisted { uid, .. } => self.knowledge.remove_listed_server(uid),
            CoreEvent::AttemptEnded { uid, reply, .. } => self.saw(now, uid, reply),
            _ => {}
        }
    }
}

fn role(role: birchreach::Role) -> Role {
    match role {
        birchreach::Role::Primary => Role::Primary,
        birchreach::Role::Replica => Role::Replica,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn young_positions_are_handed_on_once_and_old_ones_never() {
        let listed = |peer_knowledge: &mut PeerKnowledge| {
            peer_knowledge.knowledge.add_listed_server("p", ServerIncarnation { started_ms: 0, group: 0 });
            peer_knowledge.knowledge.add_listed_server("r", ServerIncarnation { started_ms: 0, group: 0 });
        };
        let mut donor = PeerKnowledge::new(1);
        listed(&mut donor);
        donor.knowledge.record_role(10_000_000, "p", Role::Primary, ObservationSource::ServedWrite);
        donor.knowledge.record_position(10_000_000, "r", 9_900_000, 100_000, ObservationSource::ServerStatus);
        let told = |at| TransferPart { servers: donor.knowledge.export_facts(at).collect() };
        let mut newcomer = PeerKnowledge::new(2);
        listed(&mut newcomer);
        let learnt = newcomer.hear(11_000_000, 11_000_000, &told(11_000_000));
        let report = LoadReport { position: Some(9_900_000), role: None };
        assert_eq!((learnt.reports, learnt.ask), (vec![("r".to_string(), report)], vec!["p".to_string()]));
        let again = newcomer.hear(11_100_000, 11_100_000, &told(11_100_000));
        assert!(again.reports.is_empty(), "the decisions have it");
        // What it has seen of the primary itself, it does not ask.
        newcomer.knowledge.record_role(11_200_000, "p", Role::Primary, ObservationSource::ServerStatus);
        assert!(newcomer.hear(11_300_000, 11_300_000, &told(11_300_000)).ask.is_empty());
        let mut late = PeerKnowledge::new(3);
        listed(&mut late);
        let learnt = late.hear(70_000_000, 70_000_000, &told(70_000_000));
        assert!(learnt.reports.is_empty() && learnt.ask.is_empty(), "a minute old, it leads nobody");
    }
}
