//! What the view comes to: its digest, twins, and whether it is settled, moving, blind or alone.

use crate::Micros;
use crate::membership::Membership;
use crate::view::{MembershipChange, ViewState, digest};
use std::collections::BTreeSet;

/// Hearing nobody for so long is blindness: three rounds of probes, each with its second way round.
const BLIND_AFTER: Micros = 3_000_000;
/// A view that has not moved for so long is settled: what is new has been all round in that time.
const SETTLED_AFTER: Micros = 2_000_000;

impl Membership {
    /// When it may come to something else, if nothing is heard.
    pub(crate) fn next_state_change(&self) -> Micros {
        match self.state {
            ViewState::Changing if self.members.is_empty() => self.last_received_at + BLIND_AFTER,
            ViewState::Changing => {
                (self.view_changed_at + SETTLED_AFTER).min(self.last_received_at + BLIND_AFTER)
            }
            ViewState::Settled { .. } => self.last_received_at + BLIND_AFTER,
            ViewState::Blind { .. } | ViewState::Alone => Micros::MAX,
        }
    }

    pub(crate) fn compute_digest(&self) -> u64 {
        digest(self.members.values().chain([self.foca.identity()]))
    }

    pub(crate) fn update_name_conflicts(&mut self) {
        let mut seen = BTreeSet::from([self.foca.identity().name.as_str()]);
        let twice = self.members.values().filter(|m| !seen.insert(m.name.as_str()));
        let twins: BTreeSet<String> =
            twice.filter(|_| !crate::faulty!(TwinsAreOne)).map(|m| m.name.clone()).collect();
        let before = std::mem::replace(&mut self.name_conflicts, twins.clone());
        for name in twins.symmetric_difference(&before) {
            self.push_change(MembershipChange::NameConflict(name.clone(), twins.contains(name)));
        }
    }

    pub(crate) fn update_state(&mut self, now: Micros) {
        let silent = now - self.last_received_at >= BLIND_AFTER && !crate::faulty!(NeverBlind);
        let state = if self.members.is_empty() {
            match self.configured_members {
                0 | 1 => ViewState::Alone,
                _ if silent => ViewState::Blind { since: self.last_received_at.max(self.started_at) },
                _ => ViewState::Changing,
            }
        } else if silent {
            ViewState::Blind { since: self.last_received_at }
        } else if now - self.view_changed_at >= SETTLED_AFTER {
            ViewState::Settled { since: self.view_changed_at }
        } else {
            ViewState::Changing
        };
        if std::mem::replace(&mut self.state, state) != state {
            self.push_change(MembershipChange::State(state));
        }
    }
}
