//! The settings of the monitor and their defaults. The XML options file uses other names for them, which
//! `options/src/health.rs` maps to these settings.

use crate::Micros;

/// How an idle group is reported. A group is idle without a proof within the proof window and without evidence against
/// its primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleGroupPolicy {
    /// Writes are available unless the endpoint list names no primary.
    TrustEndpointList,
    /// Writes are unavailable.
    Withdraw,
}

/// Whether the proxy stays available if no group has a primary, which is a cause that all proxies share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedCausePolicy {
    /// The proxy stays in rotation. Only the affected capabilities are unavailable.
    StayInRotation,
    /// The overall capability is unavailable, so that balancers take the proxy out of rotation.
    ReportDown,
}

/// Whether the proxy stays available while it is overloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadPolicy {
    /// The proxy stays available with a reduced weight.
    ReduceWeight,
    /// The proxy and all its groups are reported as unavailable.
    ReportDown,
}

/// When an operation counts as available in a query over all groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AggregationRule {
    /// The operation must be available in at least one group.
    AnyGroup,
    /// The operation must be available in every group.
    AllGroups,
}

/// The server that a class of requests needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequiredServer {
    /// Only the primary can serve the class.
    Primary,
    /// Any server of the group can serve the class.
    AnyMember,
}

/// A class of requests that balancers may ask for by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// The name of the class in the proxy's settings.
    pub name: String,
    /// Determines whether the class is available with the group's writes or with its reads.
    pub needs: RequiredServer,
}

/// When servers are probed, and the limits on the rate of probes.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeSettings {
    /// A primary without a proof for this long is probed.
    pub interval: Micros,
    /// A primary that is silent for this long is probed.
    pub suspect_after: Micros,
    /// A probe without an answer ends after this time.
    pub timeout: Micros,
    /// The maximum number of probes per second to one group.
    pub group_rate_per_s: f64,
    /// The maximum number of probes per second to all groups together.
    pub total_rate_per_s: f64,
}

/// How the balancer weight follows the pressure. Module `weight` describes the control loop.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightSettings {
    /// Up to this pressure (0 to 1) the weight is 100.
    pub reduce_above: f64,
    /// The weight in per cent at a pressure of 1, before the trim.
    pub percent_at_full_pressure: f64,
    /// The weight rises by at most this factor per second.
    pub max_rise_factor_per_s: f64,
    /// The weight falls by at most this factor per second.
    pub max_fall_factor_per_s: f64,
    /// The time constant with which the weight approaches its target. It must exceed the time that balancers take to
    /// act on a weight; otherwise the control loop oscillates.
    pub settling_time: Micros,
    /// Above this pressure (0 to 1) the trim lowers the weight further.
    pub trim_above: f64,
}

/// The policies, delays and limits by which a monitor derives its verdict and requests probes.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// The classes of requests that balancers may ask for.
    pub classes: Vec<RequestClass>,
    /// How the writes of idle groups are reported.
    pub idle_groups: IdleGroupPolicy,
    /// Whether the proxy stays available if no group has a primary.
    pub shared_causes: SharedCausePolicy,
    /// Whether the proxy stays available while it is overloaded.
    pub overload: OverloadPolicy,
    /// When an operation counts as available in a query over all groups.
    pub aggregation: AggregationRule,
    /// A server's report that it is the primary is valid for this long.
    pub proof_window: Micros,
    /// A capability must be observed as unavailable for this long before it is withdrawn.
    pub withdraw_after: Micros,
    /// A capability must be observed as available for this long before it is restored. The delay doubles with each
    /// withdrawal within a minute of the previous one.
    pub restore_after: Micros,
    /// The upper limit of the doubled restore delay.
    pub restore_after_max: Micros,
    /// A capability stays available for at least this long.
    pub min_time_available: Micros,
    /// A capability stays unavailable for at least this long.
    pub min_time_unavailable: Micros,
    /// Without probes, a server counts as unresponsive after it was silent for this long with a request in flight.
    pub silence_limit_unprobed: Micros,
    /// With probes, a server counts as unresponsive after it was silent for this long with a request or a probe in
    /// flight. Probes distinguish a slow server from an unresponsive one.
    pub silence_limit_probed: Micros,
    /// Discovery counts as unavailable after it has not responded for this long.
    pub discovery_timeout: Micros,
    /// The proxy is overloaded at this pressure (0 to 1) or above.
    pub overload_pressure: f64,
    /// The settings of probes. If `None`, the monitor requests no probes.
    pub probes: Option<ProbeSettings>,
    /// How the balancer weight follows the pressure.
    pub weight: WeightSettings,
    /// Determines the jitter of probes.
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
    /// Returns how long a server may be silent while something is in flight before it counts as unresponsive.
    pub fn silence_limit(&self) -> Micros {
        if self.probes.is_some() { self.silence_limit_probed } else { self.silence_limit_unprobed }
    }
}
