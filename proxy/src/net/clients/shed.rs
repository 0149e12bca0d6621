//! The limit on the number of clients, and which of them are closed to stay within it.

use super::super::event_loop_context::EventLoopContext;
use super::super::test_hooks::{self, StopPoint};
use super::Clients;
use super::client::ShedClass;
use super::close_reason::ClientCloseReason;
use crate::core::ClientKey;

/// How many clients that turn out to be active are skipped in the search for one to shed.
const MAX_SHED_ATTEMPTS: usize = 32;

/// Above this number of clients idle ones are shed, before the limit is reached.
pub(super) fn early_shed_threshold(max_clients: usize) -> usize {
    max_clients * 2 / 5
}

impl Clients {
    /// Sets the limit on clients. Those above it are shed, if they are idle.
    pub(crate) fn set_limit(&mut self, context: &mut EventLoopContext, max_clients: usize) {
        self.max_clients = max_clients;
        self.early_shed_threshold = early_shed_threshold(max_clients);
        for _ in self.max_clients..self.counted_clients() {
            self.shed(context, None, ShedClass::InGracePeriod);
        }
    }

    /// Sets how many clients without a request do not count towards the limit, where balancers may connect only to check the proxy.
    /// Descriptors are reserved for them.
    pub(crate) fn set_unclassified_allowance(&mut self, allowance: usize) {
        self.unclassified_allowance = allowance;
    }

    /// Connections to databases or to discovery need a descriptor: one client is shed.
    pub(crate) fn release_descriptor(&mut self, context: &mut EventLoopContext) {
        self.shed(context, None, ShedClass::InGracePeriod);
    }

    /// How many clients count towards the limit.
    pub(super) fn counted_clients(&self) -> usize {
        self.connections.len() - self.unclassified_count.min(self.unclassified_allowance)
    }

    /// A new client counts towards the limit: another one is shed if necessary. This follows the accept, which alone tells that a
    /// client has arrived.
    pub(super) fn shed_for(&mut self, context: &mut EventLoopContext, new_client: Option<ClientKey>) {
        if self.counted_clients() > self.max_clients || self.reserve_descriptor.is_none() {
            self.shed(context, new_client, ShedClass::InGracePeriod);
        } else if self.counted_clients() > self.early_shed_threshold {
            self.shed(context, new_client, ShedClass::Idle);
        }
    }

    /// Closes the client with the first rank, but not the new client, nor one of a later class.
    pub(super) fn shed(
        &mut self,
        context: &mut EventLoopContext,
        new_client: Option<ClientKey>,
        last_class: ShedClass,
    ) {
        for _ in 0..MAX_SHED_ATTEMPTS {
            let clients = self.connections.iter().map(|(key, client)| (ClientKey(key), client));
            let candidates = clients.filter(|(key, client)| Some(*key) != new_client && client.can_be_shed());
            let ranks = candidates.map(|(key, client)| (client.shed_rank(context.now), key));
            let first = ranks.filter(|(rank, _)| rank.class <= last_class).min();
            let Some((rank, key)) = first else { return };
            test_hooks::stop_process_at(StopPoint::Shed);
            // What has arrived meanwhile is read first: a request must not cross with the close.
            self.handle_ready(context, key);
            let Some(client) = self.connections.get(key.0) else { return };
            if client.can_be_shed() && client.shed_rank(context.now) == rank {
                return self.close(context, key, ClientCloseReason::Shed);
            }
        }
    }
}
