//! The servers of the endpoint list, with their names, numbers and addresses.
//!
//! A number is never used for two servers. A removed server is dropped once the router has dropped it.

use crate::discovery::{ListedEndpoint, ListedState};
use crate::observe::CoreEvent;
use crate::units::MICROS_PER_MILLI;
use birchreach::{Endpoint, EndpointState, GroupId, ServerId, ZoneId};
use birchreach_settings::DeploymentSettings;
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Name that is shown for a server that is no longer known.
const UNKNOWN_SERVER: &str = "?";

/// The latest entry of the endpoint list for a server.
pub(super) struct ListedServer {
    uid: String,
    pub(super) address: Option<SocketAddr>,
    pub(super) group: GroupId,
    pub(super) primary: Option<bool>,
    up: bool,
    started_ms: Option<i64>,
    pub(super) removed: bool,
}

impl ListedServer {
    /// Creates a server that is new in the list. [`ListedServer::update`] sets the remaining fields.
    fn new(entry: &ListedEndpoint) -> ListedServer {
        ListedServer {
            uid: entry.uid.clone(),
            address: None,
            group: GroupId(entry.group),
            primary: None,
            up: false,
            started_ms: None,
            removed: false,
        }
    }

    /// Applies an entry of the list. Returns whether existing connections to the server cannot be used any more, because the
    /// server moved or was removed.
    pub(super) fn update(&mut self, entry: &ListedEndpoint) -> bool {
        let address = entry.endpoint.parse().ok();
        self.group = GroupId(entry.group);
        self.primary = entry.is_primary();
        self.up = entry.state == ListedState::Up;
        self.started_ms = entry.started_ms();
        self.removed = entry.state == ListedState::Removed;
        let moved = self.address != address || self.removed;
        if moved {
            self.address = address.or(self.address);
        }
        moved
    }

    /// Returns the event that notifies observers of this entry.
    pub(super) fn event(&self, server: ServerId) -> CoreEvent<'_> {
        if self.removed {
            return CoreEvent::Unlisted { server, uid: &self.uid };
        }
        CoreEvent::Listed {
            server,
            uid: &self.uid,
            group: self.group,
            primary: self.primary,
            up: self.up,
            started_ms: self.started_ms.and_then(|ms| u64::try_from(ms).ok()).unwrap_or(0),
        }
    }
}

/// All servers that the endpoint list has contained and the router has not dropped.
pub(super) struct ServerTable {
    zone_names: Vec<String>,
    pub(super) numbers: HashMap<String, ServerId>,
    pub(super) listed: FxHashMap<ServerId, ListedServer>,
    /// Servers in `listed` that were removed from the endpoint list.
    pub(super) removed: BTreeSet<ServerId>,
    /// Number of servers in `listed` by group. Groups without a server have no entry.
    pub(super) group_sizes: FxHashMap<GroupId, usize>,
    next_number: u32,
}

impl ServerTable {
    /// Creates a table without servers.
    pub(super) fn new(settings: &DeploymentSettings) -> ServerTable {
        ServerTable {
            zone_names: settings.zone_names.clone(),
            numbers: HashMap::new(),
            listed: FxHashMap::default(),
            removed: BTreeSet::new(),
            group_sizes: FxHashMap::default(),
            next_number: 0,
        }
    }

    /// Applies the zone names of new settings.
    pub(super) fn set_zones(&mut self, settings: &DeploymentSettings) {
        self.zone_names.clone_from(&settings.zone_names);
    }

    /// Returns the servers that were not removed from the endpoint list.
    pub(super) fn listed_servers(&self) -> impl Iterator<Item = ServerId> {
        self.listed.iter().filter(|(_, server)| !server.removed).map(|(id, _)| *id)
    }

    /// Returns the name of a server in the endpoint list. The name of an unknown server is `?`.
    pub(super) fn name(&self, server: ServerId) -> &str {
        self.listed.get(&server).map_or(UNKNOWN_SERVER, |server| &server.uid)
    }

    /// Returns the number of the server with this name.
    pub(super) fn find_by_uid(&self, uid: &str) -> Option<ServerId> {
        self.numbers.get(uid).copied()
    }

    /// Returns the number of the server with this name, and whether the server is new. A new server is assigned the next number.
    pub(super) fn assign_number(&mut self, uid: &str) -> (ServerId, bool) {
        if let Some(server) = self.find_by_uid(uid) {
            return (server, false);
        }
        let server = ServerId(self.next_number);
        self.next_number += 1;
        self.numbers.insert(uid.to_string(), server);
        (server, true)
    }

    /// Applies an entry of the list. Returns the entry for the router, and whether the server moved or was removed.
    pub(super) fn update(&mut self, server: ServerId, entry: &ListedEndpoint) -> (Endpoint, bool) {
        let previous_group = self.listed.get(&server).map(|listed| listed.group);
        let listed = self.listed.entry(server).or_insert_with(|| ListedServer::new(entry));
        let moved = listed.update(entry);
        let (group, is_removed) = (listed.group, listed.removed);
        if is_removed {
            self.removed.insert(server);
        } else {
            self.removed.remove(&server);
        }
        if previous_group != Some(group) {
            previous_group.into_iter().for_each(|previous| self.remove_from_group(previous));
            *self.group_sizes.entry(group).or_default() += 1;
        }
        let endpoint = Endpoint {
            server,
            group: GroupId(entry.group),
            zone: self.zone(&entry.zone),
            state: match entry.state {
                ListedState::Up => EndpointState::Ready,
                ListedState::Draining => EndpointState::Draining,
                ListedState::Removed => EndpointState::Removed,
            },
            started_at: entry.started_ms().and_then(|ms| ms.checked_mul(MICROS_PER_MILLI)),
            weight: entry.weight,
            primary: entry.is_primary() == Some(true),
        };
        (endpoint, moved)
    }

    /// Marks all servers as removed, before the entries of a complete list are applied.
    pub(super) fn mark_all_removed(&mut self) {
        for (id, server) in &mut self.listed {
            server.removed = true;
            self.removed.insert(*id);
        }
    }

    /// Drops a server and its number.
    pub(super) fn drop_server(&mut self, id: ServerId) {
        self.removed.remove(&id);
        let Some(server) = self.listed.remove(&id) else { return };
        self.numbers.remove(&server.uid);
        self.remove_from_group(server.group);
    }

    /// Decrements the number of servers in a group.
    fn remove_from_group(&mut self, group: GroupId) {
        let Some(size) = self.group_sizes.get_mut(&group) else { return };
        *size -= 1;
        if *size == 0 {
            self.group_sizes.remove(&group);
        }
    }

    /// Returns the number of a zone. An unknown name gets `u16::MAX`, a number that no server or proxy in a known zone has.
    fn zone(&self, name: &str) -> ZoneId {
        let index = self.zone_names.iter().position(|known| known == name);
        ZoneId(index.and_then(|index| u16::try_from(index).ok()).unwrap_or(u16::MAX))
    }
}
