//! How the loop comes by the fleet's driver, and how it lends it out: its datagrams, its listener for links, and whom it wants to meet.

use super::super::EventLoop;
use super::super::admin::AdminReports;
use super::super::error::{EventLoopError, ListenError, ListenPurpose};
use super::super::gossip::MembershipSync;
use super::super::timer_events::TimerEvent;
use super::FleetMembership;
use crate::fleet::Metrics;
use crate::observe::shared;
use birchreach::Micros;
use birchreach_membership::{GossipReports, Membership, MembershipSettings};
use birchreach_peer_state::datagram::DatagramCodec;
use std::io::ErrorKind;

impl EventLoop {
    /// The view of the fleet is kept, where the options say so.
    pub(in crate::net) fn start_fleet(&mut self) -> Result<(), EventLoopError> {
        let (Some(options), Some(keys)) = (&self.config.options.fleet, &self.config.fleet_keys) else {
            return Ok(());
        };
        let address = options.listen;
        let failed = |error| ListenError { purpose: ListenPurpose::Fleet, address, error };
        let mut boot = [0; 8];
        getrandom::fill(&mut boot)?;
        let boot = u64::from_be_bytes(boot);
        let name = self.config.name.clone();
        if name.len() > birchreach_membership::MAX_NAME_BYTES || name.chars().any(char::is_control) {
            let max_bytes = birchreach_membership::MAX_NAME_BYTES;
            return Err(EventLoopError::FleetName { max_bytes });
        }
        let settings = MembershipSettings {
            name,
            address: options.advertise,
            incarnation: boot,
            epoch: u64::try_from(self.context.now / 1_000).unwrap_or(0),
            seed: self.config.seed ^ boot,
            seeds: options.peers.clone(),
            configured_members: options.named,
        };
        let machine = shared(Membership::new(settings, self.context.now));
        let mut fellows = FleetMembership {
            socket: None,
            listen: options.listen,
            registry: self.context.registry.try_clone().map_err(failed)?,
            machine: machine.clone(),
            gossip_reports: GossipReports::new(boot, self.config.seed ^ boot.rotate_left(32)),
            fresh: Vec::new(),
            datagrams: DatagramCodec::new(keys.clone(), boot),
            metrics: Metrics::new(),
            armed: Micros::MAX,
            unread: false,
            replaced: false,
            left: false,
        };
        match fellows.open() {
            // The process that this one replaces still has it.
            Err(e) if e.kind() == ErrorKind::AddrInUse && self.config.inherited.is_some() => {}
            other => other.map_err(failed)?,
        }
        let views = MembershipSync::new(options.listen, keys.clone(), machine);
        self.gossip.get_or_insert_default().view(views);
        self.fleet = Some(fellows);
        self.fleet_due();
        Ok(())
    }

    /// What operators are told of the fleet and of what stands on it.
    pub(in crate::net) fn admin_reports(&self) -> AdminReports {
        let Some(fellows) = &self.fleet else { return AdminReports::default() };
        let (background, view) = (self.background.as_ref(), fellows.view());
        let (divisor, heard) = (view.divisor(), view.members);
        let more = background.map_or_else(String::new, |work| work.metrics_text(heard));
        AdminReports {
            fleet: Some(fellows.lines(self.context.now)),
            hot: background.and_then(|work| work.hot_key_lines(self.context.now, divisor)),
            split: background.and_then(|work| work.split_lines(heard, divisor)),
            metrics: Some(fellows.metrics() + &more + "# EOF\n"),
        }
    }

    /// The fleet's timer is due.
    pub(in crate::net) fn fleet_due(&mut self) {
        if let Some(fellows) = &mut self.fleet {
            fellows.due(self.context.now);
            self.after_fleet();
        }
    }

    /// Follows each call of the fleet's driver: its timer is set, and gossip and the background subsystems are told what has
    /// come of the call.
    pub(in crate::net) fn after_fleet(&mut self) {
        let Some(fellows) = &mut self.fleet else { return };
        let exchange =
            fellows.machine.borrow_mut().due_exchange(self.context.now).filter(|_| fellows.speaks());
        if let Some(at) = fellows.wake(self.context.now) {
            self.context.timers.set(at, TimerEvent::Fleet);
        }
        let (speaks, fresh) = (fellows.speaks(), fellows.fresh());
        if let Some(gossip) = &mut self.gossip {
            gossip.speak(&self.context.registry, speaks);
        }
        if let Some(background) = &mut self.background {
            background.receive_reports(self.context.now, fresh);
        }
        if let (Some(peer), Some(gossip)) = (exchange, &mut self.gossip) {
            gossip.exchange(&mut self.context, peer);
            self.after_gossip();
        }
    }
}
