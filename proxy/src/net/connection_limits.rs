//! Divides the file descriptors of the process among its own needs, clients, databases and health checks. Two processes
//! of one proxy share the descriptors during a handover.

use super::process_handover::ProcessHandover;
use super::{EventLoop, admin, gossip};
use crate::config::Config;
use crate::memory::ConnectionCounts;

/// Descriptors reserved for the standard streams, the poll, signals, listeners, discovery, the handover and operators.
const BASE_DESCRIPTORS: usize = 16 + admin::MAX_CONNECTIONS;
/// The minimum number of connections to clients and databases together. It may exceed the unreserved descriptors,
/// because the reserved ones are seldom all in use.
const MIN_CONNECTIONS: usize = 8;
/// Up to this number, connections to the client listener that have not sent a request do not count as clients, because
/// balancers open such connections.
const MAX_UNCOUNTED_CLIENTS: usize = 16;

/// The maximum number of connections that a process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionLimits {
    /// Connections that count as clients. Further connections without a request are allowed, see
    /// [`max_uncounted_clients`].
    pub(super) clients: usize,
    /// Connections in the pool, idle ones included.
    pub(super) databases: usize,
}

impl ConnectionLimits {
    /// Divides the descriptors that are not reserved. If another process of this proxy is running, it gets half of
    /// them. A predecessor that is shutting down gets only those that it still has open.
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

impl ConnectionLimits {
    /// Returns the connections for which memory is reserved.
    pub(super) fn counts(self) -> ConnectionCounts {
        ConnectionCounts { clients: self.clients, databases: self.databases }
    }
}

/// Returns the number of descriptors reserved for health checks, for balancers at the client listener, and for links to
/// other proxies.
fn subsystem_descriptors(config: &Config) -> usize {
    let options = &config.options;
    let links =
        if options.peer_state.is_some() || options.fleet.is_some() { gossip::MAX_LINKS + 1 } else { 0 };
    // The fleet uses a listener for links and a socket for datagrams.
    let fleet = if options.fleet.is_some() { 2 } else { 0 };
    options.descriptors() + max_uncounted_clients(config) + links + fleet
}

/// Returns how many clients that have made no request yet do not count towards the limit.
pub(super) fn max_uncounted_clients(config: &Config) -> usize {
    if config.options.health.is_some() { MAX_UNCOUNTED_CLIENTS } else { 0 }
}

impl EventLoop {
    /// Recalculates the connection limits after another process of this proxy started or exited.
    pub(super) fn apply_process_count(&mut self) {
        let limits = self.connection_limits();
        self.context.core.set_process_count(self.context.now, self.handover.process_count());
        let process_count = self.handover.process_count() as usize;
        self.context.memory.configure(self.config.memory_limit, process_count, limits.counts());
        self.discovery.set_memory_limit(self.config.memory_limit / process_count);
        self.pool.set_limit(&mut self.context, limits.databases);
        self.clients.set_max_uncounted_clients(max_uncounted_clients(&self.config));
        self.clients.set_limit(&mut self.context, limits.clients);
        if !self.stopping {
            self.clients.set_handing_over(self.handover.is_replaced());
        }
    }

    /// Returns the limits for the current configuration and number of processes.
    pub(super) fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits::new(&self.config, &self.handover)
    }
}
