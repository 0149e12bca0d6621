//! Applies foca's output: schedules its timers, updates the members from its notifications and queues the
//! resulting changes for the caller.

use crate::membership::Membership;
use crate::swim::{PayloadError, RequestedTimer};
use crate::view::MembershipChange;
use crate::{MAX_MEMBERS, Micros, Peer};
use foca::OwnedNotification::{MemberDown, MemberUp, Rejoin, Rename};
use std::cmp::Reverse;

/// Capacity of the queue of changes. When the queue is full, its oldest change is dropped.
const MAX_PENDING_CHANGES: usize = 1_024;
/// Maximum number of pending foca timers; further timers are dropped. foca needs far fewer for
/// [`MAX_MEMBERS`] members.
const MAX_TIMERS: usize = 4 * MAX_MEMBERS;

impl Membership {
    /// Removes and returns the queued changes, oldest first. At most 1,024 changes are queued between calls.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        self.changes.drain(..).collect()
    }

    pub(crate) fn push_change(&mut self, change: MembershipChange) {
        if self.changes.len() >= MAX_PENDING_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Merges the members received in a full exchange.
    pub(crate) fn apply_members(
        &mut self,
        now: Micros,
        received: Vec<foca::Member<Peer>>,
    ) -> Result<(), PayloadError> {
        let result = self.foca.apply_many(received.into_iter(), true, &mut self.output);
        self.apply_output(now);
        self.update_state(now);
        result.map_err(|_| PayloadError::Malformed)
    }

    /// Schedules the timers that foca requested and applies its notifications.
    pub(crate) fn apply_output(&mut self, now: Micros) {
        for RequestedTimer { timer, after } in std::mem::take(&mut self.output.timers) {
            if self.timers.len() < MAX_TIMERS {
                let after = Micros::try_from(after.as_micros()).unwrap_or(Micros::MAX / 2);
                self.timers.push(Reverse((now.saturating_add(after), timer)));
            }
        }
        let notifications = std::mem::take(&mut self.output.notifications);
        if notifications.is_empty() {
            return;
        }
        for notification in notifications {
            self.apply_notification(now, notification);
        }
        let digest = self.compute_digest();
        if std::mem::replace(&mut self.digest, digest) != digest {
            self.view_changed_at = now;
        }
        self.update_name_conflicts();
    }

    /// Updates the members and queues a change for the caller.
    fn apply_notification(&mut self, now: Micros, notification: foca::OwnedNotification<Peer>) {
        match notification {
            MemberUp(peer) => {
                self.known_addresses.record(now, peer.address);
                if self.members.is_empty() {
                    self.exchange_schedule.record_first_member(now, peer.address);
                }
                self.members.insert(peer.address, peer.clone());
                self.push_change(MembershipChange::Joined(peer));
            }
            MemberDown(peer) => {
                self.members.remove(&peer.address);
                self.push_change(MembershipChange::Removed(peer));
            }
            Rename(before, after) if self.members.contains_key(&before.address) => {
                self.members.insert(after.address, after.clone());
                if before.incarnation != after.incarnation {
                    self.push_change(MembershipChange::Joined(after));
                }
            }
            Rejoin(own) => self.push_change(MembershipChange::EpochRenewed(own.epoch)),
            _ => {}
        }
    }
}
