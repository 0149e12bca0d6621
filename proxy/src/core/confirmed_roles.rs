//! Roles that servers confirm to this process and to other processes of this proxy. The endpoint list may name a former primary for a
//! long time, and a process that does not know better takes its data for current.

use super::{Command, Core, RequestPayload};
use birchreach::{Micros, Role, ServerId};

/// The most servers whose roles are kept before they are listed.
const MAX_UNLISTED_ROLES: usize = 4_096;

impl<P: RequestPayload> Core<P> {
    /// Returns the role that a server has confirmed, if other processes of this proxy have to know it when it changes.
    pub(super) fn role_to_share(&self, server: ServerId) -> Option<Role> {
        let is_shared = self.classes.process_count() > 1;
        is_shared.then(|| self.router.confirmed_role(server).map(|(role, _)| role)).flatten()
    }

    /// Commands the event loop to report a server's role to the other processes of this proxy, if it differs from the previous one.
    pub(super) fn share_changed_role(&mut self, server: ServerId, previous: Option<Role>) {
        let role = self.role_to_share(server);
        if role.is_some() && role != previous {
            self.commands.push_back(Command::ShareRole { server });
        }
    }

    /// Returns the uid of a server, the role that it has confirmed, and when. `None` if there is no such role.
    pub(crate) fn confirmed_role(&self, server: ServerId) -> Option<(&str, Role, Micros)> {
        let (role, confirmed_at) = self.router.confirmed_role(server)?;
        Some((self.servers.name(server), role, confirmed_at))
    }

    /// Returns the servers that have confirmed another role than the endpoint list gives them. Costs O(servers).
    pub(crate) fn servers_with_other_role(&self) -> Vec<ServerId> {
        let listed_role = |is_primary| if is_primary { Role::Primary } else { Role::Replica };
        let differs = |server: &ServerId| {
            let listed = self.servers.listed.get(server).and_then(|listed| listed.primary);
            let confirmed = self.router.confirmed_role(*server).map(|(role, _)| role);
            confirmed.is_some() && confirmed != listed.map(listed_role)
        };
        self.servers.listed_servers().filter(differs).collect()
    }

    /// Records a role that a server has confirmed to another process of this proxy. The role of a server that is not listed yet is
    /// kept until it is.
    pub(crate) fn record_remote_role(&mut self, now: Micros, uid: String, role: Role, confirmed_at: Micros) {
        match self.servers.find_by_uid(&uid) {
            Some(server) => self.router.record_remote_role(now, server, role, confirmed_at),
            None if self.unlisted_roles.len() < MAX_UNLISTED_ROLES => {
                self.unlisted_roles.insert(uid, (role, confirmed_at));
            }
            None => {}
        }
    }

    /// Records the roles of servers that have been listed since another process reported the roles.
    pub(super) fn record_roles_of_listed_servers(&mut self, now: Micros) {
        if self.unlisted_roles.is_empty() {
            return;
        }
        for (uid, (role, confirmed_at)) in std::mem::take(&mut self.unlisted_roles) {
            self.record_remote_role(now, uid, role, confirmed_at);
        }
    }
}
