//! Endpoint list: which servers exist, and which of them may be sent new work.

use super::Router;
use super::servers::Server;
use super::slow_start::SlowStart;
use crate::interface::{Endpoint, EndpointDiscovery, EndpointList, EndpointState, Micros, ServerId};
use std::collections::BTreeSet;

/// A removed server is forgotten after this time: its process may only have been restarted.
const REMOVED_SERVER_RETENTION: Micros = 20_000_000;
/// Mean delay, with the minimum of a quarter, before the endpoint list is polled again after a failure.
const ENDPOINT_POLL_BACKOFF: Micros = 2_000_000;

/// What the endpoint list says of a server.
pub(super) struct EndpointStatus {
    listed: Endpoint,
    accepts_work: bool,
    /// Since when the list has it as removed.
    removed_at: Option<Micros>,
}

impl EndpointStatus {
    fn new(listed: Endpoint) -> Self {
        EndpointStatus { listed, accepts_work: false, removed_at: None }
    }

    /// The entry of the list, with a usable weight.
    pub(super) fn listed(&self) -> &Endpoint {
        &self.listed
    }

    /// Whether the entry has another start time than the one before.
    fn shows_new_process(&self, endpoint: &Endpoint) -> bool {
        endpoint.started_at.is_some() && self.listed.started_at != endpoint.started_at
    }

    fn update(&mut self, endpoint: Endpoint, removal_is_advisory: bool) {
        self.accepts_work = match endpoint.state {
            EndpointState::Ready => true,
            EndpointState::Draining => false,
            EndpointState::Removed => removal_is_advisory && self.accepts_work,
        };
        let started_at = endpoint.started_at.or(self.listed.started_at);
        let weight = usable_weight(endpoint.weight);
        self.listed = Endpoint { started_at, weight, ..endpoint };
    }

    fn mark_removed(&mut self, removal_is_advisory: bool) {
        self.accepts_work &= removal_is_advisory;
        self.listed.state = EndpointState::Removed;
    }

    /// Notes since when it has been listed as removed.
    fn track_removal(&mut self, now: Micros) {
        let is_removed = self.listed.state == EndpointState::Removed;
        self.removed_at = self.removed_at.or(Some(now)).filter(|_| is_removed);
    }

    fn is_removal_expired(&self, now: Micros) -> bool {
        self.removed_at.is_some_and(|at| now - at >= REMOVED_SERVER_RETENTION)
    }
}

/// An invalid weight counts as 1, so that the server is neither starved nor overloaded.
fn usable_weight(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 { weight } else { 1.0 }
}

impl Router {
    /// Applies a complete endpoint list, or changes of it.
    pub(super) fn apply_endpoint_list(&mut self, list: EndpointList) {
        if list.complete {
            self.mark_unlisted_removed(&list.endpoints);
        }
        for endpoint in list.endpoints {
            self.apply_endpoint(endpoint);
        }
        self.evict_removed_servers();
        let ready_count = self.servers.values().filter(|server| server.endpoint.accepts_work).count();
        self.ready_count = ready_count.max(1);
    }

    /// A complete list removes the servers that it does not name.
    fn mark_unlisted_removed(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        let unlisted = self.servers.iter_mut().filter(|(id, _)| !listed.contains(id));
        for (_, server) in unlisted {
            server.endpoint.mark_removed(self.settings.removal_is_advisory);
        }
    }

    /// Applies an entry of the list. A new start time shows that a new process runs there.
    fn apply_endpoint(&mut self, endpoint: Endpoint) {
        let id = endpoint.server;
        let slow_start = SlowStart::new(self.rng.f64(), self.now);
        let new_server = || Server::new(EndpointStatus::new(endpoint.clone()), slow_start);
        let server = self.servers.entry(id).or_insert_with(new_server);
        if server.endpoint.shows_new_process(&endpoint) {
            server.reset_for_new_process(slow_start);
        }
        let previous_group = server.endpoint.listed.group;
        self.groups.entry(previous_group).or_default().members.remove(&id);
        self.groups.entry(endpoint.group).or_default().members.insert(id);
        server.endpoint.update(endpoint, self.settings.removal_is_advisory);
    }

    /// Forgets servers that have long been removed, unless an attempt is in flight there or, where removal is
    /// advisory, they still respond.
    fn evict_removed_servers(&mut self) {
        let with_attempts: BTreeSet<ServerId> =
            self.in_flight.values().map(|attempt| attempt.server).collect();
        self.servers.retain(|id, server| {
            server.endpoint.track_removal(self.now);
            let is_in_use = server.endpoint.accepts_work && !server.outlier.is_unresponsive();
            !server.endpoint.is_removal_expired(self.now) || is_in_use || with_attempts.contains(id)
        });
        for group in self.groups.values_mut() {
            group.members.retain(|id| self.servers.contains_key(id));
        }
        self.groups.retain(|_, group| !group.is_unused());
    }

    /// Polls the endpoint list again after a random delay, so that proxies whose polls failed together spread
    /// out.
    pub(super) fn on_endpoint_poll_failed(&mut self) {
        let delay = ENDPOINT_POLL_BACKOFF / 4 + self.rng.i64(0..ENDPOINT_POLL_BACKOFF);
        let is_polled = self.settings.endpoint_discovery == EndpointDiscovery::Polled;
        self.next_endpoint_poll_at = is_polled.then_some(self.now + delay);
    }

    /// Whether the router still keeps state of this server.
    pub fn is_known(&self, id: ServerId) -> bool {
        self.servers.contains_key(&id)
    }

    /// Whether nothing new is sent to this server: it is draining or removed, or it is ejected (for writes:
    /// unresponsive) and not due for a retry.
    pub fn is_avoided(&self, now: Micros, id: ServerId) -> bool {
        let Some(server) = self.accepting_server(id) else { return true };
        let takes_writes =
            !server.outlier.is_unresponsive() && self.primary(server.endpoint.listed.group) == Some(id);
        server.outlier.is_ejected_at(now) && !takes_writes
    }

    /// The server, if the endpoint list allows to send it new work.
    pub(super) fn accepting_server(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id).filter(|server| server.endpoint.accepts_work)
    }
}
