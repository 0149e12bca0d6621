//! Seeded histories of proxies that observe servers and transfer state, over ways that take time, on clocks that differ. A seed
//! that fails is printed, and fails again.

mod common;

use birchreach_peer_state::{Micros, ObservationSource, PeerState, Role, ServerFacts, TransferPart, advice};
use common::{SECOND, SERVERS, exported, new_state, server};
use std::collections::BTreeMap;

struct Proxy {
    state: PeerState,
    /// How far its clock is ahead of the true one.
    clock_offset: Micros,
}

/// Some proxies, and what is true of the servers.
struct History {
    rng: fastrand::Rng,
    now: Micros,
    proxies: Vec<Proxy>,
    /// All positions of each server that anybody observed.
    positions: BTreeMap<u32, Vec<Micros>>,
    /// All instants, on the true clock, at which anybody observed each server as primary.
    primary_at: BTreeMap<u32, Vec<Micros>>,
}

impl History {
    fn new(seed: u64) -> History {
        let mut rng = fastrand::Rng::with_seed(seed);
        let proxies = (1..=4)
            .map(|id| Proxy { state: new_state(id), clock_offset: rng.i64(-15 * SECOND..15 * SECOND) })
            .collect();
        History { rng, now: 1_000 * SECOND, proxies, positions: BTreeMap::new(), primary_at: BTreeMap::new() }
    }

    /// Time passes, and one proxy observes a server or requests state.
    fn step(&mut self) {
        self.now += self.rng.i64(0..2 * SECOND);
        let n = self.rng.u32(0..SERVERS);
        let who = self.rng.usize(0..self.proxies.len());
        let local = self.now + self.proxies[who].clock_offset;
        match self.rng.u8(0..6) {
            0 => self.observe_position(who, n, local),
            1 => self.observe_role(who, n, local),
            2 => {
                let suspect = self.rng.bool();
                self.proxies[who].state.record_health(local, &server(n), suspect);
            }
            _ => self.transfer(who, local),
        }
    }

    fn observe_position(&mut self, who: usize, n: u32, local: Micros) {
        let position = self.now - self.rng.i64(0..3 * SECOND);
        let lag = self.now - position;
        self.positions.entry(n).or_default().push(position);
        let source = ObservationSource::ServerStatus;
        self.proxies[who].state.record_position(local, &server(n), position, lag, source);
    }

    fn observe_role(&mut self, who: usize, n: u32, local: Micros) {
        let role = if self.rng.bool() { Role::Primary } else { Role::Replica };
        if role == Role::Primary {
            self.primary_at.entry(n).or_default().push(self.now);
        }
        let source = ObservationSource::ServerStatus;
        self.proxies[who].state.record_role(local, &server(n), role, source);
    }

    /// Request and answer take time.
    fn transfer(&mut self, who: usize, requested_at: Micros) {
        let provider = self.rng.usize(0..self.proxies.len());
        self.now += self.rng.i64(0..SECOND);
        let part = self.exported(provider);
        self.now += self.rng.i64(0..SECOND);
        if provider != who {
            self.proxies[who].state.apply_transfer(requested_at, &part);
        }
    }

    fn exported(&self, who: usize) -> TransferPart {
        let proxy = &self.proxies[who];
        exported(&proxy.state, self.now + proxy.clock_offset)
    }

    /// Checks that what a proxy knows of a server is true. Whether it received it as primary.
    fn check(&self, proxy: &Proxy, n: u32, facts: &ServerFacts) -> Result<bool, &'static str> {
        let position = advice::position(&proxy.state, &server(n));
        if position.is_some_and(|position| !self.positions[&n].contains(&position.value)) {
            return Err("nobody observed that position");
        }
        let Some(primary) = facts.primary else { return Ok(false) };
        let observed_at = primary.observed_at - proxy.clock_offset;
        if !self.primary_at[&n].iter().any(|at| *at >= observed_at) {
            return Err("an observation is younger than it was");
        }
        let is_received = primary.hop_count > 0;
        if is_received && primary.observer == proxy.state.observer {
            return Err("an own observation came back");
        }
        Ok(is_received)
    }
}

#[test]
fn ages_only_add_up_and_positions_were_observed() {
    let mut received = 0;
    for seed in 0..600 {
        let mut history = History::new(seed);
        for _ in 0..120 {
            history.step();
            for proxy in &history.proxies {
                for n in 0..SERVERS {
                    let Some(facts) = proxy.state.facts(&server(n)) else { continue };
                    let is_received = history.check(proxy, n, facts);
                    let is_received = is_received.unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
                    received += usize::from(is_received);
                }
            }
        }
    }
    assert!(received > 1000, "histories in which nothing is received show nothing");
}

/// However the answers of one history arrive, and however often, the result is the same.
#[test]
fn the_order_of_answers_does_not_matter() {
    for seed in 0..500 {
        let mut history = History::new(seed);
        (0..80).for_each(|_| history.step());
        let answers: Vec<TransferPart> =
            (0..history.proxies.len()).map(|who| history.exported(who)).collect();
        let merged = |order: &[usize]| {
            let mut new_proxy = new_state(99);
            order.iter().for_each(|who| new_proxy.apply_transfer(history.now, &answers[*who]));
            new_proxy.dropped = 0;
            new_proxy
        };
        let expected = merged(&[0, 1, 2, 3]);
        for order in [&[3, 2, 1, 0][..], &[2, 0, 3, 1, 1, 0], &[0, 0, 1, 1, 2, 3]] {
            assert_eq!(merged(order), expected, "seed {seed}");
        }
    }
}
