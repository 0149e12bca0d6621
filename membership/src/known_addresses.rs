//! Addresses that were named in the options or heard of, so that two halves of a cut fleet find each other again although each has
//! given the other up: whoever is not in the view is tried in turn, so many a second.

use crate::{MAX_MEMBERS, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// How often somebody is tried, and how many at once: two a second, whatever the fleet's size.
const RETRY_INTERVAL: Micros = 1_000_000;
const ADDRESSES_PER_RETRY: usize = 2;
/// A name that was not heard of for so long is forgotten; one of the options never is.
const EXPIRES_AFTER: Micros = 24 * 3_600_000_000;

pub struct KnownAddresses {
    configured: BTreeSet<SocketAddr>,
    /// When each was heard of last.
    last_seen_at: BTreeMap<SocketAddr, Micros>,
    rotation: VecDeque<SocketAddr>,
    next_retry_at: Micros,
}

impl KnownAddresses {
    pub fn new(named: impl IntoIterator<Item = SocketAddr>, now: Micros) -> KnownAddresses {
        let named: BTreeSet<SocketAddr> = named.into_iter().take(MAX_MEMBERS).collect();
        KnownAddresses {
            last_seen_at: BTreeMap::new(),
            rotation: named.iter().copied().collect(),
            configured: named,
            next_retry_at: now,
        }
    }

    /// A member hears there. Of too many the one heard of longest ago goes.
    pub fn record(&mut self, now: Micros, at: SocketAddr) {
        if self.last_seen_at.insert(at, now).is_some() || self.configured.contains(&at) {
            return;
        }
        self.rotation.push_back(at);
        if self.last_seen_at.len() > MAX_MEMBERS {
            let oldest = self.last_seen_at.iter().min_by_key(|(_, heard)| **heard).map(|(at, _)| *at);
            oldest.into_iter().for_each(|at| self.forget(at));
        }
    }

    fn forget(&mut self, at: SocketAddr) {
        self.last_seen_at.remove(&at);
        if !self.configured.contains(&at) {
            self.rotation.retain(|other| *other != at);
        }
    }

    pub fn next_change(&self) -> Micros {
        self.next_retry_at
    }

    pub fn len(&self) -> usize {
        self.rotation.len()
    }

    /// Whom to try now, of those that are not in the view.
    pub fn due(&mut self, now: Micros, there: impl Fn(SocketAddr) -> bool) -> Vec<SocketAddr> {
        if now < self.next_retry_at {
            return Vec::new();
        }
        self.next_retry_at = now + RETRY_INTERVAL;
        if crate::faulty!(NobodyIsTriedAgain) && now > 10 * RETRY_INTERVAL {
            return Vec::new();
        }
        let old = |(at, heard): (&SocketAddr, &Micros)| (now - heard >= EXPIRES_AFTER).then_some(*at);
        let old: Vec<SocketAddr> = self.last_seen_at.iter().filter_map(old).collect();
        old.into_iter().for_each(|at| self.forget(at));
        let mut tried = Vec::new();
        for _ in 0..self.rotation.len() {
            let Some(at) = self.rotation.pop_front() else { break };
            self.rotation.push_back(at);
            if !there(at) {
                tried.push(at);
            }
            if tried.len() >= ADDRESSES_PER_RETRY {
                break;
            }
        }
        tried
    }
}
