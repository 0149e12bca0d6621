//! State of the replication groups.

use super::admission::MissRates;
use super::queue::QueuePosition;
use crate::interface::{GroupId, ServerId};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub(super) struct Group {
    pub members: BTreeSet<ServerId>,
    /// Positions of the requests that wait for a server.
    pub queued: BTreeSet<QueuePosition>,
    pub miss_rates: MissRates,
}

impl Group {
    /// Whether the group has neither members nor queued requests.
    fn is_unused(&self) -> bool {
        self.members.is_empty() && self.queued.is_empty()
    }
}

/// All groups that have members or queued requests, and groups that became unused since the last endpoint
/// list. Each operation on one group costs O(log groups).
#[derive(Default)]
pub(super) struct Groups {
    by_id: BTreeMap<GroupId, Group>,
    /// Groups that may be unused. The set contains every unused group.
    possibly_unused: BTreeSet<GroupId>,
}

impl Groups {
    pub(super) fn get(&self, id: GroupId) -> Option<&Group> {
        self.by_id.get(&id)
    }

    /// Returns the group. Creates it if it is unknown.
    pub(super) fn get_or_create(&mut self, id: GroupId) -> &mut Group {
        self.by_id.entry(id).or_insert_with(|| {
            self.possibly_unused.insert(id);
            Group::default()
        })
    }

    pub(super) fn add_member(&mut self, id: GroupId, server: ServerId) {
        self.get_or_create(id).members.insert(server);
    }

    pub(super) fn remove_member(&mut self, id: GroupId, server: ServerId) {
        let Some(group) = self.by_id.get_mut(&id) else { return };
        group.members.remove(&server);
        if group.is_unused() {
            self.possibly_unused.insert(id);
        }
    }

    /// Removes a request from the queue of its group, and the group if it is unused then. Clients may name
    /// any group, so that a group without servers is kept only while requests wait in its queue.
    pub(super) fn dequeue(&mut self, id: GroupId, position: &QueuePosition) {
        let Some(group) = self.by_id.get_mut(&id) else { return };
        group.queued.remove(position);
        if group.is_unused() {
            self.by_id.remove(&id);
            self.possibly_unused.remove(&id);
        }
    }

    /// Removes all unused groups. Costs O(groups that became unused or are new).
    pub(super) fn remove_unused(&mut self) {
        for id in std::mem::take(&mut self.possibly_unused) {
            if self.by_id.get(&id).is_some_and(Group::is_unused) {
                self.by_id.remove(&id);
            }
        }
    }
}
