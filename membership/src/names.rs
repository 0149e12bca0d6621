//! Addresses that were named in the options or heard of, so that two halves of a cut fleet find each other again although each has
//! given the other up: whoever is not in the view is tried in turn, so many a second.

use crate::{MOST_MEMBERS, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// How often somebody is tried, and how many at once: two a second, whatever the fleet's size.
const PACE: Micros = 1_000_000;
const AT_ONCE: usize = 2;
/// A name that was not heard of for so long is forgotten; one of the options never is.
const FORGET: Micros = 24 * 3_600_000_000;

pub struct Names {
    named: BTreeSet<SocketAddr>,
    /// When each was heard of last.
    known: BTreeMap<SocketAddr, Micros>,
    turn: VecDeque<SocketAddr>,
    next: Micros,
}

impl Names {
    pub fn new(named: impl IntoIterator<Item = SocketAddr>, now: Micros) -> Names {
        let named: BTreeSet<SocketAddr> = named.into_iter().take(MOST_MEMBERS).collect();
        Names { known: BTreeMap::new(), turn: named.iter().copied().collect(), named, next: now }
    }

    /// A member hears there. Of too many the one heard of longest ago goes.
    pub fn heard(&mut self, now: Micros, at: SocketAddr) {
        if self.known.insert(at, now).is_some() || self.named.contains(&at) {
            return;
        }
        self.turn.push_back(at);
        if self.known.len() > MOST_MEMBERS {
            let oldest = self.known.iter().min_by_key(|(_, heard)| **heard).map(|(at, _)| *at);
            oldest.into_iter().for_each(|at| self.forget(at));
        }
    }

    fn forget(&mut self, at: SocketAddr) {
        self.known.remove(&at);
        if !self.named.contains(&at) {
            self.turn.retain(|other| *other != at);
        }
    }

    pub fn next_change(&self) -> Micros {
        self.next
    }

    pub fn len(&self) -> usize {
        self.turn.len()
    }

    /// Whom to try now, of those that are not in the view.
    pub fn due(&mut self, now: Micros, there: impl Fn(SocketAddr) -> bool) -> Vec<SocketAddr> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now + PACE;
        if crate::faulty!(NobodyIsTriedAgain) && now > 10 * PACE {
            return Vec::new();
        }
        let old = |(at, heard): (&SocketAddr, &Micros)| (now - heard >= FORGET).then_some(*at);
        let old: Vec<SocketAddr> = self.known.iter().filter_map(old).collect();
        old.into_iter().for_each(|at| self.forget(at));
        let mut tried = Vec::new();
        for _ in 0..self.turn.len() {
            let Some(at) = self.turn.pop_front() else { break };
            self.turn.push_back(at);
            if !there(at) {
                tried.push(at);
            }
            if tried.len() >= AT_ONCE {
                break;
            }
        }
        tried
    }
}
