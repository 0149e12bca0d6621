//! The membership of many processes on virtual time, with a network between them that loses and delays datagrams and is partitioned: a
//! history from a seed.

use super::events::{Datagram, Exchange, Wake};
use super::process::{Process, Received, Traffic};
use super::{SECOND, address};
use birchreach_membership::{Membership, MembershipSettings, Micros, OutgoingPayload, ViewState};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

/// Header and code of a datagram, and its first byte.
const DATAGRAM_OVERHEAD_BYTES: u64 = 55;
/// Header and code of a frame.
const FRAME_OVERHEAD_BYTES: u64 = 44;
const MIN_WAKE_INTERVAL: Micros = 1_000;
/// Unix time at the start of a history.
const STARTED_AT: Micros = 1_700_000_000 * SECOND;

/// A fleet of processes, the network between them, and the time.
pub(crate) struct Network {
    pub now: Micros,
    pub processes: Vec<Process>,
    pub rng: fastrand::Rng,
    /// The fraction of datagrams that is lost.
    pub loss: f64,
    /// Whether the second process receives nothing from the first.
    pub is_partitioned: Box<dyn Fn(usize, usize) -> bool>,
    datagrams: BinaryHeap<Reverse<Datagram>>,
    last_number: u64,
    wakes: BinaryHeap<Reverse<Wake>>,
    exchanges: BinaryHeap<Reverse<Exchange>>,
    pub exchanged: Traffic,
    by_address: HashMap<SocketAddr, usize>,
    configured_members: u32,
}

impl Network {
    /// A fleet of so many configured processes, of which none has started.
    pub(crate) fn new(configured_members: usize, seed: u64) -> Network {
        Network {
            now: 0,
            processes: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            is_partitioned: Box::new(|_, _| false),
            datagrams: BinaryHeap::new(),
            last_number: 0,
            wakes: BinaryHeap::new(),
            exchanges: BinaryHeap::new(),
            exchanged: Traffic::default(),
            by_address: (0..configured_members).map(|index| (address(index), index)).collect(),
            configured_members: configured_members as u32,
        }
    }

    /// A fleet of so many that all start now, each with the first two as seeds.
    pub(crate) fn started(count: usize, seed: u64) -> Network {
        let mut network = Network::new(count, seed);
        (0..count).for_each(|index| network.start(index, 0));
        network
    }

    /// Starts a process, or restarts it without its state, on a clock with this offset.
    pub(crate) fn start(&mut self, index: usize, clock_offset: Micros) {
        self.start_named(index, &format!("p{index}"), clock_offset);
    }

    pub(crate) fn start_named(&mut self, index: usize, name: &str, clock_offset: Micros) {
        let incarnation = self.rng.u64(1..);
        let settings = MembershipSettings {
            name: name.into(),
            address: address(index),
            incarnation,
            epoch: ((STARTED_AT + self.now + clock_offset) / 1_000) as u64,
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
        self.by_address.insert(address(index), index);
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
        for Received { sender, payload } in std::mem::take(&mut process.waiting) {
            if let Some(membership) = &mut process.membership {
                let _ = membership.receive(self.now, sender, &payload);
            }
        }
        self.flush(index);
    }

    /// Leaves the fleet gracefully.
    pub(crate) fn leave(&mut self, index: usize) {
        let now = self.now;
        self.processes[index].membership.iter_mut().for_each(|membership| membership.leave(now));
    }

    /// Sends the payloads of a process, records its changes, and schedules its next wake.
    fn flush(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(membership) = &mut process.membership else { return };
        while let Some(OutgoingPayload { recipient, payload }) = membership.next_payload() {
            process.sent.add(payload.len() as u64 + DATAGRAM_OVERHEAD_BYTES);
            let Some(&to) = self.by_address.get(&recipient) else { continue };
            if self.rng.f64() < self.loss || (self.is_partitioned)(index, to) {
                continue;
            }
            self.last_number += 1;
            self.datagrams.push(Reverse(Datagram {
                arrives_at: self.now + self.rng.i64(200..5_000),
                number: self.last_number,
                to,
                sender: process.incarnation,
                payload,
            }));
        }
        let due_exchange = membership.due_exchange(self.now);
        if let Some(&to) = due_exchange.and_then(|address| self.by_address.get(&address)) {
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

    /// Delivers a payload to a process.
    pub(crate) fn deliver(&mut self, to: usize, sender: u64, payload: Vec<u8>) {
        let Some(process) = self.processes.get_mut(to) else { return };
        if process.paused {
            process.waiting.push(Received { sender, payload });
        } else if let Some(membership) = &mut process.membership {
            let _ = membership.receive(self.now, sender, &payload);
            self.flush(to);
        }
    }

    /// A full exchange takes place if both processes run and reach each other: a connection needs both ways.
    fn exchange(&mut self, from: usize, to: usize) {
        let any_partition = (self.is_partitioned)(from, to) || (self.is_partitioned)(to, from);
        if any_partition || [from, to].iter().any(|index| self.processes[*index].paused) {
            return;
        }
        for (sender, receiver) in [(from, to), (to, from)] {
            let Some(membership) = &self.processes[sender].membership else { return };
            let parts = membership.export_members();
            let bytes = parts.iter().map(|part| part.len() as u64 + FRAME_OVERHEAD_BYTES).sum();
            self.exchanged.add(bytes);
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

    /// Advances the time, with all events that are due within the span.
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

    /// Processes that run.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Membership> {
        let running = self.processes.iter().filter(|process| !process.paused);
        running.filter_map(|process| process.membership.as_ref())
    }

    /// Whether all that run have one settled view of so many members.
    pub(crate) fn agrees(&self, members: usize) -> bool {
        let views: Vec<_> = self.live().map(Membership::view).collect();
        let is_settled = |state: ViewState| matches!(state, ViewState::Settled { .. });
        views.iter().all(|view| {
            view.member_count == members && view.digest == views[0].digest && is_settled(view.state)
        })
    }

    /// How long it takes until they agree; none if longer than the limit.
    pub(crate) fn time_to_agreement(&mut self, members: usize, limit: Micros) -> Option<Micros> {
        let start = self.now;
        while !self.agrees(members) {
            if self.now - start >= limit {
                return None;
            }
            self.advance(SECOND / 10);
        }
        Some(self.now - start)
    }
}
