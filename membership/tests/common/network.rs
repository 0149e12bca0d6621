//! Simulation of a fleet on virtual time: many memberships, and a network that loses, delays and blocks datagrams.
//! The seed determines the run.

use super::events::{Datagram, Exchange, Wake};
use super::process::{Process, ReceivedPayload, Traffic};
use super::{SECOND, address};
use birchreach_membership::{Membership, MembershipSettings, Micros, OutgoingPayload, ViewState};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

/// Header and authentication code of a datagram, and the byte for the channel.
const DATAGRAM_OVERHEAD_BYTES: u64 = 55;
/// Header and authentication code of a frame.
const FRAME_OVERHEAD_BYTES: u64 = 44;
const MIN_WAKE_INTERVAL: Micros = 1_000;
/// Unix time at the start of a simulation.
const SIMULATION_START: Micros = 1_700_000_000 * SECOND;

/// A simulated fleet, the network between its processes and the virtual time.
pub(crate) struct Network {
    pub now: Micros,
    pub processes: Vec<Process>,
    pub rng: fastrand::Rng,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Whether datagrams from the first process to the second are blocked.
    pub is_blocked: Box<dyn Fn(usize, usize) -> bool>,
    datagrams: BinaryHeap<Reverse<Datagram>>,
    last_sequence: u64,
    wakes: BinaryHeap<Reverse<Wake>>,
    exchanges: BinaryHeap<Reverse<Exchange>>,
    pub exchange_traffic: Traffic,
    index_by_address: HashMap<SocketAddr, usize>,
    configured_members: u32,
}

impl Network {
    /// Creates a fleet in which no process has started.
    pub(crate) fn new(configured_members: usize, seed: u64) -> Network {
        Network {
            now: 0,
            processes: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            is_blocked: Box::new(|_, _| false),
            datagrams: BinaryHeap::new(),
            last_sequence: 0,
            wakes: BinaryHeap::new(),
            exchanges: BinaryHeap::new(),
            exchange_traffic: Traffic::default(),
            index_by_address: (0..configured_members).map(|index| (address(index), index)).collect(),
            configured_members: configured_members as u32,
        }
    }

    /// Creates a fleet and starts all its processes. The first two are the seeds of all others.
    pub(crate) fn started(count: usize, seed: u64) -> Network {
        let mut network = Network::new(count, seed);
        (0..count).for_each(|index| network.start(index, 0));
        network
    }

    /// Starts a process, or restarts it without its former state. `clock_offset` is added to its Unix time.
    pub(crate) fn start(&mut self, index: usize, clock_offset: Micros) {
        self.start_named(index, &format!("p{index}"), clock_offset);
    }

    pub(crate) fn start_named(&mut self, index: usize, name: &str, clock_offset: Micros) {
        let incarnation = self.rng.u64(1..);
        let settings = MembershipSettings {
            name: name.into(),
            address: address(index),
            incarnation,
            epoch: ((SIMULATION_START + self.now + clock_offset) / 1_000) as u64,
            rng_seed: self.rng.u64(..),
            seed_addresses: vec![address(0), address(1)],
            configured_members: self.configured_members,
        };
        let process = Process::new(incarnation, Membership::new(settings, self.now));
        if index < self.processes.len() {
            self.processes[index] = process;
        } else {
            self.processes.push(process);
        }
        self.index_by_address.insert(address(index), index);
        self.flush(index);
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.processes[index].membership = None;
    }

    pub(crate) fn pause(&mut self, index: usize) {
        self.processes[index].paused = true;
        self.processes[index].wake_at = Micros::MAX;
    }

    pub(crate) fn resume(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.paused = false;
        for ReceivedPayload { sender, payload } in std::mem::take(&mut process.queued) {
            if let Some(membership) = &mut process.membership {
                let _ = membership.receive(self.now, sender, &payload);
            }
        }
        self.flush(index);
    }

    pub(crate) fn leave(&mut self, index: usize) {
        let now = self.now;
        self.processes[index].membership.iter_mut().for_each(|membership| membership.leave(now));
    }

    /// Sends the payloads of a process, starts a due exchange, records its changes and schedules its next wake-up.
    fn flush(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(membership) = &mut process.membership else { return };
        while let Some(OutgoingPayload { recipient, payload }) = membership.next_payload() {
            process.sent.add(payload.len() as u64 + DATAGRAM_OVERHEAD_BYTES);
            let Some(&to) = self.index_by_address.get(&recipient) else { continue };
            if self.rng.f64() < self.loss || (self.is_blocked)(index, to) {
                continue;
            }
            self.last_sequence += 1;
            self.datagrams.push(Reverse(Datagram {
                arrives_at: self.now + self.rng.i64(200..5_000),
                sequence: self.last_sequence,
                to,
                sender: process.incarnation,
                payload,
            }));
        }
        let due_exchange = membership.due_exchange(self.now);
        if let Some(&to) = due_exchange.and_then(|address| self.index_by_address.get(&address)) {
            let at = self.now + self.rng.i64(1_000..20_000);
            self.exchanges.push(Reverse(Exchange { at, from: index, to }));
        }
        process.changes.extend(membership.take_changes().into_iter().map(|change| (self.now, change)));
        process.wake_at = match process.paused {
            true => Micros::MAX,
            false => membership.next_change().max(self.now + MIN_WAKE_INTERVAL),
        };
        self.wakes.push(Reverse(Wake { at: process.wake_at, process: index }));
    }

    /// Delivers a payload to a process, or queues the payload while the process is paused.
    pub(crate) fn deliver(&mut self, to: usize, sender: u64, payload: Vec<u8>) {
        let Some(process) = self.processes.get_mut(to) else { return };
        if process.paused {
            process.queued.push(ReceivedPayload { sender, payload });
        } else if let Some(membership) = &mut process.membership {
            let _ = membership.receive(self.now, sender, &payload);
            self.flush(to);
        }
    }

    /// Runs a full exchange if both processes run and neither direction is blocked, because a connection needs both.
    fn exchange(&mut self, from: usize, to: usize) {
        let is_blocked = (self.is_blocked)(from, to) || (self.is_blocked)(to, from);
        if is_blocked || [from, to].iter().any(|index| self.processes[*index].paused) {
            return;
        }
        for (sender, receiver) in [(from, to), (to, from)] {
            let Some(membership) = &self.processes[sender].membership else { return };
            let parts = membership.export_members();
            let bytes = parts.iter().map(|part| part.len() as u64 + FRAME_OVERHEAD_BYTES).sum();
            self.exchange_traffic.add(bytes);
            let Some(membership) = &mut self.processes[receiver].membership else { return };
            let _ = membership.import_members(self.now, &parts);
            self.flush(receiver);
        }
    }

    fn wake(&mut self, wake: Wake) {
        let process = &mut self.processes[wake.process];
        if process.wake_at != wake.at {
            return;
        }
        if let Some(membership) = &mut process.membership {
            membership.step(self.now);
            self.flush(wake.process);
        }
    }

    /// Advances the time and runs all events that are due within the span, in the order of their times.
    pub(crate) fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let datagram = self.datagrams.peek().map_or(Micros::MAX, |Reverse(next)| next.arrives_at);
            let wake = self.wakes.peek().map_or(Micros::MAX, |Reverse(next)| next.at);
            let exchange = self.exchanges.peek().map_or(Micros::MAX, |Reverse(next)| next.at);
            let next = datagram.min(wake).min(exchange);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if exchange <= datagram.min(wake) {
                let Some(Reverse(exchange)) = self.exchanges.pop() else { break };
                self.exchange(exchange.from, exchange.to);
            } else if datagram <= wake {
                let Some(Reverse(datagram)) = self.datagrams.pop() else { break };
                self.deliver(datagram.to, datagram.sender, datagram.payload);
            } else {
                let Some(Reverse(wake)) = self.wakes.pop() else { break };
                self.wake(wake);
            }
        }
        self.now = end;
    }

    /// Returns the memberships of all processes that are neither down nor paused.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Membership> {
        let running = self.processes.iter().filter(|process| !process.paused);
        running.filter_map(|process| process.membership.as_ref())
    }

    /// Returns whether all running processes have the same settled view with this number of members.
    pub(crate) fn has_converged(&self, members: usize) -> bool {
        let views: Vec<_> = self.live().map(Membership::view).collect();
        let is_settled = |state: ViewState| matches!(state, ViewState::Settled { .. });
        views.iter().all(|view| {
            view.member_count == members && view.digest == views[0].digest && is_settled(view.state)
        })
    }

    /// Advances the time until the views converge and returns how long that took, or `None` beyond the limit.
    pub(crate) fn time_to_convergence(&mut self, members: usize, limit: Micros) -> Option<Micros> {
        let start = self.now;
        while !self.has_converged(members) {
            if self.now - start >= limit {
                return None;
            }
            self.advance(SECOND / 10);
        }
        Some(self.now - start)
    }
}
