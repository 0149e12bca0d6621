//! The settings of the monitor and the rules that hold among them. The XML options file calls them by other names,
//! which `options/src/health.rs` maps.

use crate::Micros;

/// What is reported of a group without a proof within the window and without evidence against it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleGroupPolicy {
    /// What the endpoint list says.
    TrustEndpointList,
    /// Its writes are unavailable.
    Withdraw,
}

/// What a cause that all proxies share (no primary in any group) does to the proxy as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedCausePolicy {
    /// It stays in rotation; only the capability concerned is unavailable.
    StayInRotation,
    /// It is unavailable.
    ReportDown,
}

/// What overload does to the proxy as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadPolicy {
    /// It stays available with a reduced weight.
    ReduceWeight,
    /// It is unavailable.
    ReportDown,
}

/// When an operation over all groups is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AggregationRule {
    /// If it is in at least one group.
    AnyGroup,
    /// If it is in all groups.
    AllGroups,
}

/// The server that a class of requests needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequiredServer {
    /// The primary.
    Primary,
    /// Any server of the group.
    AnyMember,
}

/// A class of requests that balancers may ask for by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// Its name in the proxy's settings.
    pub name: String,
    /// The server that it needs.
    pub needs: RequiredServer,
}

/// When servers are probed, and how often at most.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeSettings {
    /// The primary of a group without a proof for this long is probed.
    pub interval: Micros,
    /// A primary that is silent for this long is probed.
    pub suspect_after: Micros,
    /// The timeout of a probe.
    pub timeout: Micros,
    /// The most probes a second to one group.
    pub group_rate_per_s: f64,
    /// The most probes a second to all groups together.
    pub total_rate_per_s: f64,
}

/// How the weight follows the pressure, see `weight`.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightSettings {
    /// Up to this pressure (0 to 1) the weight is 100.
    pub reduce_above: f64,
    /// The weight in per cent at a pressure of 1, before the trim.
    pub percent_at_full_pressure: f64,
    /// The weight rises at most by this factor a second.
    pub max_rise_factor_per_s: f64,
    /// The weight falls at most by this factor a second.
    pub max_fall_factor_per_s: f64,
    /// Time constant with which the weight approaches its target. It must exceed the time that balancers take to act
    /// on a weight, or the loop oscillates.
    pub settling_time: Micros,
    /// Above this pressure the trim lowers the weight further.
    pub trim_above: f64,
}

/// The settings of a monitor.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// The classes of requests that balancers may ask for.
    pub classes: Vec<RequestClass>,
    /// What is reported of idle groups.
    pub idle_groups: IdleGroupPolicy,
    /// What a shared cause does to the proxy as a whole.
    pub shared_causes: SharedCausePolicy,
    /// What overload does to the proxy as a whole.
    pub overload: OverloadPolicy,
    /// When an operation over all groups is available.
    pub aggregation: AggregationRule,
    /// How long a server's report that it is the primary counts.
    pub proof_window: Micros,
    /// A capability must be observed as unavailable for this long before it is withdrawn.
    pub withdraw_after: Micros,
    /// A capability must be observed as available for this long before it is restored. Doubles with each withdrawal
    /// within a minute of the last.
    pub restore_after: Micros,
    /// The limit of that doubling.
    pub restore_after_max: Micros,
    /// A capability stays available for at least this long.
    pub min_time_available: Micros,
    /// A capability stays unavailable for at least this long.
    pub min_time_unavailable: Micros,
    /// Without probes, a server that owes a response and is silent for this long counts as unresponsive.
    pub silence_limit_unprobed: Micros,
    /// The same with probes, which tell a slow server from an unresponsive one.
    pub silence_limit_probed: Micros,
    /// Discovery that has not responded for this long counts as unavailable.
    pub discovery_timeout: Micros,
    /// From this pressure on the proxy is overloaded.
    pub overload_pressure: f64,
    /// Probes are sent if this is set.
    pub probes: Option<ProbeSettings>,
    /// How the weight follows the pressure.
    pub weight: WeightSettings,
    /// For the jitter of probes.
    pub seed: u64,
}

impl Default for HealthSettings {
    fn default() -> HealthSettings {
        HealthSettings {
            classes: Vec::new(),
            idle_groups: IdleGroupPolicy::TrustEndpointList,
            shared_causes: SharedCausePolicy::StayInRotation,
            overload: OverloadPolicy::ReduceWeight,
            aggregation: AggregationRule::AnyGroup,
            proof_window: 15_000_000,
            withdraw_after: 100_000,
            restore_after: 1_000_000,
            restore_after_max: 30_000_000,
            min_time_available: 500_000,
            min_time_unavailable: 1_000_000,
            silence_limit_unprobed: 1_700_000,
            silence_limit_probed: 1_000_000,
            discovery_timeout: 30_000_000,
            overload_pressure: 0.98,
            probes: None,
            weight: WeightSettings::default(),
            seed: 1,
        }
    }
}

impl Default for WeightSettings {
    fn default() -> WeightSettings {
        WeightSettings {
            reduce_above: 0.6,
            percent_at_full_pressure: 20.0,
            max_rise_factor_per_s: 1.05,
            max_fall_factor_per_s: 1.2,
            settling_time: 10_000_000,
            trim_above: 0.95,
        }
    }
}

impl Default for ProbeSettings {
    fn default() -> ProbeSettings {
        ProbeSettings {
            interval: 800_000,
            suspect_after: 400_000,
            timeout: 500_000,
            group_rate_per_s: 4.0,
            total_rate_per_s: 20.0,
        }
    }
}

impl HealthSettings {
    /// For how long a server that owes a response may be silent.
    pub fn silence_limit(&self) -> Micros {
        if self.probes.is_some() { self.silence_limit_probed } else { self.silence_limit_unprobed }
    }
}
