//! Many fleets' machines on virtual time, with a network between them that loses, delays and is cut: a schedule from a seed.
#![allow(dead_code)]

pub mod scenes;
pub mod schedule;

use birchreach_membership::{Membership, MembershipChange, MembershipSettings, Micros, ViewState};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

pub const SECOND: Micros = 1_000_000;

pub struct Process {
    /// None: it is dead.
    pub fleet: Option<Membership>,
    /// It is stopped, as by SIGSTOP: what comes waits.
    pub stopped: bool,
    waiting: Vec<(u64, Vec<u8>)>,
    boot: u64,
    /// When it is to be woken; other wakes of it are void.
    armed: Micros,
    pub sent: (u64, u64),
    pub changes: Vec<(Micros, MembershipChange)>,
}

/// When it comes, its number, to whom, from which boot, and what.
type UnderWay = (Micros, u64, usize, u64, Vec<u8>);

pub struct Net {
    pub now: Micros,
    pub all: Vec<Process>,
    pub rng: fastrand::Rng,
    /// Of all datagrams this share is lost; and these ways are cut, from one to another.
    pub loss: f64,
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    under_way: BinaryHeap<Reverse<UnderWay>>,
    number: u64,
    wakes: BinaryHeap<Reverse<(Micros, usize)>>,
    /// Full exchanges that are under way: when one is over, and between whom.
    links: BinaryHeap<Reverse<(Micros, usize, usize)>>,
    pub exchanged: (u64, u64),
    by_address: HashMap<SocketAddr, usize>,
    named: u32,
}

pub fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 200) as u8, (n % 200) as u8 + 1], 7000))
}

impl Net {
    pub fn new(named: usize, seed: u64) -> Net {
        Net {
            now: 0,
            all: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            cut: Box::new(|_, _| false),
            under_way: BinaryHeap::new(),
            number: 0,
            wakes: BinaryHeap::new(),
            links: BinaryHeap::new(),
            exchanged: (0, 0),
            by_address: (0..named).map(|n| (at(n), n)).collect(),
            named: named as u32,
        }
    }

    /// A fleet of so many that all start now, each knowing the first two.
    pub fn started(count: usize, seed: u64) -> Net {
        let mut net = Net::new(count, seed);
        (0..count).for_each(|n| net.start(n, 0));
        net
    }

    /// Starts the process of a place, anew and with an empty memory; its clock is off by so much.
    pub fn start(&mut self, n: usize, clock: Micros) {
        self.start_named(n, &format!("p{n}"), clock);
    }

    pub fn start_named(&mut self, n: usize, name: &str, clock: Micros) {
        let boot = self.rng.u64(1..);
        let settings = MembershipSettings {
            name: name.into(),
            address: at(n),
            incarnation: boot,
            epoch: ((1_700_000_000 * SECOND + self.now + clock) / 1_000) as u64,
            seed: self.rng.u64(..),
            seeds: vec![at(0), at(1)],
            configured_members: self.named,
        };
        let fleet = Some(Membership::new(settings, self.now));
        let fresh = Process {
            fleet,
            stopped: false,
            waiting: vec![],
            boot,
            armed: Micros::MAX,
            sent: (0, 0),
            changes: vec![],
        };
        if n < self.all.len() {
            self.all[n] = fresh;
        } else {
            self.all.push(fresh);
        }
        self.by_address.insert(at(n), n);
        self.flush(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.all[n].fleet = None;
    }

    pub fn stop(&mut self, n: usize, stopped: bool) {
        self.all[n].stopped = stopped;
        if stopped {
            self.all[n].armed = Micros::MAX;
            return;
        }
        for (boot, payload) in std::mem::take(&mut self.all[n].waiting) {
            if let Some(fleet) = &mut self.all[n].fleet {
                let _ = fleet.receive(self.now, boot, &payload);
            }
        }
        self.flush(n);
    }

    /// Sends what a process has to send, notes what it tells, and has it woken in time.
    fn flush(&mut self, n: usize) {
        let p = &mut self.all[n];
        let Some(fleet) = &mut p.fleet else { return };
        let boot = p.boot;
        while let Some((to, payload)) = fleet.next_payload() {
            p.sent = (p.sent.0 + 1, p.sent.1 + payload.len() as u64 + 55);
            let Some(&to) = self.by_address.get(&to) else { continue };
            if self.rng.f64() < self.loss || (self.cut)(n, to) {
                continue;
            }
            self.number += 1;
            let due = self.now + self.rng.i64(200..5_000);
            self.under_way.push(Reverse((due, self.number, to, boot, payload)));
        }
        if let Some(to) = fleet.due_exchange(self.now).and_then(|at| self.by_address.get(&at)) {
            self.links.push(Reverse((self.now + self.rng.i64(1_000..20_000), n, *to)));
        }
        p.changes.extend(fleet.take_changes().into_iter().map(|change| (self.now, change)));
        p.armed = if p.stopped { Micros::MAX } else { fleet.next_change().max(self.now + 1_000) };
        self.wakes.push(Reverse((p.armed, n)));
    }

    /// Hands a datagram to a process, as the network would.
    pub fn hand(&mut self, to: usize, boot: u64, payload: Vec<u8>) {
        let Some(p) = self.all.get_mut(to) else { return };
        if p.stopped {
            p.waiting.push((boot, payload));
        } else if let Some(fleet) = &mut p.fleet {
            let _ = fleet.receive(self.now, boot, &payload);
            self.flush(to);
        }
    }

    /// Two tell each other all, if they can reach each other: a link needs both ways.
    fn link(&mut self, a: usize, b: usize) {
        if (self.cut)(a, b) || (self.cut)(b, a) || [a, b].iter().any(|n| self.all[*n].stopped) {
            return;
        }
        for (from, to) in [(a, b), (b, a)] {
            let Some(told) = self.all[from].fleet.as_ref().map(Membership::export_members) else { return };
            self.exchanged.0 += 1;
            self.exchanged.1 += told.iter().map(|part| part.len() as u64 + 44).sum::<u64>();
            let Some(fleet) = &mut self.all[to].fleet else { return };
            let _ = fleet.import_members(self.now, &told);
            self.flush(to);
        }
    }

    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let datagram = self.under_way.peek().map_or(Micros::MAX, |Reverse(d)| d.0);
            let wake = self.wakes.peek().map_or(Micros::MAX, |Reverse(w)| w.0);
            let link = self.links.peek().map_or(Micros::MAX, |Reverse(l)| l.0);
            if datagram.min(wake).min(link) > end {
                break;
            }
            self.now = self.now.max(datagram.min(wake).min(link));
            if link <= datagram.min(wake) {
                let Some(Reverse((_, a, b))) = self.links.pop() else { break };
                self.link(a, b);
            } else if datagram <= wake {
                let Some(Reverse((_, _, to, boot, payload))) = self.under_way.pop() else { break };
                self.hand(to, boot, payload);
            } else {
                let Some(Reverse((at, n))) = self.wakes.pop() else { break };
                let p = &mut self.all[n];
                if let Some(fleet) = p.fleet.as_mut().filter(|_| p.armed == at) {
                    fleet.step(self.now);
                    self.flush(n);
                }
            }
        }
        self.now = end;
    }

    pub fn live(&self) -> impl Iterator<Item = &Membership> {
        self.all.iter().filter(|p| !p.stopped).filter_map(|p| p.fleet.as_ref())
    }

    /// All that run see the same, and say that it is settled; of so many members.
    pub fn agreed(&self, members: usize) -> bool {
        let views: Vec<_> = self.live().map(Membership::view).collect();
        let settled = |s: ViewState| matches!(s, ViewState::Settled { .. });
        views.iter().all(|v| v.members == members && v.digest == views[0].digest && settled(v.state))
    }

    /// How long until they agree; none: not within that time.
    pub fn until_agreed(&mut self, members: usize, most: Micros) -> Option<Micros> {
        let start = self.now;
        while !self.agreed(members) {
            if self.now - start >= most {
                return None;
            }
            self.pass(SECOND / 10);
        }
        Some(self.now - start)
    }
}
