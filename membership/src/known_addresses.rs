//! Addresses from the configuration and of former members.
//!
//! Addresses outside the view are retried one after another, so that two partitions of a fleet merge again after
//! each has removed the members of the other.

use crate::{MAX_MEMBERS, Micros};
use birchreach_fault_injection::fault_injected;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Interval between retries. It does not depend on the fleet's size.
const RETRY_INTERVAL: Micros = 1_000_000;
/// Maximum number of addresses in one retry.
const ADDRESSES_PER_RETRY: usize = 2;
/// An address is removed this long after a member last joined with it. Configured addresses are never removed.
const ADDRESS_RETENTION: Micros = 24 * 3_600_000_000;

/// The addresses that a process retries while no member in its view has them.
pub(crate) struct KnownAddresses {
    configured: BTreeSet<SocketAddr>,
    /// When a member last joined with each address.
    last_seen_at: BTreeMap<SocketAddr, Micros>,
    /// All addresses. The front of the queue is retried next.
    retry_queue: VecDeque<SocketAddr>,
    next_retry_at: Micros,
}

impl KnownAddresses {
    /// Starts with the configured addresses. The first retry is due at `now`.
    pub(crate) fn new(configured: impl IntoIterator<Item = SocketAddr>, now: Micros) -> KnownAddresses {
        let configured: BTreeSet<SocketAddr> = configured.into_iter().take(MAX_MEMBERS).collect();
        KnownAddresses {
            last_seen_at: BTreeMap::new(),
            retry_queue: configured.iter().copied().collect(),
            configured,
            next_retry_at: now,
        }
    }

    /// Records that a member joined with this address. Beyond [`MAX_MEMBERS`] records the oldest is removed.
    pub(crate) fn record(&mut self, now: Micros, address: SocketAddr) {
        if self.last_seen_at.insert(address, now).is_some() || self.configured.contains(&address) {
            return;
        }
        self.retry_queue.push_back(address);
        if self.last_seen_at.len() > MAX_MEMBERS {
            let oldest = self.last_seen_at.iter().min_by_key(|(_, seen_at)| **seen_at);
            let oldest = oldest.map(|(address, _)| *address);
            oldest.into_iter().for_each(|address| self.remove(address));
        }
    }

    /// Removes the record of an address. A configured address stays in the retry queue.
    fn remove(&mut self, address: SocketAddr) {
        self.last_seen_at.remove(&address);
        if !self.configured.contains(&address) {
            self.retry_queue.retain(|other| *other != address);
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        let expired = self.last_seen_at.iter().filter(|(_, seen_at)| now - **seen_at >= ADDRESS_RETENTION);
        let expired: Vec<SocketAddr> = expired.map(|(address, _)| *address).collect();
        expired.into_iter().for_each(|address| self.remove(address));
    }

    /// Returns when the next retry is due.
    pub(crate) fn next_change(&self) -> Micros {
        self.next_retry_at
    }

    /// Returns the number of addresses, including those in the view.
    pub(crate) fn len(&self) -> usize {
        self.retry_queue.len()
    }

    /// Returns the addresses outside the view to be retried now. The list is empty if no retry is due.
    pub(crate) fn due(&mut self, now: Micros, in_view: impl Fn(SocketAddr) -> bool) -> Vec<SocketAddr> {
        if now < self.next_retry_at {
            return Vec::new();
        }
        self.next_retry_at = now + RETRY_INTERVAL;
        if fault_injected!(NoAddressRetries) && now > 10 * RETRY_INTERVAL {
            return Vec::new();
        }
        self.remove_expired(now);
        let mut due = Vec::new();
        for _ in 0..self.retry_queue.len() {
            let Some(address) = self.retry_queue.pop_front() else { break };
            self.retry_queue.push_back(address);
            if !in_view(address) {
                due.push(address);
            }
            if due.len() >= ADDRESSES_PER_RETRY {
                break;
            }
        }
        due
    }
}
