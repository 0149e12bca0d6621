//! Addresses from the options and of former members. Those outside the view are retried in turn, so that two partitions of a fleet
//! merge again although each has removed the other.

use crate::{MAX_MEMBERS, Micros};
use birchreach_fault_injection::fault_injected;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Addresses are retried at this interval, whatever the fleet's size.
const RETRY_INTERVAL: Micros = 1_000_000;
/// Addresses that are retried at a time.
const ADDRESSES_PER_RETRY: usize = 2;
/// An address that no member had for this time is removed; a configured one never is.
const EXPIRES_AFTER: Micros = 24 * 3_600_000_000;

/// The addresses that one process knows.
pub(crate) struct KnownAddresses {
    configured: BTreeSet<SocketAddr>,
    /// When a member last had the address.
    last_seen_at: BTreeMap<SocketAddr, Micros>,
    /// All addresses, the one to be retried next first.
    rotation: VecDeque<SocketAddr>,
    next_retry_at: Micros,
}

impl KnownAddresses {
    /// The configured addresses, which are retried from now on.
    pub(crate) fn new(configured: impl IntoIterator<Item = SocketAddr>, now: Micros) -> KnownAddresses {
        let configured: BTreeSet<SocketAddr> = configured.into_iter().take(MAX_MEMBERS).collect();
        KnownAddresses {
            last_seen_at: BTreeMap::new(),
            rotation: configured.iter().copied().collect(),
            configured,
            next_retry_at: now,
        }
    }

    /// Records that a member has this address. Beyond the limit the address seen longest ago is removed.
    pub(crate) fn record(&mut self, now: Micros, address: SocketAddr) {
        if self.last_seen_at.insert(address, now).is_some() || self.configured.contains(&address) {
            return;
        }
        self.rotation.push_back(address);
        if self.last_seen_at.len() > MAX_MEMBERS {
            let oldest = self.last_seen_at.iter().min_by_key(|(_, seen_at)| **seen_at);
            let oldest = oldest.map(|(address, _)| *address);
            oldest.into_iter().for_each(|address| self.remove(address));
        }
    }

    /// Removes an address of a former member; a configured one is still retried.
    fn remove(&mut self, address: SocketAddr) {
        self.last_seen_at.remove(&address);
        if !self.configured.contains(&address) {
            self.rotation.retain(|other| *other != address);
        }
    }

    /// Removes addresses that no member had for long.
    fn remove_expired(&mut self, now: Micros) {
        let expired = self.last_seen_at.iter().filter(|(_, seen_at)| now - **seen_at >= EXPIRES_AFTER);
        let expired: Vec<SocketAddr> = expired.map(|(address, _)| *address).collect();
        expired.into_iter().for_each(|address| self.remove(address));
    }

    /// When addresses are retried next.
    pub(crate) fn next_change(&self) -> Micros {
        self.next_retry_at
    }

    /// Addresses that are kept.
    pub(crate) fn len(&self) -> usize {
        self.rotation.len()
    }

    /// Addresses to be retried now, of those outside the view.
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
        for _ in 0..self.rotation.len() {
            let Some(address) = self.rotation.pop_front() else { break };
            self.rotation.push_back(address);
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
