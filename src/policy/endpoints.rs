//! Endpoint list: tracks which servers exist and which of them may be sent new work.

use super::Router;
use super::servers::Server;
use super::slow_start::SlowStart;
use crate::interface::{Endpoint, EndpointDiscovery, EndpointList, EndpointState, Micros, ServerId};
use std::collections::BTreeSet;

/// Time after which the state of a removed server is discarded. Until then, the server may be listed again,
/// since its process may only have been restarted.
const REMOVED_SERVER_RETENTION: Micros = 20_000_000;
/// Scale of the random delay before the endpoint list is polled again after a failure. The delay is uniform
/// between 0.25 and 1.25 times this value.
const ENDPOINT_POLL_BACKOFF: Micros = 2_000_000;

/// State of a server according to the endpoint list.
pub(super) struct EndpointStatus {
    listed: Endpoint,
    accepts_work: bool,
    /// Time since which the server is listed as removed; `None` if it is not.
    removed_at: Option<Micros>,
}

impl EndpointStatus {
    fn new(listed: Endpoint) -> Self {
        EndpointStatus { listed, accepts_work: false, removed_at: None }
    }

    /// The latest entry of the list, with a valid weight.
    pub(super) fn listed(&self) -> &Endpoint {
        &self.listed
    }

    /// Whether a new entry has a different start time, which shows that a new process is running.
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
        let weight = valid_weight(endpoint.weight);
        self.listed = Endpoint { started_at, weight, ..endpoint };
    }

    fn mark_removed(&mut self, removal_is_advisory: bool) {
        self.accepts_work &= removal_is_advisory;
        self.listed.state = EndpointState::Removed;
    }

    /// Updates the time since which the server is listed as removed.
    fn update_removed_at(&mut self, now: Micros) {
        let is_removed = self.listed.state == EndpointState::Removed;
        self.removed_at = self.removed_at.or(Some(now)).filter(|_| is_removed);
    }

    /// Whether the server may be sent new work.
    pub(super) fn accepts_work(&self) -> bool {
        self.accepts_work
    }
}

/// Replaces an invalid weight by 1, so that the server is neither starved nor overloaded.
fn valid_weight(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 { weight } else { 1.0 }
}

impl Router {
    /// Applies a complete endpoint list or the entries that changed.
    ///
    /// Visits each entry, each known server if the list is complete, and each removed server whose retention
    /// has expired. Each visit costs O(log servers).
    pub(super) fn apply_endpoint_list(&mut self, list: EndpointList) {
        let mut changed: Vec<ServerId> = list.endpoints.iter().map(|endpoint| endpoint.server).collect();
        if list.complete {
            changed.extend(self.mark_unlisted_removed(&list.endpoints));
        }
        for endpoint in list.endpoints {
            self.apply_endpoint(endpoint);
        }
        for id in changed {
            self.track_removal(id);
        }
        self.evict_removed_servers();
        self.groups.remove_unused();
    }

    /// Marks the servers as removed that a complete list does not name, and returns them.
    fn mark_unlisted_removed(&mut self, endpoints: &[Endpoint]) -> Vec<ServerId> {
        let listed: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        let unlisted: Vec<ServerId> = self.servers.ids().filter(|id| !listed.contains(id)).collect();
        let removal_is_advisory = self.settings.removal_is_advisory;
        for id in &unlisted {
            self.update_endpoint_status(*id, |status| status.mark_removed(removal_is_advisory));
        }
        unlisted
    }

    /// Applies an entry of the list. Resets the state of the server if the entry shows a new process.
    fn apply_endpoint(&mut self, endpoint: Endpoint) {
        let id = endpoint.server;
        let slow_start = SlowStart::new(self.rng.f64(), self.now);
        let new_server = || Server::new(EndpointStatus::new(endpoint.clone()), slow_start);
        let server = self.servers.get_or_insert_with(id, new_server);
        if server.endpoint.shows_new_process(&endpoint) {
            server.reset_for_new_process(slow_start, self.now);
        }
        let previous_group = server.endpoint.listed.group;
        if previous_group != endpoint.group {
            self.groups.remove_member(previous_group, id);
        }
        self.groups.add_member(endpoint.group, id);
        let removal_is_advisory = self.settings.removal_is_advisory;
        self.update_endpoint_status(id, |status| status.update(endpoint, removal_is_advisory));
    }

    /// Changes the endpoint status of a server and updates the number of servers that accept work.
    fn update_endpoint_status(&mut self, id: ServerId, change: impl FnOnce(&mut EndpointStatus)) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        self.accepting_server_count -= usize::from(server.endpoint.accepts_work);
        change(&mut server.endpoint);
        self.accepting_server_count += usize::from(server.endpoint.accepts_work);
    }

    /// Updates the index of removed servers for one server.
    fn track_removal(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(removed_at) = server.endpoint.removed_at {
            self.removals.remove(&(removed_at, id));
        }
        server.endpoint.update_removed_at(self.now);
        if let Some(removed_at) = server.endpoint.removed_at {
            self.removals.insert((removed_at, id));
        }
    }

    /// Discards removed servers whose retention has expired. Keeps a server that has an unfinished attempt
    /// or, if removal is advisory, still responds.
    fn evict_removed_servers(&mut self) {
        let expired = self.removals.iter().take_while(|(at, _)| self.now - at >= REMOVED_SERVER_RETENTION);
        let is_evicted = |id: &ServerId| self.servers.get(id).is_none_or(Server::is_unused);
        let evicted: Vec<(Micros, ServerId)> = expired.filter(|(_, id)| is_evicted(id)).copied().collect();
        for removal in evicted {
            self.removals.remove(&removal);
            self.discard_server(removal.1);
        }
    }

    fn discard_server(&mut self, id: ServerId) {
        let Some(server) = self.servers.remove(&id) else { return };
        self.accepting_server_count -= usize::from(server.endpoint.accepts_work);
        self.groups.remove_member(server.endpoint.listed.group, id);
    }

    /// Number of servers that accept work, or 1 if there are none. Serves as the divisor of averages per
    /// server.
    pub(super) fn accepting_server_count_or_one(&self) -> usize {
        self.accepting_server_count.max(1)
    }

    /// Schedules another poll of the endpoint list. The random delay spreads the polls of proxies that failed
    /// at the same time.
    pub(super) fn on_endpoint_poll_failed(&mut self) {
        let delay = ENDPOINT_POLL_BACKOFF / 4 + self.rng.i64(0..ENDPOINT_POLL_BACKOFF);
        let is_polled = self.settings.endpoint_discovery == EndpointDiscovery::Polled;
        self.next_endpoint_poll_at = is_polled.then_some(self.now + delay);
    }

    /// Whether the router holds state for this server. This is still the case for a while after its removal.
    pub fn is_known(&self, id: ServerId) -> bool {
        self.servers.contains(&id)
    }

    /// Whether the server may be sent new work according to the endpoint list.
    pub fn accepts_work(&self, id: ServerId) -> bool {
        self.accepting_server(id).is_some()
    }

    /// Whether the server is sent no new requests at this time. This is the case if it accepts no work, for
    /// instance because it is draining, or if it is ejected and not due for a retry. An ejected primary still
    /// receives writes while it is responsive.
    pub fn is_out_of_rotation(&self, now: Micros, id: ServerId) -> bool {
        let Some(server) = self.accepting_server(id) else { return true };
        let takes_writes =
            !server.outlier.is_unresponsive() && self.primary(server.endpoint.listed.group) == Some(id);
        server.outlier.is_ejected_at(now) && !takes_writes
    }

    /// Returns the server if it may be sent new work according to the endpoint list.
    pub(super) fn accepting_server(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id).filter(|server| server.endpoint.accepts_work)
    }
}
