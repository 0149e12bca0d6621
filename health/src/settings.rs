//! What the operators set, and whether it can hold together.

use crate::Micros;

/// What is claimed of a group that nothing was heard of within the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleGroupPolicy {
    /// What the list says, as long as nothing that was heard speaks against it.
    TrustEndpointList,
    /// Nothing.
    Withdraw,
}

/// What a cause that all proxies share does to the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedCausePolicy {
    /// It is told where the capability is asked for, and the whole stays in rotation.
    StayInRotation,
    /// With no primary in any group, the whole is not able.
    ReportDown,
}

/// What being overloaded does to the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadPolicy {
    /// The weight falls as far as it may.
    ReduceWeight,
    /// The whole is not able.
    ReportDown,
}

/// When the sum of a capability over all groups is able.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AggregationRule {
    /// With one group that is.
    AnyGroup,
    /// With all groups.
    AllGroups,
}

/// Whom a class of requests needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequiredServer {
    Primary,
    AnyMember,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    pub name: String,
    pub needs: RequiredServer,
}

/// When a server may be asked for a sign of life unasked by any request, and how often at most.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeSettings {
    /// A group of which nothing was proven for so long is asked.
    pub interval: Micros,
    /// A server that owes an answer for so long is asked.
    pub suspect_after: Micros,
    /// A probe that is out for so long is lost.
    pub timeout: Micros,
    /// Probes a second at most, for each group and for all.
    pub group_rate_per_s: f64,
    pub total_rate_per_s: f64,
}

/// How the weight follows the pressure.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightSettings {
    /// Up to this pressure (0 to 1) the weight is 100.
    pub reduce_above: f64,
    /// The weight at full pressure, in per cent.
    pub percent_at_full_pressure: f64,
    /// The weight moves at most by this factor a second, up and down.
    pub max_rise_factor_per_s: f64,
    pub max_fall_factor_per_s: f64,
    /// It goes to where it belongs within about this time: some times longer than balancers take to follow.
    pub settling_time: Micros,
    /// Above this pressure the weight goes on falling until the pressure is below.
    pub trim_above: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    pub classes: Vec<RequestClass>,
    pub idle_groups: IdleGroupPolicy,
    pub shared_causes: SharedCausePolicy,
    pub overload: OverloadPolicy,
    pub aggregation: AggregationRule,
    /// A proof counts for so long.
    pub proof_window: Micros,
    /// Bad news must last this long to be told, good news that long; it doubles with each fall within a minute, up to
    /// `rise_most`.
    pub withdraw_after: Micros,
    pub restore_after: Micros,
    pub restore_after_max: Micros,
    /// Being able, and not being able, is held at least so long.
    pub min_time_available: Micros,
    pub min_time_unavailable: Micros,
    /// A server that owes answers and gives no sign of life for so long is silent. The shorter time counts where probes
    /// tell slow from silent.
    pub silence_limit_unprobed: Micros,
    pub silence_limit_probed: Micros,
    /// Discovery that was not heard for so long is lost.
    pub discovery_lost_after: Micros,
    /// From this pressure on the proxy is overloaded.
    pub overload_pressure: f64,
    pub probes: Option<ProbeSettings>,
    pub weight: WeightSettings,
    /// For what proxies must not do in step.
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
            discovery_lost_after: 30_000_000,
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

/// Something that cannot hold together; `field` is the option's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    pub option: &'static str,
    pub message: &'static str,
}

/// Within this time a hang must be told, and this much of it is kept for the turns of a busy loop.
const TOLD: Micros = 2_000_000;
const TURNS: Micros = 100_000;

impl HealthSettings {
    /// The silence that speaks against a server.
    pub fn silence_limit(&self) -> Micros {
        if self.probes.is_some() { self.silence_limit_probed } else { self.silence_limit_unprobed }
    }

    /// What the options' schema cannot say: sums and orders of values.
    pub fn errors(&self) -> Vec<SettingsError> {
        let mut faults = Vec::new();
        let mut must = |holds: bool, field, message| {
            if !holds {
                faults.push(SettingsError { option: field, message });
            }
        };
        must(self.silence_limit_probed <= self.silence_limit_unprobed, "hang-probed-ms", "above hang-ms");
        must(
            self.silence_limit_unprobed + self.withdraw_after + TURNS <= TOLD,
            "hang-ms",
            "with fall-ms, a hang would be told later than after 1.9 s",
        );
        must(
            self.min_time_available <= self.silence_limit(),
            "hold-able-ms",
            "above the time after which a hang is told",
        );
        must(self.restore_after <= self.restore_after_max, "rise-ms", "above rise-most-ms");
        must(self.weight.reduce_above < self.weight.trim_above, "knee", "not below hot");
        must(self.weight.trim_above < self.overload_pressure, "hot", "not below overload-at");
        must(
            self.idle_groups == IdleGroupPolicy::TrustEndpointList || self.probes.is_some(),
            "idle",
            "with withdraw and no probes, an idle group would never be claimed again",
        );
        if let Some(probes) = &self.probes {
            must(probes.interval * 2 <= self.proof_window, "every-ms", "above half of window-ms");
            must(
                probes.suspect_after + probes.timeout <= self.silence_limit_probed,
                "timeout-ms",
                "with suspect-ms, above hang-probed-ms: a slow server would be told as a silent one",
            );
            must(probes.group_rate_per_s <= probes.total_rate_per_s, "group-per-s", "above whole-per-s");
        }
        faults
    }
}
