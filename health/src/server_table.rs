//! The table of the listed servers and their groups. Both are bounded in number.

use crate::evidence::ServerEvidence;
use crate::group::GroupState;
use crate::{GroupId, Micros, ServerId};
use std::collections::BTreeMap;

/// Further servers are ignored and counted.
const MAX_SERVERS: usize = 4096;
/// Servers of further groups are ignored and counted.
const MAX_GROUPS: usize = 1024;

/// A listed server and the state of its probes.
pub(crate) struct MonitoredServer {
    pub evidence: ServerEvidence,
    /// When the probe in flight was sent; `None` if no probe is in flight.
    pub probe_sent_at: Option<Micros>,
    /// The next probe must not be sent before this time.
    pub probe_not_before: Micros,
    /// The next periodic probe is due early by this random time, so that proxies don't probe in lockstep.
    pub probe_advance: Micros,
}

/// The entry of a server in the endpoint list.
#[derive(Clone, Copy)]
pub(crate) struct ServerListing {
    pub group: GroupId,
    /// Whether the server is the primary; `None` if the list doesn't say.
    pub primary: Option<bool>,
    pub accepts_work: bool,
}

pub(crate) type Servers = BTreeMap<ServerId, MonitoredServer>;

/// The error that the table has no capacity for another server or group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TableFull;

#[derive(Default)]
pub(crate) struct ServerTable {
    pub servers: Servers,
    pub groups: BTreeMap<GroupId, GroupState>,
}

impl ServerTable {
    /// Adds a server or updates its entry.
    pub(crate) fn list(
        &mut self,
        now: Micros,
        id: ServerId,
        listing: ServerListing,
    ) -> Result<(), TableFull> {
        let ServerListing { group, primary, accepts_work } = listing;
        let changes_group = self.servers.get(&id).is_none_or(|server| server.evidence.group != group);
        if changes_group {
            self.insert(now, id, group)?;
        }
        if let Some(server) = self.servers.get_mut(&id) {
            server.evidence.listed_as_primary = primary;
            server.evidence.accepts_work = accepts_work;
        }
        Ok(())
    }

    /// Adds a server or moves it to another group. A moved server starts without evidence.
    fn insert(&mut self, now: Micros, id: ServerId, group: GroupId) -> Result<(), TableFull> {
        let server_fits = self.servers.len() < MAX_SERVERS || self.servers.contains_key(&id);
        let group_fits = self.groups.len() < MAX_GROUPS || self.groups.contains_key(&group);
        if !server_fits || !group_fits {
            return Err(TableFull);
        }
        self.leave_group(id);
        let evidence = ServerEvidence::new(now, group);
        let server =
            MonitoredServer { evidence, probe_sent_at: None, probe_not_before: now, probe_advance: 0 };
        self.servers.insert(id, server);
        self.groups.entry(group).or_insert_with(|| GroupState::new(now)).members.push(id);
        Ok(())
    }

    /// Removes a server that is no longer listed.
    pub(crate) fn remove(&mut self, id: ServerId) {
        self.leave_group(id);
        self.servers.remove(&id);
    }

    /// Removes a server from the members of its group.
    fn leave_group(&mut self, id: ServerId) {
        let group = self.servers.get(&id).map(|server| server.evidence.group);
        if let Some(group) = group.and_then(|group| self.groups.get_mut(&group)) {
            group.members.retain(|member| *member != id);
        }
    }

    /// Counts the members of each group that accept work. Removes groups without members and returns them.
    pub(crate) fn refresh_groups(&mut self) -> Vec<GroupId> {
        let servers = &self.servers;
        let mut removed = Vec::new();
        self.groups.retain(|id, group| {
            group.accepting_members = group.accepting(servers).count();
            if group.members.is_empty() {
                removed.push(*id);
            }
            !group.members.is_empty()
        });
        removed
    }
}
