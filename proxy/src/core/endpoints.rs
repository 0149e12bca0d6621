//! Updates of the endpoint list. They are applied to the server table and passed to the router and to observers.

use super::{Command, Core, LogRecord, RequestPayload};
use crate::discovery::{EndpointUpdate, ListedEndpoint};
use crate::observe::Observer;
use birchreach::{Endpoint, EndpointList, Event, GroupId, Micros, ServerId};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

impl<P: RequestPayload> Core<P> {
    /// Returns the address of a server. `None` if the server is unknown, or if its entries never contained a valid address.
    pub(crate) fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.listed.get(&server)?.address
    }

    /// Returns whether the endpoint list contains servers of this group. Every group may exist while no server is known.
    ///
    /// Cost: O(1).
    pub(crate) fn has_group(&self, group: GroupId) -> bool {
        self.servers.listed.is_empty() || self.servers.group_sizes.contains_key(&group)
    }

    /// Returns whether the endpoint list contains servers.
    pub(crate) fn lists_servers(&self) -> bool {
        self.servers.listed_servers().next().is_some()
    }

    /// Returns the name of a server in the endpoint list, for the log. The name of an unknown server is `?`.
    pub(crate) fn server_name(&self, server: ServerId) -> &str {
        self.servers.name(server)
    }

    /// Applies an update of the endpoint list. Returns the servers that moved or were removed.
    ///
    /// Cost: O(entries of the update + removed servers that are still known), and for a complete list also O(known servers).
    pub(crate) fn update_endpoints(&mut self, now: Micros, update: EndpointUpdate) -> Vec<ServerId> {
        if update.complete {
            self.servers.mark_all_removed();
        }
        let (mut moved, mut endpoints) = (Vec::new(), Vec::new());
        for entry in &update.endpoints {
            let server = self.assign_number(entry);
            let (endpoint, has_moved) = self.servers.update(server, entry);
            moved.extend(has_moved.then_some(server));
            endpoints.push(endpoint);
        }
        self.notify_listed(now, &endpoints);
        self.handle(now, Event::EndpointsChanged(EndpointList { complete: update.complete, endpoints }));
        self.drop_unknown_servers();
        self.record_roles_of_listed_servers(now);
        moved
    }

    /// Returns the number of a server, and logs the server if it is new.
    fn assign_number(&mut self, entry: &ListedEndpoint) -> ServerId {
        let (server, is_new) = self.servers.assign_number(&entry.uid);
        if is_new {
            let (uid, endpoint) = (entry.uid.clone(), entry.endpoint.clone());
            let record = LogRecord::ServerListed { server, uid, endpoint };
            self.commands.push_back(Command::Log(record));
        }
        server
    }

    /// Notifies observers of these entries and of the servers that are removed.
    fn notify_listed(&self, now: Micros, endpoints: &[Endpoint]) {
        let listed = &self.servers.listed;
        for endpoint in endpoints {
            if let Some(server) = listed.get(&endpoint.server) {
                self.observers.notify(now, server.event(endpoint.server));
            }
        }
        for id in &self.servers.removed {
            if let Some(server) = listed.get(id) {
                self.observers.notify(now, server.event(*id));
            }
        }
    }

    /// Drops the servers that the router has dropped. The router drops only removed servers.
    fn drop_unknown_servers(&mut self) {
        let removed = self.servers.removed.iter().copied();
        let unknown: Vec<ServerId> = removed.filter(|id| !self.router.is_known(*id)).collect();
        for id in unknown {
            self.servers.drop_server(id);
        }
    }

    /// Adds an observer and notifies it of all servers in the endpoint list.
    pub(crate) fn subscribe(&mut self, now: Micros, observer: Rc<RefCell<dyn Observer>>) {
        for (id, server) in self.servers.listed.iter().filter(|(_, server)| !server.removed) {
            observer.borrow_mut().on_event(now, server.event(*id));
        }
        self.observers.add(observer);
    }

    /// Removes an observer, which then receives no further events. Does nothing if the observer was not added.
    pub(crate) fn unsubscribe(&mut self, observer: &Rc<RefCell<dyn Observer>>) {
        self.observers.remove(observer);
    }
}

#[cfg(test)]
mod tests;
