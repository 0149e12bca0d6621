//! Random histories of proxies that observe servers and transfer state over links with latency, with clocks
//! that differ. A failure prints the seed, which reproduces it.

mod common;

use birchreach_peer_state::{Micros, ObservationSource, PeerState, Role, ServerFacts, TransferPart, advice};
use common::{SECOND, SERVERS, exported, new_state, server};
use std::collections::BTreeMap;

struct Proxy {
    state: PeerState,
    /// The lead of the proxy's clock over the true clock.
    clock_offset: Micros,
}

/// Proxies that observe the servers, and a record of the true observations.
struct History {
    rng: fastrand::Rng,
    now: Micros,
    proxies: Vec<Proxy>,
    /// All observed positions by server number.
    observed_positions: BTreeMap<u32, Vec<Micros>>,
    /// The times on the true clock at which a server was observed as primary, by server number.
    primary_times: BTreeMap<u32, Vec<Micros>>,
}

impl History {
    fn new(seed: u64) -> History {
        let mut rng = fastrand::Rng::with_seed(seed);
        let proxies = (1..=4)
            .map(|id| Proxy { state: new_state(id), clock_offset: rng.i64(-15 * SECOND..15 * SECOND) })
            .collect();
        History {
            rng,
            now: 1_000 * SECOND,
            proxies,
            observed_positions: BTreeMap::new(),
            primary_times: BTreeMap::new(),
        }
    }

    /// Advances the time and lets a random proxy observe a server or request state.
    fn step(&mut self) {
        self.now += self.rng.i64(0..2 * SECOND);
        let server_number = self.rng.u32(0..SERVERS);
        let proxy_index = self.rng.usize(0..self.proxies.len());
        let local_time = self.now + self.proxies[proxy_index].clock_offset;
        match self.rng.u8(0..6) {
            0 => self.observe_position(proxy_index, server_number, local_time),
            1 => self.observe_role(proxy_index, server_number, local_time),
            2 => {
                let suspect = self.rng.bool();
                self.proxies[proxy_index].state.record_health(local_time, &server(server_number), suspect);
            }
            _ => self.transfer(proxy_index, local_time),
        }
    }

    fn observe_position(&mut self, proxy_index: usize, server_number: u32, local_time: Micros) {
        let position = self.now - self.rng.i64(0..3 * SECOND);
        let lag = self.now - position;
        self.observed_positions.entry(server_number).or_default().push(position);
        let source = ObservationSource::ServerStatus;
        self.proxies[proxy_index].state.record_position(
            local_time,
            &server(server_number),
            position,
            lag,
            source,
        );
    }

    fn observe_role(&mut self, proxy_index: usize, server_number: u32, local_time: Micros) {
        let role = if self.rng.bool() { Role::Primary } else { Role::Replica };
        if role == Role::Primary {
            self.primary_times.entry(server_number).or_default().push(self.now);
        }
        let source = ObservationSource::ServerStatus;
        self.proxies[proxy_index].state.record_role(local_time, &server(server_number), role, source);
    }

    /// Lets a proxy request the state of another one. Request and answer each take up to a second.
    fn transfer(&mut self, proxy_index: usize, requested_at: Micros) {
        let provider = self.rng.usize(0..self.proxies.len());
        self.now += self.rng.i64(0..SECOND);
        let part = self.exported(provider);
        self.now += self.rng.i64(0..SECOND);
        if provider != proxy_index {
            self.proxies[proxy_index].state.apply_transfer(requested_at, &part);
        }
    }

    fn exported(&self, proxy_index: usize) -> TransferPart {
        let proxy = &self.proxies[proxy_index];
        exported(&proxy.state, self.now + proxy.clock_offset)
    }

    /// Checks a proxy's facts about a server against the true observations. Returns whether the proxy
    /// received its observation of the server as primary from another proxy.
    fn check(&self, proxy: &Proxy, server_number: u32, facts: &ServerFacts) -> Result<bool, &'static str> {
        let position = advice::position(&proxy.state, &server(server_number));
        if position.is_some_and(|position| !self.observed_positions[&server_number].contains(&position.value))
        {
            return Err("the position was never observed");
        }
        let Some(primary) = facts.primary else { return Ok(false) };
        let observed_at = primary.observed_at - proxy.clock_offset;
        if !self.primary_times[&server_number].iter().any(|at| *at >= observed_at) {
            return Err("a transfer made an observation younger");
        }
        let is_received = primary.hop_count > 0;
        if is_received && primary.observer == proxy.state.observer {
            return Err("an observation returned to its observer");
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
                for server_number in 0..SERVERS {
                    let Some(facts) = proxy.state.facts(&server(server_number)) else { continue };
                    let is_received = history.check(proxy, server_number, facts);
                    let is_received =
                        is_received.unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
                    received += usize::from(is_received);
                }
            }
        }
    }

    assert!(received > 1000, "only {received} received observations were checked");
}

/// The result of merging does not depend on the order of the answers or on how often each arrives.
#[test]
fn the_order_of_answers_does_not_matter() {
    for seed in 0..500 {
        let mut history = History::new(seed);
        (0..80).for_each(|_| history.step());
        let answers: Vec<TransferPart> =
            (0..history.proxies.len()).map(|proxy_index| history.exported(proxy_index)).collect();

        let merged = |order: &[usize]| {
            let mut new_proxy = new_state(99);
            order
                .iter()
                .for_each(|proxy_index| new_proxy.apply_transfer(history.now, &answers[*proxy_index]));
            new_proxy.dropped = 0;
            new_proxy
        };

        let expected = merged(&[0, 1, 2, 3]);
        for order in [&[3, 2, 1, 0][..], &[2, 0, 3, 1, 1, 0], &[0, 0, 1, 1, 2, 3]] {
            assert_eq!(merged(order), expected, "seed {seed}");
        }
    }
}
