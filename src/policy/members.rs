//! Membership: who may be sent work at all, and who has left.

use super::*;

/// A server that left is forgotten after this time: its process may only have been started again.
const FORGET: Micros = 20_000_000;

impl Router {
    pub(super) fn members(&mut self, list: EndpointList) {
        let named: BTreeSet<ServerId> = list.endpoints.iter().map(|m| m.server).collect();
        let unnamed = |s: &&mut Server| list.complete && !named.contains(&s.line.server);
        let soft = self.set.removal_is_advisory;
        for s in self.servers.values_mut().filter(unnamed) {
            (s.open, s.line.state) = (s.open && soft, EndpointState::Removed);
        }
        for m in list.endpoints {
            // An absurd weight counts as 1: better even than starved or flooded.
            let weight = if m.weight.is_finite() && m.weight > 0.0 { m.weight } else { 1.0 };
            let allowed = (self.rng.f64(), self.now);
            let fresh = Server { cap: FIRST_CAP, trial_wait: FIRST_TRIAL, allowed, ..Server::default() };
            let server = self.servers.entry(m.server).or_insert(Server { line: m.clone(), ..fresh });
            if server.line.started_at != m.started_at && m.started_at.is_some() {
                // A new process: cold, and what was known of the old one but its log position is void.
                (server.primary_at, server.allowed) = (None, allowed);
                (server.failing, server.suspect, server.mute) = (0.0, false, false);
                (server.cap, server.strain, server.eased_at, server.rest) = (FIRST_CAP / 2.0, 0.0, None, 0);
            }
            self.groups.entry(server.line.group).or_default().members.remove(&m.server);
            self.groups.entry(m.group).or_default().members.insert(m.server);
            server.open =
                m.state == EndpointState::Ready || (m.state == EndpointState::Removed && soft && server.open);
            server.line = Endpoint { weight, started_at: m.started_at.or(server.line.started_at), ..m };
        }
        self.forget();
        self.ready_count = self.servers.values().filter(|s| s.open).count().max(1);
    }

    /// Servers that left for good: nothing is out at them any more, and nobody takes them for alive.
    fn forget(&mut self) {
        let flying: BTreeSet<ServerId> = self.flying.values().map(|f| f.server).collect();
        self.servers.retain(|id, s| {
            s.gone_at = s.gone_at.or(Some(self.now)).filter(|_| s.line.state == EndpointState::Removed);
            let long_gone = s.gone_at.is_some_and(|at| self.now - at >= FORGET);
            !long_gone || (s.open && !s.mute) || flying.contains(id)
        });
        for g in self.groups.values_mut() {
            g.members.retain(|id| self.servers.contains_key(id));
        }
        self.groups.retain(|_, g| !g.members.is_empty() || !g.held.is_empty());
    }

    /// Does the module still know of this server?
    pub fn is_known(&self, id: ServerId) -> bool {
        self.servers.contains_key(&id)
    }

    /// Nothing new goes to it now: it drains or is gone, or is suspect (to writes: mute) and no trial is due.
    pub fn is_avoided(&self, now: Micros, id: ServerId) -> bool {
        let Some(s) = self.ready(id) else { return true };
        let writes = !s.mute && self.primary(s.line.group) == Some(id);
        s.suspect && s.trial_at > Some(now) && !writes
    }

    pub(super) fn ready(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id).filter(|s| s.open)
    }
}
