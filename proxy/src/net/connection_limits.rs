//! How descriptors are shared out: among the process's own, clients, databases and checks, and between two processes of one
//! proxy.

use super::process_handover::ProcessHandover;
use super::{EventLoop, admin, gossip};
use crate::config::Config;
use birchreach::Micros;
use birchreach_settings::DeploymentSettings;

/// Descriptors kept for the rest: standard streams, poll, signals, listeners, discovery, operators.
const OWN_SOCKETS: usize = 16 + admin::MOST;
/// Fewer would serve nobody; the own ones are seldom all in use.
const LEAST_PLACES: usize = 8;
/// Balancers that look in at the clients' listener, and ask nothing, hold no place of a client's: so many.
const GUESTS: usize = 16;

/// How many descriptors clients and databases of this process may hold: all but its own; half of that while
/// another process is there; and while that one is leaving, all but what it still holds.
pub(super) fn places(sockets: usize, checks: usize, twin: &ProcessHandover) -> (usize, usize) {
    let processes = twin.process_count() as usize;
    let free = sockets.saturating_sub((OWN_SOCKETS + checks) * processes);
    let free = twin
        .predecessor_descriptors()
        .map_or(free / processes, |held| free.saturating_sub(held))
        .max(LEAST_PLACES);
    (free - free / 2, free / 2)
}

/// Descriptors kept for balancers: their checks, and those that look in at the clients' listener.
pub(super) fn reserve(config: &Config) -> usize {
    let (knowledge, fleet) = (config.options.knowledge.is_some(), config.options.fleet.is_some());
    let links = if knowledge || fleet { gossip::MAX_LINKS + 1 } else { 0 };
    // The fleet has a listener for links and one for datagrams.
    config.options.descriptors() + guests(config) + links + 2 * usize::from(fleet)
}

pub(super) fn guests(config: &Config) -> usize {
    if config.options.health.is_some() { GUESTS } else { 0 }
}

pub(super) fn longest_deadline(site: &DeploymentSettings) -> Micros {
    site.routing.classes.iter().map(|c| c.client_timeout).max().unwrap_or(0)
}

impl EventLoop {
    /// What this process may do beside others.
    pub(super) fn apply_process_count(&mut self) {
        let (for_clients, for_databases) = self.connection_limits();
        let replaced = self.handover.is_replaced();
        self.context.core.set_process_count(self.context.now, self.handover.process_count());
        self.pool.set_limit(&mut self.context, for_databases);
        self.clients.set_unclassified_allowance(guests(&self.config));
        self.clients.set_limit(&mut self.context, for_clients);
        if !self.stopping {
            self.clients.set_handing_over(replaced);
        }
    }

    pub(super) fn connection_limits(&self) -> (usize, usize) {
        let reserve = reserve(&self.config);
        places(self.config.sockets, reserve, &self.handover)
    }
}
