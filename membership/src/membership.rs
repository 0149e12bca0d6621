//! The machine: foca under our identities, with names that are tried, digests that travel, and a view that says what it knows.

use crate::full_exchange::ExchangeSchedule;
use crate::known_addresses::KnownAddresses;
pub use crate::swim::PayloadError;
use crate::swim::{DIGEST_BYTES, FocaOutput, Timer, config, validate};
use crate::view::{MembershipChange, View, ViewState};
use crate::{MAX_MEMBERS, Micros, Peer};
use foca::{Foca, NoCustomBroadcast, PostcardCodec};
use rand::SeedableRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// Changes that wait to be taken.
const MAX_CHANGES: usize = 1_024;
/// What foca may have set for later; far more than it needs for so many members.
const MAX_TIMERS: usize = 4 * MAX_MEMBERS;

/// What a process brings with it.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    pub name: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// A random number, and Unix time in milliseconds.
    pub incarnation: u64,
    pub epoch: u64,
    pub seed: u64,
    /// Addresses of others by the options, and how many there are in all.
    pub seeds: Vec<SocketAddr>,
    pub configured_members: u32,
}

pub struct Membership {
    pub(crate) foca: Foca<Peer, PostcardCodec, rand::rngs::SmallRng, NoCustomBroadcast>,
    output: FocaOutput,
    /// By due time; those of one time in foca's own order.
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    known_addresses: KnownAddresses,
    pub(crate) members: BTreeMap<SocketAddr, Peer>,
    pub(crate) name_conflicts: BTreeSet<String>,
    digest: u64,
    pub(crate) configured_members: u32,
    /// When the view, or that of one that was heard, was last another; when somebody was last heard.
    pub(crate) view_changed_at: Micros,
    pub(crate) last_received_at: Micros,
    pub(crate) started_at: Micros,
    pub(crate) state: ViewState,
    changes: VecDeque<MembershipChange>,
    pub(crate) exchange_schedule: ExchangeSchedule,
    pub(crate) left: bool,
}

impl Membership {
    pub fn new(settings: MembershipSettings, now: Micros) -> Membership {
        let MembershipSettings {
            name,
            address: at,
            incarnation: boot,
            epoch,
            seed,
            seeds,
            configured_members: named,
        } = settings;
        let own = Peer { name, address: at, incarnation: boot.max(1), epoch, renewals: 0 };
        let rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut fleet = Membership {
            known_addresses: KnownAddresses::new(seeds.into_iter().filter(|seed| *seed != at), now),
            foca: Foca::new(own, config(), rng, PostcardCodec),
            output: FocaOutput::default(),
            timers: BinaryHeap::new(),
            members: BTreeMap::new(),
            name_conflicts: BTreeSet::new(),
            digest: 0,
            configured_members: named,
            view_changed_at: now,
            last_received_at: now,
            started_at: now,
            state: ViewState::Changing,
            changes: VecDeque::new(),
            exchange_schedule: ExchangeSchedule::default(),
            left: false,
        };
        fleet.digest = fleet.compute_digest();
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
            configured_members: self.configured_members,
            name_conflicts: self.name_conflicts.iter().cloned().collect(),
        }
    }

    /// Takes what came from a boot, opened.
    pub fn receive(&mut self, now: Micros, boot: u64, payload: &[u8]) -> Result<(), PayloadError> {
        let (theirs, data) = payload.split_first_chunk::<DIGEST_BYTES>().ok_or(PayloadError::Malformed)?;
        let (known, kept) = (|at| self.members.contains_key(&at), self.foca.iter_membership_state().len());
        let header = validate(self.foca.identity(), boot, data, kept, known)?;
        let done = self.foca.handle_data(data, &mut self.output);
        done.map_err(|_| PayloadError::Malformed)?;
        self.last_received_at = now;
        self.apply_output(now);
        // Whoever announces itself, or is held for gone, has a view that does not count yet.
        let counts =
            self.members.get(&header.src.address).is_some_and(|m| m.incarnation == header.src.incarnation);
        if counts {
            let same = u64::from_be_bytes(*theirs) == self.digest;
            self.view_changed_at = if same { self.view_changed_at } else { now };
            self.exchange_schedule.record_digest(now, header.src.address, same);
        }
        self.update_state(now);
        Ok(())
    }

    /// What is due: probes, suspicions, names to be tried.
    pub fn step(&mut self, now: Micros) {
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, timer))) = self.timers.pop() else { break };
            // A probe that a long stop has cut in two is begun anew by foca itself.
            let _ = self.foca.handle_timer(timer, &mut self.output);
            self.apply_output(now);
        }
        if !self.left {
            let members = &self.members;
            for at in self.known_addresses.due(now, |at| members.contains_key(&at)) {
                let _ = self.foca.announce(Peer::unknown_at(at), &mut self.output);
            }
        }
        self.apply_output(now);
        self.update_state(now);
    }

    /// It has said goodbye.
    pub fn left(&self) -> bool {
        self.left
    }

    /// Says goodbye; nothing is said after.
    pub fn leave(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.left, true) {
            let _ = self.foca.leave_cluster(&mut self.output);
            self.apply_output(now);
            self.timers.clear();
        }
    }

    /// Whoever was to take its place did not: it is there again, under a new epoch.
    pub fn rejoin(&mut self, now: Micros) {
        if std::mem::take(&mut self.left)
            && let Some(renewed) = foca::Identity::renew(self.foca.identity())
        {
            let _ = self.foca.change_identity(renewed, &mut self.output);
            self.step(now);
        }
    }

    pub fn next_change(&self) -> Micros {
        let timer = self.timers.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        timer
            .min(self.next_state_change())
            .min(self.known_addresses.next_change())
            .min(self.exchange_schedule.next_change())
    }

    /// What is to be sealed and sent, and where.
    pub fn next_payload(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let (to, data) = self.output.datagrams.pop_front()?;
        Some((to, [&self.digest.to_be_bytes()[..], &data].concat()))
    }

    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        self.changes.drain(..).collect()
    }

    /// Names that are kept, for the operators.
    pub fn known_address_count(&self) -> usize {
        self.known_addresses.len()
    }

    pub(crate) fn push_change(&mut self, change: MembershipChange) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Takes what a full exchange brought.
    pub(crate) fn apply_members(
        &mut self,
        now: Micros,
        told: Vec<foca::Member<Peer>>,
    ) -> Result<(), PayloadError> {
        let done = self.foca.apply_many(told.into_iter(), true, &mut self.output);
        self.apply_output(now);
        self.update_state(now);
        done.map_err(|_| PayloadError::Malformed)
    }

    /// Takes what foca wants done.
    fn apply_output(&mut self, now: Micros) {
        for (timer, after) in std::mem::take(&mut self.output.timers) {
            if self.timers.len() < MAX_TIMERS {
                let after = Micros::try_from(after.as_micros()).unwrap_or(Micros::MAX / 2);
                self.timers.push(Reverse((now.saturating_add(after), timer)));
            }
        }
        let told = std::mem::take(&mut self.output.notifications);
        if told.is_empty() {
            return;
        }
        use foca::OwnedNotification::{MemberDown, MemberUp, Rejoin, Rename};
        for told in told {
            match told {
                MemberUp(peer) => {
                    self.known_addresses.record(now, peer.address);
                    if self.members.is_empty() {
                        self.exchange_schedule.record_first_member(now, peer.address);
                    }
                    self.members.insert(peer.address, peer.clone());
                    self.push_change(MembershipChange::Joined(peer));
                }
                MemberDown(peer) => {
                    self.members.remove(&peer.address);
                    self.push_change(MembershipChange::Removed(peer));
                }
                Rename(before, after) if self.members.contains_key(&before.address) => {
                    self.members.insert(after.address, after.clone());
                    if before.incarnation != after.incarnation {
                        self.push_change(MembershipChange::Joined(after));
                    }
                }
                Rejoin(own) => self.push_change(MembershipChange::EpochRenewed(own.epoch)),
                _ => {}
            }
        }
        let digest = self.compute_digest();
        if std::mem::replace(&mut self.digest, digest) != digest {
            self.view_changed_at = now;
        }
        self.update_name_conflicts();
    }
}
