//! The machine: foca under our identities, with names that are tried, digests that travel, and a view that says what it knows.

use crate::exchange::Exchanges;
use crate::names::Names;
pub use crate::swim::Refused;
use crate::swim::{DIGEST, Out, Timer, config, look};
use crate::view::{Change, State, View};
use crate::{MOST_MEMBERS, Micros, Peer};
use foca::{Foca, NoCustomBroadcast, PostcardCodec};
use rand::SeedableRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// Changes that wait to be taken.
const MOST_CHANGES: usize = 1_024;
/// What foca may have set for later; far more than it needs for so many members.
const MOST_TIMERS: usize = 4 * MOST_MEMBERS;

/// What a process brings with it.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// Where others reach it.
    pub at: SocketAddr,
    /// A random number, and Unix time in milliseconds.
    pub boot: u64,
    pub epoch: u64,
    pub seed: u64,
    /// Addresses of others by the options, and how many there are in all.
    pub seeds: Vec<SocketAddr>,
    pub named: u32,
}

pub struct Fleet {
    pub(crate) foca: Foca<Peer, PostcardCodec, rand::rngs::SmallRng, NoCustomBroadcast>,
    out: Out,
    /// By due time; those of one time in foca's own order.
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    names: Names,
    pub(crate) members: BTreeMap<SocketAddr, Peer>,
    pub(crate) twins: BTreeSet<String>,
    digest: u64,
    pub(crate) named: u32,
    /// When the view, or that of one that was heard, was last another; when somebody was last heard.
    pub(crate) moved: Micros,
    pub(crate) heard: Micros,
    pub(crate) started: Micros,
    pub(crate) state: State,
    changes: VecDeque<Change>,
    pub(crate) exchanges: Exchanges,
    pub(crate) left: bool,
}

impl Fleet {
    pub fn new(settings: Settings, now: Micros) -> Fleet {
        let Settings { name, at, boot, epoch, seed, seeds, named } = settings;
        let own = Peer { name, at, boot: boot.max(1), epoch, renewals: 0 };
        let rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet {
            names: Names::new(seeds.into_iter().filter(|seed| *seed != at), now),
            foca: Foca::new(own, config(), rng, PostcardCodec),
            out: Out::default(),
            timers: BinaryHeap::new(),
            members: BTreeMap::new(),
            twins: BTreeSet::new(),
            digest: 0,
            named,
            moved: now,
            heard: now,
            started: now,
            state: State::Moving,
            changes: VecDeque::new(),
            exchanges: Exchanges::default(),
            left: false,
        };
        fleet.digest = fleet.new_digest();
        fleet.step(now);
        fleet
    }

    /// Who this process is, at present.
    pub fn own(&self) -> &Peer {
        self.foca.identity()
    }

    /// Others that are there.
    pub fn members(&self) -> impl Iterator<Item = &Peer> {
        self.members.values()
    }

    pub fn view(&self) -> View {
        View {
            state: self.state,
            digest: self.digest,
            members: self.members.len() + 1,
            named: self.named,
            twins: self.twins.iter().cloned().collect(),
        }
    }

    /// Takes what came from a boot, opened.
    pub fn heard(&mut self, now: Micros, boot: u64, payload: &[u8]) -> Result<(), Refused> {
        let (theirs, data) = payload.split_first_chunk::<DIGEST>().ok_or(Refused::Form)?;
        let (known, kept) = (|at| self.members.contains_key(&at), self.foca.iter_membership_state().len());
        let header = look(self.foca.identity(), boot, data, kept, known)?;
        let done = self.foca.handle_data(data, &mut self.out);
        done.map_err(|_| Refused::Form)?;
        self.heard = now;
        self.settle(now);
        // Whoever announces itself, or is held for gone, has a view that does not count yet.
        let counts = self.members.get(&header.src.at).is_some_and(|m| m.boot == header.src.boot);
        if counts {
            let same = u64::from_be_bytes(*theirs) == self.digest;
            self.moved = if same { self.moved } else { now };
            self.exchanges.heard(now, header.src.at, same);
        }
        self.judge(now);
        Ok(())
    }

    /// What is due: probes, suspicions, names to be tried.
    pub fn step(&mut self, now: Micros) {
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, timer))) = self.timers.pop() else { break };
            // A probe that a long stop has cut in two is begun anew by foca itself.
            let _ = self.foca.handle_timer(timer, &mut self.out);
            self.settle(now);
        }
        if !self.left {
            let members = &self.members;
            for at in self.names.due(now, |at| members.contains_key(&at)) {
                let _ = self.foca.announce(Peer::somebody(at), &mut self.out);
            }
        }
        self.settle(now);
        self.judge(now);
    }

    /// It has said goodbye.
    pub fn left(&self) -> bool {
        self.left
    }

    /// Says goodbye; nothing is said after.
    pub fn leave(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.left, true) {
            let _ = self.foca.leave_cluster(&mut self.out);
            self.settle(now);
            self.timers.clear();
        }
    }

    /// Whoever was to take its place did not: it is there again, under a new epoch.
    pub fn back(&mut self, now: Micros) {
        if std::mem::take(&mut self.left)
            && let Some(renewed) = foca::Identity::renew(self.foca.identity())
        {
            let _ = self.foca.change_identity(renewed, &mut self.out);
            self.step(now);
        }
    }

    pub fn next_change(&self) -> Micros {
        let timer = self.timers.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        timer.min(self.next_judgement()).min(self.names.next_change()).min(self.exchanges.next_change())
    }

    /// What is to be sealed and sent, and where.
    pub fn send(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let (to, data) = self.out.datagrams.pop_front()?;
        Some((to, [&self.digest.to_be_bytes()[..], &data].concat()))
    }

    pub fn changes(&mut self) -> Vec<Change> {
        self.changes.drain(..).collect()
    }

    /// Names that are kept, for the operators.
    pub fn names(&self) -> usize {
        self.names.len()
    }

    pub(crate) fn tell(&mut self, change: Change) {
        if self.changes.len() >= MOST_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Takes what a full exchange brought.
    pub(crate) fn apply(&mut self, now: Micros, told: Vec<foca::Member<Peer>>) -> Result<(), Refused> {
        let done = self.foca.apply_many(told.into_iter(), true, &mut self.out);
        self.settle(now);
        self.judge(now);
        done.map_err(|_| Refused::Form)
    }

    /// Takes what foca wants done.
    fn settle(&mut self, now: Micros) {
        for (timer, after) in std::mem::take(&mut self.out.timers) {
            if self.timers.len() < MOST_TIMERS {
                let after = Micros::try_from(after.as_micros()).unwrap_or(Micros::MAX / 2);
                self.timers.push(Reverse((now.saturating_add(after), timer)));
            }
        }
        let told = std::mem::take(&mut self.out.told);
        if told.is_empty() {
            return;
        }
        use foca::OwnedNotification::{MemberDown, MemberUp, Rejoin, Rename};
        for told in told {
            match told {
                MemberUp(peer) => {
                    self.names.heard(now, peer.at);
                    if self.members.is_empty() {
                        self.exchanges.first(now, peer.at);
                    }
                    self.members.insert(peer.at, peer.clone());
                    self.tell(Change::Up(peer));
                }
                MemberDown(peer) => {
                    self.members.remove(&peer.at);
                    self.tell(Change::Gone(peer));
                }
                Rename(before, after) if self.members.contains_key(&before.at) => {
                    self.members.insert(after.at, after.clone());
                    if before.boot != after.boot {
                        self.tell(Change::Up(after));
                    }
                }
                Rejoin(own) => self.tell(Change::Renewed(own.epoch)),
                _ => {}
            }
        }
        let digest = self.new_digest();
        if std::mem::replace(&mut self.digest, digest) != digest {
            self.moved = now;
        }
        self.look_for_twins();
    }
}
