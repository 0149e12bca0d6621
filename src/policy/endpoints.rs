//! Membership: who may be sent work at all, and who has left.

use super::*;

/// A server that left is forgotten after this time: its process may only have been started again.
const REMOVED_SERVER_RETENTION: Micros = 20_000_000;

impl Router {
    pub(super) fn apply_endpoint_list(&mut self, list: EndpointList) {
        let named: BTreeSet<ServerId> = list.endpoints.iter().map(|m| m.server).collect();
        let unnamed = |s: &&mut Server| list.complete && !named.contains(&s.endpoint.server);
        let soft = self.settings.removal_is_advisory;
        for s in self.servers.values_mut().filter(unnamed) {
            (s.accepts_work, s.endpoint.state) = (s.accepts_work && soft, EndpointState::Removed);
        }
        for m in list.endpoints {
            // An absurd weight counts as 1: better even than starved or flooded.
            let weight = if m.weight.is_finite() && m.weight > 0.0 { m.weight } else { 1.0 };
            let allowed = (self.rng.f64(), self.now);
            let fresh = Server {
                concurrency_limit: INITIAL_CONCURRENCY_LIMIT,
                ejection_backoff: INITIAL_EJECTION_BACKOFF,
                slow_start_tokens: allowed,
                ..Server::default()
            };
            let server = self.servers.entry(m.server).or_insert(Server { endpoint: m.clone(), ..fresh });
            if server.endpoint.started_at != m.started_at && m.started_at.is_some() {
                // A new process: cold, and what was known of the old one but its log position is void.
                (server.primary_confirmed_at, server.slow_start_tokens) = (None, allowed);
                (server.failure_rate, server.ejected, server.unresponsive) = (0.0, false, false);
                (server.concurrency_limit, server.latency_ratio, server.limit_reduced_at, server.resume_at) =
                    (INITIAL_CONCURRENCY_LIMIT / 2.0, 0.0, None, 0);
            }
            self.groups.entry(server.endpoint.group).or_default().members.remove(&m.server);
            self.groups.entry(m.group).or_default().members.insert(m.server);
            server.accepts_work = m.state == EndpointState::Ready
                || (m.state == EndpointState::Removed && soft && server.accepts_work);
            server.endpoint =
                Endpoint { weight, started_at: m.started_at.or(server.endpoint.started_at), ..m };
        }
        self.evict_removed_servers();
        self.ready_count = self.servers.values().filter(|s| s.accepts_work).count().max(1);
    }

    /// Servers that left for good: nothing is out at them any more, and nobody takes them for alive.
    fn evict_removed_servers(&mut self) {
        let flying: BTreeSet<ServerId> = self.in_flight.values().map(|f| f.server).collect();
        self.servers.retain(|id, s| {
            s.removed_at =
                s.removed_at.or(Some(self.now)).filter(|_| s.endpoint.state == EndpointState::Removed);
            let long_gone = s.removed_at.is_some_and(|at| self.now - at >= REMOVED_SERVER_RETENTION);
            !long_gone || (s.accepts_work && !s.unresponsive) || flying.contains(id)
        });
        for g in self.groups.values_mut() {
            g.members.retain(|id| self.servers.contains_key(id));
        }
        self.groups.retain(|_, g| !g.members.is_empty() || !g.queued.is_empty());
    }

    /// Does the module still know of this server?
    pub fn is_known(&self, id: ServerId) -> bool {
        self.servers.contains_key(&id)
    }

    /// Nothing new goes to it now: it drains or is gone, or is suspect (to writes: mute) and no trial is due.
    pub fn is_avoided(&self, now: Micros, id: ServerId) -> bool {
        let Some(s) = self.accepting_server(id) else { return true };
        let writes = !s.unresponsive && self.primary(s.endpoint.group) == Some(id);
        s.ejected && s.half_open_at > Some(now) && !writes
    }

    pub(super) fn accepting_server(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id).filter(|s| s.accepts_work)
    }
}
