//! Values derived from the members: the view's digest, its name conflicts and its state.

use crate::Micros;
use crate::membership::Membership;
use crate::view::{MembershipChange, ViewState, digest};
use birchreach_fault_injection::fault_injected;
use std::collections::BTreeSet;

/// A process that receives nothing for this long is isolated. The time covers three rounds of probes, including
/// indirect probes.
const ISOLATED_AFTER: Micros = 3_000_000;
/// A view that does not change for this long is settled. Gossip reaches every member within this time.
const SETTLED_AFTER: Micros = 2_000_000;

impl Membership {
    /// Returns when the state may change next, unless a payload is received earlier.
    pub(crate) fn next_state_change(&self) -> Micros {
        let isolated_at = self.last_received_at + ISOLATED_AFTER;
        match self.state {
            ViewState::Changing if self.members.is_empty() => isolated_at,
            ViewState::Changing => (self.view_changed_at + SETTLED_AFTER).min(isolated_at),
            ViewState::Settled { .. } => isolated_at,
            ViewState::Isolated { .. } | ViewState::Standalone => Micros::MAX,
        }
    }

    /// Computes the digest of all members, including this process.
    pub(crate) fn compute_digest(&self) -> u64 {
        digest(self.members.values().chain([self.foca.identity()]))
    }

    /// Updates the names shared by two or more members, and queues a change for each new or resolved conflict.
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

    /// Updates the view's state, and queues a change if the state differs from the previous one.
    pub(crate) fn update_state(&mut self, now: Micros) {
        let receives_nothing =
            now - self.last_received_at >= ISOLATED_AFTER && !fault_injected!(IsolationNotDetected);
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
