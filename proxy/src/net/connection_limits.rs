//! How descriptors are divided among the process's own needs, clients, databases and checks, and between two processes of one
//! proxy.

use super::process_handover::ProcessHandover;
use super::{EventLoop, admin, gossip};
use crate::config::Config;

/// Descriptors reserved for standard streams, poll, signals, listeners, discovery, the handover and operators.
const BASE_DESCRIPTORS: usize = 16 + admin::MAX_CONNECTIONS;
/// The lowest limit: the reserved descriptors are seldom all in use.
const MIN_CONNECTIONS: usize = 8;
/// Balancers that connect to the clients' listener without sending a request count as no clients, up to this number.
const UNCLASSIFIED_CONNECTIONS: usize = 16;

/// How many connections a process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionLimits {
    /// To clients.
    pub(super) clients: usize,
    /// To databases.
    pub(super) databases: usize,
}

impl ConnectionLimits {
    /// Divides all but the reserved descriptors. Another process gets half of them; while it shuts down, only those that it still
    /// has open.
    pub(super) fn new(config: &Config, handover: &ProcessHandover) -> ConnectionLimits {
        let processes = handover.process_count() as usize;
        let reserved = (BASE_DESCRIPTORS + subsystem_descriptors(config)) * processes;
        let available = config.max_descriptors.saturating_sub(reserved);
        let available = match handover.predecessor_descriptors() {
            Some(held) => available.saturating_sub(held),
            None => available / processes,
        };
        let available = available.max(MIN_CONNECTIONS);
        ConnectionLimits { clients: available - available / 2, databases: available / 2 }
    }
}

/// Descriptors reserved for balancers' checks, for balancers at the clients' listener, and for other proxies.
fn subsystem_descriptors(config: &Config) -> usize {
    let options = &config.options;
    let links =
        if options.peer_state.is_some() || options.fleet.is_some() { gossip::MAX_LINKS + 1 } else { 0 };
    // The fleet has a listener for links and a socket for datagrams.
    let fleet = if options.fleet.is_some() { 2 } else { 0 };
    options.descriptors() + unclassified_allowance(config) + links + fleet
}

/// How many connections without a request do not count as clients.
pub(super) fn unclassified_allowance(config: &Config) -> usize {
    if config.options.health.is_some() { UNCLASSIFIED_CONNECTIONS } else { 0 }
}

impl EventLoop {
    /// Recalculates the limits after another process of this proxy started or ended.
    pub(super) fn apply_process_count(&mut self) {
        let limits = self.connection_limits();
        self.context.core.set_process_count(self.context.now, self.handover.process_count());
        self.pool.set_limit(&mut self.context, limits.databases);
        self.clients.set_unclassified_allowance(unclassified_allowance(&self.config));
        self.clients.set_limit(&mut self.context, limits.clients);
        if !self.stopping {
            self.clients.set_handing_over(self.handover.is_replaced());
        }
    }

    /// The limits of the current configuration.
    pub(super) fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits::new(&self.config, &self.handover)
    }
}
