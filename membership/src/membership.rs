//! [`Membership`]: connects `foca` with the retries of known addresses, the comparison of views and the view's state.

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

/// Identity and configuration of a process that starts.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Name of the process in the configuration, at most [`MAX_NAME_BYTES`](crate::MAX_NAME_BYTES) bytes.
    pub name: String,
    /// Address at which other members send datagrams to this process.
    pub address: SocketAddr,
    /// Random number that identifies the process; 0 is replaced with 1.
    pub incarnation: u64,
    /// Unix time at the start, in milliseconds.
    pub epoch: u64,
    /// Seed of the random number generator that selects members.
    pub rng_seed: u64,
    /// Configured addresses that the process contacts to join the fleet.
    pub seed_addresses: Vec<SocketAddr>,
    /// Configured number of members, including this process.
    pub configured_members: u32,
}

/// Membership of the fleet, as seen by one process.
pub struct Membership {
    pub(crate) foca: Foca<Peer, PostcardCodec, rand::rngs::SmallRng, NoCustomBroadcast>,
    pub(crate) output: FocaOutput,
    /// Ordered by due time. Timers due at the same time are in foca's order.
    pub(crate) timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    pub(crate) known_addresses: KnownAddresses,
    /// Live members except this process.
    pub(crate) members: BTreeMap<SocketAddr, Peer>,
    /// Names shared by two or more members.
    pub(crate) name_conflicts: BTreeSet<String>,
    pub(crate) digest: u64,
    pub(crate) configured_members: u32,
    /// When the view last changed, or last differed from the view of another member.
    pub(crate) view_changed_at: Micros,
    pub(crate) last_received_at: Micros,
    pub(crate) started_at: Micros,
    pub(crate) state: ViewState,
    pub(crate) changes: VecDeque<MembershipChange>,
    pub(crate) exchange_schedule: ExchangeSchedule,
    pub(crate) has_left: bool,
}

impl Membership {
    /// Creates the membership of a process that starts at `now`.
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
            has_left: false,
        };
        membership.digest = membership.compute_digest();
        membership.step(now);
        membership
    }

    /// Returns the current identity of this process. A renewal of the epoch changes it.
    pub fn identity(&self) -> &Peer {
        self.foca.identity()
    }

    /// Returns the live members except this process.
    pub fn members(&self) -> impl Iterator<Item = &Peer> {
        self.members.values()
    }

    /// Returns the current view of this process.
    pub fn view(&self) -> View {
        View {
            state: self.state,
            digest: self.digest,
            member_count: self.members.len() + 1,
            configured_members: self.configured_members,
            name_conflicts: self.name_conflicts.iter().cloned().collect(),
        }
    }

    /// Applies the payload of an authenticated datagram. `sender_incarnation` is the sender in the datagram's header.
    ///
    /// # Errors
    ///
    /// The reason for rejecting the payload. A payload that fails validation changes nothing.
    pub fn receive(
        &mut self,
        now: Micros,
        sender_incarnation: u64,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let (digest, data) = payload.split_first_chunk::<DIGEST_BYTES>().ok_or(PayloadError::Malformed)?;
        let stored_members = self.foca.iter_membership_state().len();
        let is_known = |address| self.members.contains_key(&address);
        let header = validate(self.foca.identity(), sender_incarnation, data, stored_members, is_known)?;
        self.foca.handle_data(data, &mut self.output).map_err(|_| PayloadError::Malformed)?;
        self.last_received_at = now;
        self.apply_output(now);
        // The digest is ignored while the sender is not a live member: it announces itself or is considered failed.
        let sender = self.members.get(&header.src.address);
        if sender.is_some_and(|member| member.incarnation == header.src.incarnation) {
            let is_same = u64::from_be_bytes(*digest) == self.digest;
            self.view_changed_at = if is_same { self.view_changed_at } else { now };
            self.exchange_schedule.record_digest(now, header.src.address, is_same);
        }
        self.update_state(now);
        Ok(())
    }

    /// Runs all due timers (probes, suspicions, gossip) and retries of known addresses, and updates the view's state.
    pub fn step(&mut self, now: Micros) {
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, timer))) = self.timers.pop() else { break };
            // foca returns an error if the process was paused during a probe. It then starts a new probe.
            let _ = self.foca.handle_timer(timer, &mut self.output);
            self.apply_output(now);
        }
        if !self.has_left {
            let members = &self.members;
            for address in self.known_addresses.due(now, |address| members.contains_key(&address)) {
                let _ = self.foca.announce(Peer::unknown_at(address), &mut self.output);
            }
        }
        self.apply_output(now);
        self.update_state(now);
    }

    /// Returns whether this process has left the fleet and not rejoined.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// Leaves the fleet. The payloads that notify other members are queued; no further payloads are created.
    pub fn leave(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.has_left, true) {
            let _ = self.foca.leave_cluster(&mut self.output);
            self.apply_output(now);
            self.timers.clear();
        }
    }

    /// Joins again under a new epoch. Used when the process that should have replaced this one failed to start.
    pub fn rejoin(&mut self, now: Micros) {
        if std::mem::take(&mut self.has_left)
            && let Some(renewed) = foca::Identity::renew(self.foca.identity())
        {
            let _ = self.foca.change_identity(renewed, &mut self.output);
            self.step(now);
        }
    }

    /// Returns when [`Membership::step`] is due next, unless a payload is received earlier.
    pub fn next_change(&self) -> Micros {
        let timer = self.timers.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        timer
            .min(self.next_state_change())
            .min(self.known_addresses.next_change())
            .min(self.exchange_schedule.next_change())
    }

    /// Removes and returns the next payload to be sent, with its recipient.
    pub fn next_payload(&mut self) -> Option<OutgoingPayload> {
        let OutgoingPayload { recipient, payload } = self.output.payloads.pop_front()?;
        Some(OutgoingPayload { recipient, payload: [&self.digest.to_be_bytes()[..], &payload].concat() })
    }

    /// Returns the number of addresses that are retried while they are outside the view.
    pub fn known_address_count(&self) -> usize {
        self.known_addresses.len()
    }
}
