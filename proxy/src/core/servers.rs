//! The servers by the list: their names, numbers and addresses. A number is never given twice; who left long ago is forgotten
//! with the decisions.

use super::{Command, Core, LogRecord, RequestPayload};
use crate::discovery::{State, Target, Update};
use crate::observe::{CoreEvent, Observer};
use birchreach::*;
use birchreach_settings::DeploymentSettings;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A server by the list: its name there, and where it listens.
struct Listed {
    uid: String,
    address: Option<SocketAddr>,
    group: GroupId,
    primary: Option<bool>,
    up: bool,
    started_ms: Option<i64>,
    removed: bool,
}

impl Listed {
    fn seen(&self, server: ServerId) -> CoreEvent<'_> {
        match self.removed {
            true => CoreEvent::Unlisted { server, uid: &self.uid },
            false => CoreEvent::Listed {
                server,
                uid: &self.uid,
                group: self.group,
                primary: self.primary,
                up: self.up,
                started_ms: self.started_ms.and_then(|ms| u64::try_from(ms).ok()).unwrap_or(0),
            },
        }
    }
}

pub(super) struct Servers {
    zones: Vec<String>,
    roster: HashMap<String, ServerId>,
    listed: HashMap<ServerId, Listed>,
    /// Servers named so far.
    named: u32,
}

impl Servers {
    pub fn new(site: &DeploymentSettings) -> Servers {
        Servers { zones: site.zone_names.clone(), roster: HashMap::new(), listed: HashMap::new(), named: 0 }
    }

    pub fn zones(&mut self, site: &DeploymentSettings) {
        self.zones.clone_from(&site.zone_names);
    }

    /// Those that have not left.
    pub fn listed(&self) -> impl Iterator<Item = ServerId> {
        self.listed.iter().filter(|(_, s)| !s.removed).map(|(id, _)| *id)
    }

    /// The server's name in the list.
    pub fn name(&self, server: ServerId) -> &str {
        self.listed.get(&server).map_or("?", |s| &s.uid)
    }

    pub fn numbered(&self, uid: &str) -> Option<ServerId> {
        self.roster.get(uid).copied()
    }

    /// Its number, and whether that is new.
    fn number(&mut self, uid: &str) -> (ServerId, bool) {
        let next = ServerId(self.named);
        let server = *self.roster.entry(uid.into()).or_insert(next);
        self.named += u32::from(server == next);
        (server, server == next)
    }

    /// Takes a line of the list. True: the server must not be reached as before.
    fn take(&mut self, server: ServerId, t: Target) -> (Endpoint, bool) {
        let address = t.endpoint.parse().ok();
        let group = GroupId(t.group);
        let removed = t.state == State::Removed;
        let fresh = || Listed {
            uid: t.uid.clone(),
            address: None,
            group,
            primary: None,
            up: false,
            started_ms: None,
            removed: false,
        };
        let listed = self.listed.entry(server).or_insert_with(fresh);
        (listed.group, listed.primary, listed.up) = (group, t.primary(), t.state == State::Up);
        (listed.started_ms, listed.removed) = (t.started_ms(), removed);
        let moved = listed.address != address || removed;
        if moved {
            listed.address = address.or(listed.address);
        }
        let zone = self.zones.iter().position(|z| *z == t.zone);
        let member = Endpoint {
            server,
            group,
            zone: ZoneId(zone.and_then(|z| u16::try_from(z).ok()).unwrap_or(u16::MAX)),
            state: match t.state {
                State::Up => EndpointState::Ready,
                State::Draining => EndpointState::Draining,
                State::Removed => EndpointState::Removed,
            },
            started_at: t.started_ms().and_then(|ms| ms.checked_mul(1000)),
            weight: t.weight,
            primary: t.primary() == Some(true),
        };
        (member, moved)
    }
}

impl<W: RequestPayload> Core<W> {
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.listed.get(&server)?.address
    }

    /// The list names servers of this group; an unread list may name any.
    pub fn has_group(&self, group: GroupId) -> bool {
        let listed = &self.servers.listed;
        listed.is_empty() || listed.values().any(|s| s.group == group)
    }

    /// The server's name in the list, for the log.
    pub fn server_name(&self, server: ServerId) -> &str {
        self.servers.name(server)
    }

    /// News of the list. Returns the servers that must not be reached as before: they moved, or left.
    pub fn update_endpoints(&mut self, now: Micros, update: Update) -> Vec<ServerId> {
        let (mut moved, mut members) = (Vec::new(), Vec::new());
        if update.all {
            // Whom a whole list does not name has left.
            self.servers.listed.values_mut().for_each(|s| s.removed = true);
        }
        for t in update.targets {
            let (server, new) = self.servers.number(&t.uid);
            if new {
                let (uid, endpoint) = (t.uid.clone(), t.endpoint.clone());
                self.commands.push_back(Command::Log(LogRecord::ServerListed {
                    number: server.0,
                    uid,
                    endpoint,
                }));
            }
            let (member, elsewhere) = self.servers.take(server, t);
            moved.extend(elsewhere.then_some(server));
            members.push(member);
        }
        let listed = &self.servers.listed;
        for (id, s) in members.iter().filter_map(|m| Some((m.server, listed.get(&m.server)?))) {
            self.observers.notify(now, s.seen(id));
        }
        for (id, s) in listed.iter().filter(|(_, s)| s.removed) {
            self.observers.notify(now, s.seen(*id));
        }
        self.handle(now, Event::EndpointsChanged(EndpointList { complete: update.all, endpoints: members }));
        // Servers that left long ago are forgotten here when the module has forgotten them.
        let router = &self.router;
        self.servers.listed.retain(|id, _| router.is_known(*id));
        self.servers.roster.retain(|_, id| router.is_known(*id));
        moved
    }

    /// Somebody listens from now on, and is told first of what the list said so far.
    pub fn subscribe(&mut self, now: Micros, observer: Rc<RefCell<dyn Observer>>) {
        for (id, s) in self.servers.listed.iter().filter(|(_, s)| !s.removed) {
            observer.borrow_mut().on_event(now, s.seen(*id));
        }
        self.observers.add(observer);
    }

    /// And no more.
    pub fn unsubscribe(&mut self, observer: &Rc<RefCell<dyn Observer>>) {
        self.observers.remove(observer);
    }
}

#[cfg(test)]
mod tests;
