//! What follows from the members: the view's digest, name conflicts, and whether it is settled, changing, blind or alone.

use crate::Micros;
use crate::membership::Membership;
use crate::view::{MembershipChange, ViewState, digest};
use birchreach_fault_injection::fault_injected;
use std::collections::BTreeSet;

/// A process that received nothing for this time is blind: three rounds of probes, each with its indirect ones.
const BLIND_AFTER: Micros = 3_000_000;
/// A view that has not changed for this time is settled: gossip has reached every member by then.
const SETTLED_AFTER: Micros = 2_000_000;

impl Membership {
    /// When the state may change if nothing is received.
    pub(crate) fn next_state_change(&self) -> Micros {
        let blind_at = self.last_received_at + BLIND_AFTER;
        match self.state {
            ViewState::Changing if self.members.is_empty() => blind_at,
            ViewState::Changing => (self.view_changed_at + SETTLED_AFTER).min(blind_at),
            ViewState::Settled { .. } => blind_at,
            ViewState::Isolated { .. } | ViewState::Standalone => Micros::MAX,
        }
    }

    /// The digest of all members, this one included.
    pub(crate) fn compute_digest(&self) -> u64 {
        digest(self.members.values().chain([self.foca.identity()]))
    }

    /// Finds the names that two members have, and reports conflicts that are new or resolved.
    pub(crate) fn update_name_conflicts(&mut self) {
        let mut seen = BTreeSet::from([self.foca.identity().name.as_str()]);
        let repeated = self.members.values().filter(|member| !seen.insert(member.name.as_str()));
        let conflicts: BTreeSet<String> = repeated
            .filter(|_| !fault_injected!(NameConflictsIgnored))
            .map(|member| member.name.clone())
            .collect();
        let before = std::mem::replace(&mut self.name_conflicts, conflicts.clone());
        for name in conflicts.symmetric_difference(&before) {
            self.push_change(match conflicts.contains(name) {
                true => MembershipChange::NameConflict(name.clone()),
                false => MembershipChange::NameConflictResolved(name.clone()),
            });
        }
    }

    /// Derives the view's state, and reports it if it has changed.
    pub(crate) fn update_state(&mut self, now: Micros) {
        let receives_nothing = now - self.last_received_at >= BLIND_AFTER && !fault_injected!(NeverBlind);
        let state = if self.members.is_empty() {
            match self.configured_members {
                0 | 1 => ViewState::Standalone,
                _ if receives_nothing => {
                    ViewState::Isolated { since: self.last_received_at.max(self.started_at) }
                }
                _ => ViewState::Changing,
            }
        } else if receives_nothing {
            ViewState::Isolated { since: self.last_received_at }
        } else if now - self.view_changed_at >= SETTLED_AFTER {
            ViewState::Settled { since: self.view_changed_at }
        } else {
            ViewState::Changing
        };
        if std::mem::replace(&mut self.state, state) != state {
            self.push_change(MembershipChange::StateChanged(state));
        }
    }
}
