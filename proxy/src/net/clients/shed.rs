//! Enforces the limit on the number of clients by closing connections without an open request.

use super::super::event_loop_context::EventLoopContext;
use super::super::test_hooks::{self, StopPoint};
use super::client::ShedClass;
use super::close_reason::ClientCloseReason;
use super::{Clients, open_reserve_descriptor};
use crate::core::ClientKey;

/// The most candidates examined to shed one client. A candidate is skipped if it turns out to be active.
const MAX_SHED_ATTEMPTS: usize = 32;

/// Returns the number of clients above which idle ones are shed before the limit is reached.
pub(super) fn early_shed_threshold(max_clients: usize) -> usize {
    max_clients * 2 / 5
}

impl Clients {
    /// Sets the limit on the number of clients. Clients above the limit are shed if they have no open request.
    pub(crate) fn set_limit(&mut self, context: &mut EventLoopContext, max_clients: usize) {
        self.max_clients = max_clients;
        self.early_shed_threshold = early_shed_threshold(max_clients);
        for _ in self.max_clients..self.counted_clients() {
            self.shed(context, None, ShedClass::Active);
        }
    }

    /// Sets how many clients without a request are left out of the limit. They may be balancers that only check whether the proxy
    /// accepts connections. Descriptors are reserved for them.
    pub(crate) fn set_max_uncounted_clients(&mut self, max_uncounted_clients: usize) {
        self.max_uncounted_clients = max_uncounted_clients;
    }

    /// Sheds one client to free a descriptor, unless the system has one again.
    pub(crate) fn shed_to_free_descriptor(&mut self, context: &mut EventLoopContext) {
        if open_reserve_descriptor().is_some() {
            return;
        }
        self.shed(context, None, ShedClass::Active);
    }

    /// Returns the number of clients that count towards the limit.
    pub(super) fn counted_clients(&self) -> usize {
        self.connections.len() - self.clients_without_request.min(self.max_uncounted_clients)
    }

    /// Sheds another client if a new one exceeds the limit or the early-shed threshold, or took the last descriptor. Runs after
    /// the accept, because only the accept shows that a client has arrived. `new_client` is `None` if it could not be registered.
    pub(super) fn shed_if_over_limit(
        &mut self,
        context: &mut EventLoopContext,
        new_client: Option<ClientKey>,
    ) {
        if self.counted_clients() > self.max_clients || self.reserve_descriptor.is_none() {
            self.shed(context, new_client, ShedClass::Active);
        } else if self.counted_clients() > self.early_shed_threshold {
            self.shed(context, new_client, ShedClass::Idle);
        }
    }

    /// Closes the client with the lowest rank. Never closes `new_client`, nor a client of a class after `last_class`.
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
            let lowest = ranks.filter(|(rank, _)| rank.class <= last_class).min();
            let Some((rank, key)) = lowest else { return };
            test_hooks::stop_process_at(StopPoint::Shed);
            // Input may have arrived in the meantime. It is read first, so that the close does not race with a request.
            self.handle_ready(context, key);
            let Some(client) = self.connections.get_mut(key.0) else { return };
            if client.has_undelivered_output() {
                // It still fetches its last answer, which a reset would cut off.
                client.last_active_at = context.now;
            } else if client.can_be_shed() && client.shed_rank(context.now) == rank {
                return match rank.class {
                    ShedClass::Stalled => self.reject(context, key, ClientCloseReason::Shed),
                    _ => self.close(context, key, ClientCloseReason::Shed),
                };
            }
        }
    }
}
