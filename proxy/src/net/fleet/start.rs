//! The fleet in the event loop: starts it, handles its timer, and passes its results to the other subsystems.

use super::super::EventLoop;
use super::super::admin::AdminReports;
use super::super::error::{EventLoopError, ListenError, ListenPurpose};
use super::super::gossip::MembershipSync;
use super::super::timer_events::TimerEvent;
use super::FleetMembership;
use crate::fleet::FleetMetrics;
use crate::observe::shared;
use crate::units::MICROS_PER_MILLI;
use birchreach::Micros;
use birchreach_membership::{GossipReports, Membership, MembershipSettings};
use birchreach_peer_state::datagram::DatagramCodec;
use std::io::ErrorKind;

impl EventLoop {
    /// Joins the fleet, if the options enable it.
    pub(in crate::net) fn start_fleet(&mut self) -> Result<(), EventLoopError> {
        let (Some(options), Some(keys)) = (&self.config.options.fleet, &self.config.fleet_keys) else {
            return Ok(());
        };
        let address = options.listen;
        let failed = |error| ListenError { purpose: ListenPurpose::Fleet, address, error };
        let mut incarnation = [0; 8];
        getrandom::fill(&mut incarnation)?;
        let incarnation = u64::from_be_bytes(incarnation);
        let settings = self.membership_settings(options, incarnation)?;
        let membership = shared(Membership::new(settings, self.context.now));
        let mut fleet = FleetMembership {
            socket: None,
            listen: options.listen,
            membership: membership.clone(),
            gossip_reports: GossipReports::new(incarnation, self.config.seed ^ incarnation.rotate_left(32)),
            new_reports: Vec::new(),
            datagrams: DatagramCodec::new(keys.clone(), incarnation),
            metrics: FleetMetrics::new(),
            timer_at: Micros::MAX,
            may_have_unread: false,
            is_replaced: false,
            has_left: false,
        };
        match fleet.open(self.context.poll.registry()) {
            // The predecessor still has the address, so the fleet's timer tries again.
            Err(error)
                if error.kind() == ErrorKind::AddrInUse && self.config.inherited_descriptor.is_some() => {}
            other => other.map_err(failed)?,
        }
        let sync = MembershipSync::new(options.listen, keys.clone(), membership);
        self.gossip.get_or_insert_default().set_membership_sync(sync);
        self.fleet = Some(fleet);
        self.handle_fleet_timer();
        Ok(())
    }

    /// Derives the settings of the membership from the configuration. Fails if the proxy's name is too long or contains control
    /// characters.
    fn membership_settings(
        &self,
        options: &birchreach_options::FleetOptions,
        incarnation: u64,
    ) -> Result<MembershipSettings, EventLoopError> {
        let name = self.config.name.clone();
        if name.len() > birchreach_membership::MAX_NAME_BYTES || name.chars().any(char::is_control) {
            let max_bytes = birchreach_membership::MAX_NAME_BYTES;
            return Err(EventLoopError::FleetName { max_bytes });
        }
        Ok(MembershipSettings {
            name,
            address: options.advertise,
            incarnation,
            epoch: u64::try_from(self.context.now / MICROS_PER_MILLI).unwrap_or(0),
            rng_seed: self.config.seed ^ incarnation,
            seed_addresses: options.peers.clone(),
            configured_members: options.configured_members,
        })
    }

    /// Returns the answers of the admin listener about the fleet and the subsystems that depend on it. They are empty without a
    /// fleet.
    pub(in crate::net) fn admin_reports(&self) -> AdminReports {
        let Some(fleet) = &self.fleet else { return AdminReports::default() };
        let (background, view) = (self.background.as_ref(), fleet.view());
        let (divisor, member_count) = (view.quota_divisor(), view.member_count);
        let background_metrics = background.map_or_else(String::new, |work| work.metrics_text(member_count));
        AdminReports {
            fleet: Some(fleet.status_lines(self.context.now)),
            hot: background.and_then(|work| work.hot_key_lines(self.context.now, divisor)),
            split: background.and_then(|work| work.split_lines(member_count, divisor)),
            metrics: Some(fleet.metrics_text() + &background_metrics + "# EOF\n"),
        }
    }

    /// Handles the fleet's timer when it is due.
    pub(in crate::net) fn handle_fleet_timer(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.process_timer(&self.context);
            self.apply_fleet_changes();
        }
    }

    /// Applies the results of a call of [`FleetMembership`], and must follow each of these calls. Sets the fleet's timer, opens
    /// or closes the listener for full exchanges, passes new reports to the background tasks and starts a full exchange that is
    /// due.
    pub(in crate::net) fn apply_fleet_changes(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        let due_exchange = fleet.membership.borrow_mut().due_exchange(self.context.now);
        let due_exchange = due_exchange.filter(|_| fleet.is_active());
        if let Some(at) = fleet.reschedule_timer(self.context.now) {
            self.context.timers.set(at, TimerEvent::Fleet);
        }
        let (is_active, new_reports) = (fleet.is_active(), fleet.take_new_reports());
        if let Some(gossip) = &mut self.gossip {
            gossip.set_active(self.context.poll.registry(), is_active);
        }
        if let Some(background) = &mut self.background {
            background.receive_reports(self.context.now, new_reports);
        }
        if let (Some(peer), Some(gossip)) = (due_exchange, &mut self.gossip) {
            gossip.begin_exchange(&mut self.context, peer);
            self.apply_gossip_progress();
        }
    }
}
