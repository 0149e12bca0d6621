//! The overall state of the proxy. It combines the lifecycle of the process, the proxy's own faults and the states of
//! its groups.

use crate::connectivity::Connectivity;
use crate::group::GroupState;
use crate::hysteresis::{Observation, ReportedCapability};
use crate::labels::{Reason, State};
use crate::server_table::Servers;
use crate::settings::{HealthSettings, OverloadPolicy, SharedCausePolicy};
use crate::verdict::{Capability, Change, GroupVerdict, Verdict};
use crate::weight::Weight;
use crate::{GroupId, Micros, earliest};
use std::collections::BTreeMap;

type Groups = BTreeMap<GroupId, GroupState>;

/// The state that concerns the proxy itself and none of its groups.
pub(crate) struct ProxyHealth {
    /// True once an endpoint list was received.
    pub list_received: bool,
    /// The process will not be ready before this time.
    pub ready_at: Micros,
    /// When another process takes over; `None` if no handover is announced.
    pub handover_at: Option<Micros>,
    /// The graceful shutdown has begun.
    pub stopping: bool,
    /// An operator has taken the proxy out of rotation.
    pub in_maintenance: bool,
    pub connectivity: Connectivity,
    pub weight: Weight,
    /// Available while the pressure is below the overload limit.
    below_overload: ReportedCapability,
}

impl ProxyHealth {
    /// Creates the state of a proxy that starts now and has no endpoint list yet.
    pub(crate) fn new(now: Micros) -> ProxyHealth {
        ProxyHealth {
            list_received: false,
            ready_at: now,
            handover_at: None,
            stopping: false,
            in_maintenance: false,
            connectivity: Connectivity::new(now),
            weight: Weight::new(now),
            below_overload: ReportedCapability::new(now),
        }
    }

    /// Recomputes connectivity and overload. Returns when the overall state may change next without an event.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        servers: &Servers,
        settings: &HealthSettings,
    ) -> Option<Micros> {
        let connectivity = self.connectivity.update(now, servers, settings);
        let observed = if self.weight.pressure() >= settings.overload_pressure {
            Observation::unavailable(Reason::Overloaded)
        } else {
            Observation::available(Reason::Proven)
        };
        self.below_overload.observe(now, observed, settings);
        let lifecycle =
            earliest(Some(self.ready_at).filter(|at| *at > now), self.handover_at.filter(|at| *at > now));
        earliest(connectivity, earliest(self.below_overload.changes_at(settings), lifecycle))
    }

    /// Returns the most significant state that applies, and its reason.
    fn classify(&self, now: Micros, groups: &Groups) -> (State, Reason) {
        if self.in_maintenance {
            (State::Maintenance, Reason::Maintenance)
        } else if self.stopping {
            (State::Draining, Reason::Draining)
        } else if self.handover_at.is_some_and(|at| now >= at) {
            (State::Draining, Reason::Replaced)
        } else if now < self.ready_at || !self.list_received {
            (State::Starting, Reason::Starting)
        } else if !self.connectivity.is_available() {
            (State::Isolated, Reason::Isolated)
        } else if !self.below_overload.available {
            (State::Overloaded, Reason::Overloaded)
        } else if !groups.values().any(|group| group.write.available) {
            (State::NoPrimary, most_severe_reason(groups))
        } else if !groups.values().all(|group| group.write.available && group.read.available) {
            (State::Degraded, most_severe_reason(groups))
        } else {
            (State::Ready, Reason::Proven)
        }
    }
}

/// Returns the most severe reason why a capability of any group is unavailable.
fn most_severe_reason(groups: &Groups) -> Reason {
    let capabilities = groups.values().flat_map(|group| [&group.write, &group.read]);
    let unavailable = capabilities.filter(|capability| !capability.available);
    unavailable.map(|capability| capability.reason).max().unwrap_or(Reason::NoGroups)
}

/// Returns whether balancers may send work to a proxy in this state.
fn is_available(state: State, settings: &HealthSettings) -> bool {
    match state {
        State::Maintenance | State::Draining | State::Starting | State::Isolated => false,
        State::Overloaded => settings.overload == OverloadPolicy::ReduceWeight,
        State::NoPrimary => settings.shared_causes == SharedCausePolicy::StayInRotation,
        State::Degraded | State::Ready => true,
    }
}

impl Verdict {
    /// Updates the verdict from the states of the proxy and its groups. Returns the change of the overall state, if
    /// any.
    pub(crate) fn refresh(
        &mut self,
        now: Micros,
        proxy: &ProxyHealth,
        groups: &Groups,
        settings: &HealthSettings,
    ) -> Option<Change> {
        let (state, reason) = proxy.classify(now, groups);
        let available = is_available(state, settings);
        let percent = proxy.weight.percent();
        let unchanged = self.overall.available == available && self.state == state;
        self.overall = Capability {
            available,
            partial: available && matches!(state, State::Degraded | State::NoPrimary),
            reason,
            since: if unchanged { self.overall.since } else { now },
            weight_percent: if available { percent } else { 0 },
        };
        // A fault of the proxy itself makes every group unavailable. A cause that all proxies share does not.
        let own_fault = (!available && state != State::NoPrimary).then_some(self.overall);
        let groups = groups.iter().map(|(&id, group)| group_verdict(id, group, percent, own_fault));
        self.groups = groups.collect();
        self.discovery_responded_at = proxy.connectivity.discovery_responded_at;
        self.pressure = proxy.weight.pressure();
        let from = std::mem::replace(&mut self.state, state);
        (from != state).then_some(Change::State { from, to: state, reason })
    }
}

/// Builds the verdict on one group. A fault of the proxy itself overrides the group's own state.
fn group_verdict(
    id: GroupId,
    group: &GroupState,
    percent: u8,
    own_fault: Option<Capability>,
) -> GroupVerdict {
    let capability = |reported: &ReportedCapability| {
        own_fault.unwrap_or(Capability {
            available: reported.available,
            partial: false,
            reason: reported.reason,
            since: reported.since,
            weight_percent: if reported.available { percent } else { 0 },
        })
    };
    GroupVerdict {
        group: id,
        read: capability(&group.read),
        write: capability(&group.write),
        proven_primary: group.primary_proof.map(|proof| proof.server),
        proven_at: group.primary_proof.map(|proof| proof.at),
        accepting_servers: group.accepting_members,
    }
}
