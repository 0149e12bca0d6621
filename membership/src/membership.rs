//! The membership itself: `foca` with our identities, retried addresses, digests of views, and a view with its state.

use crate::full_exchange::ExchangeSchedule;
use crate::known_addresses::KnownAddresses;
use crate::swim::{DIGEST_BYTES, FocaOutput, OutgoingPayload, PayloadError, Timer, config, validate};
use crate::view::{MembershipChange, View, ViewState};
use crate::{Micros, Peer};
use foca::{Foca, NoCustomBroadcast, PostcardCodec};
use rand::SeedableRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// The settings that a process starts with.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Its name in the configuration.
    pub name: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// A random number.
    pub incarnation: u64,
    /// Unix time in milliseconds.
    pub epoch: u64,
    /// The seed of random choices among members.
    pub rng_seed: u64,
    /// Addresses of others by the options.
    pub seed_addresses: Vec<SocketAddr>,
    /// Members by the options, this one included.
    pub configured_members: u32,
}

/// The membership of the fleet as one process sees it.
pub struct Membership {
    pub(crate) foca: Foca<Peer, PostcardCodec, rand::rngs::SmallRng, NoCustomBroadcast>,
    pub(crate) output: FocaOutput,
    /// By due time; those of one time in foca's own order.
    pub(crate) timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    pub(crate) known_addresses: KnownAddresses,
    /// Other live members.
    pub(crate) members: BTreeMap<SocketAddr, Peer>,
    /// Names that two members have.
    pub(crate) name_conflicts: BTreeSet<String>,
    /// The digest of the view.
    pub(crate) digest: u64,
    pub(crate) configured_members: u32,
    /// When the view last changed, or another member last had a different one.
    pub(crate) view_changed_at: Micros,
    pub(crate) last_received_at: Micros,
    pub(crate) started_at: Micros,
    pub(crate) state: ViewState,
    /// Changes that the caller has not taken yet.
    pub(crate) changes: VecDeque<MembershipChange>,
    pub(crate) exchange_schedule: ExchangeSchedule,
    /// This process has left the fleet.
    pub(crate) left: bool,
}

impl Membership {
    /// The membership of a process that starts now.
    pub fn new(settings: MembershipSettings, now: Micros) -> Membership {
        let MembershipSettings {
            name,
            address,
            incarnation,
            epoch,
            rng_seed,
            seed_addresses,
            configured_members,
        } = settings;
        let own = Peer { name, address, incarnation: incarnation.max(1), epoch, renewals: 0 };
        let rng = rand::rngs::SmallRng::seed_from_u64(rng_seed);
        let others = seed_addresses.into_iter().filter(|seed| *seed != address);
        let mut membership = Membership {
            known_addresses: KnownAddresses::new(others, now),
            foca: Foca::new(own, config(), rng, PostcardCodec),
            output: FocaOutput::default(),
            timers: BinaryHeap::new(),
            members: BTreeMap::new(),
            name_conflicts: BTreeSet::new(),
            digest: 0,
            configured_members,
            view_changed_at: now,
            last_received_at: now,
            started_at: now,
            state: ViewState::Changing,
            changes: VecDeque::new(),
            exchange_schedule: ExchangeSchedule::default(),
            left: false,
        };
        membership.digest = membership.compute_digest();
        membership.step(now);
        membership
    }

    /// This process's current identity.
    pub fn identity(&self) -> &Peer {
        self.foca.identity()
    }

    /// Other live members.
    pub fn members(&self) -> impl Iterator<Item = &Peer> {
        self.members.values()
    }

    /// This process's view now.
    pub fn view(&self) -> View {
        View {
            state: self.state,
            digest: self.digest,
            member_count: self.members.len() + 1,
            configured_members: self.configured_members,
            name_conflicts: self.name_conflicts.iter().cloned().collect(),
        }
    }

    /// Applies the payload of an opened datagram, whose sender has this incarnation.
    ///
    /// # Errors
    ///
    /// The reason why the payload is rejected.
    pub fn receive(
        &mut self,
        now: Micros,
        sender_incarnation: u64,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let (digest, data) = payload.split_first_chunk::<DIGEST_BYTES>().ok_or(PayloadError::Malformed)?;
        let kept = self.foca.iter_membership_state().len();
        let is_known = |address| self.members.contains_key(&address);
        let header = validate(self.foca.identity(), sender_incarnation, data, kept, is_known)?;
        self.foca.handle_data(data, &mut self.output).map_err(|_| PayloadError::Malformed)?;
        self.last_received_at = now;
        self.apply_output(now);
        // The view of a sender that only announces itself, or counts as failed, is not compared yet.
        let sender = self.members.get(&header.src.address);
        if sender.is_some_and(|member| member.incarnation == header.src.incarnation) {
            let is_same = u64::from_be_bytes(*digest) == self.digest;
            self.view_changed_at = if is_same { self.view_changed_at } else { now };
            self.exchange_schedule.record_digest(now, header.src.address, is_same);
        }
        self.update_state(now);
        Ok(())
    }

    /// Runs the timers that are due: probes, suspicions, retried addresses.
    pub fn step(&mut self, now: Micros) {
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, timer))) = self.timers.pop() else { break };
            // An error means that the process was paused during a probe; foca then begins a new one.
            let _ = self.foca.handle_timer(timer, &mut self.output);
            self.apply_output(now);
        }
        if !self.left {
            let members = &self.members;
            for address in self.known_addresses.due(now, |address| members.contains_key(&address)) {
                let _ = self.foca.announce(Peer::unknown_at(address), &mut self.output);
            }
        }
        self.apply_output(now);
        self.update_state(now);
    }

    /// Whether this process has left.
    pub fn left(&self) -> bool {
        self.left
    }

    /// Leaves the fleet: the others are notified, and nothing is sent afterwards.
    pub fn leave(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.left, true) {
            let _ = self.foca.leave_cluster(&mut self.output);
            self.apply_output(now);
            self.timers.clear();
        }
    }

    /// Joins again under a new epoch, after the process that was to replace this one failed to.
    pub fn rejoin(&mut self, now: Micros) {
        if std::mem::take(&mut self.left)
            && let Some(renewed) = foca::Identity::renew(self.foca.identity())
        {
            let _ = self.foca.change_identity(renewed, &mut self.output);
            self.step(now);
        }
    }

    /// When [`Membership::step`] is due, if nothing is received.
    pub fn next_change(&self) -> Micros {
        let timer = self.timers.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        timer
            .min(self.next_state_change())
            .min(self.known_addresses.next_change())
            .min(self.exchange_schedule.next_change())
    }

    /// The next payload to be sealed and sent, and its recipient.
    pub fn next_payload(&mut self) -> Option<OutgoingPayload> {
        let OutgoingPayload { recipient, payload } = self.output.payloads.pop_front()?;
        Some(OutgoingPayload { recipient, payload: [&self.digest.to_be_bytes()[..], &payload].concat() })
    }

    /// Addresses that are retried when they are outside the view.
    pub fn known_address_count(&self) -> usize {
        self.known_addresses.len()
    }
}
