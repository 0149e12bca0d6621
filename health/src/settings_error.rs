//! Which settings contradict one another. The errors name options as the options file does.

use crate::Micros;
use crate::settings::{HealthSettings, IdleGroupPolicy, ProbeSettings};
use std::fmt;

/// Settings that contradict one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The silence limit with probes exceeds the one without.
    ProbedSilenceLimitTooLong,
    /// An unresponsive primary would be reported later than promised.
    DetectionTooSlow,
    /// A capability would have to stay available while its primary is known to be unresponsive.
    MinTimeAvailableTooLong,
    /// The restore delay starts above its limit.
    RestoreDelayAboveLimit,
    /// The trim would begin before the weight is reduced.
    TrimBelowReduction,
    /// The proxy would be overloaded before the trim begins.
    OverloadBelowTrim,
    /// Idle groups are withdrawn, and nothing would ever prove them again.
    IdleGroupsNeverRestored,
    /// A proof would expire before the next probe.
    ProbeIntervalTooLong,
    /// A slow server would count as unresponsive before its probe times out.
    ProbeTimeoutTooLong,
    /// A group may be probed more often than all groups together.
    GroupRateAboveTotal,
}

/// An unresponsive primary must be reported within this time.
const MAX_DETECTION_MICROS: Micros = 2_000_000;
/// The part of it that is reserved for delays of a busy event loop.
const EVENT_LOOP_ALLOWANCE_MICROS: Micros = 100_000;

impl SettingsError {
    /// The option at fault, by its name in the options file.
    pub fn option(self) -> &'static str {
        match self {
            SettingsError::ProbedSilenceLimitTooLong => "hang-probed-ms",
            SettingsError::DetectionTooSlow => "hang-ms",
            SettingsError::MinTimeAvailableTooLong => "hold-able-ms",
            SettingsError::RestoreDelayAboveLimit => "rise-ms",
            SettingsError::TrimBelowReduction => "knee",
            SettingsError::OverloadBelowTrim => "hot",
            SettingsError::IdleGroupsNeverRestored => "idle",
            SettingsError::ProbeIntervalTooLong => "every-ms",
            SettingsError::ProbeTimeoutTooLong => "timeout-ms",
            SettingsError::GroupRateAboveTotal => "group-per-s",
        }
    }

    /// What is wrong with the option's value.
    fn message(self) -> &'static str {
        match self {
            SettingsError::ProbedSilenceLimitTooLong => "above hang-ms",
            SettingsError::DetectionTooSlow => "with fall-ms, a hang would be told later than after 1.9 s",
            SettingsError::MinTimeAvailableTooLong => "above the time after which a hang is told",
            SettingsError::RestoreDelayAboveLimit => "above rise-most-ms",
            SettingsError::TrimBelowReduction => "not below hot",
            SettingsError::OverloadBelowTrim => "not below overload-at",
            SettingsError::IdleGroupsNeverRestored => {
                "with withdraw and no probes, an idle group would never be claimed again"
            }
            SettingsError::ProbeIntervalTooLong => "above half of window-ms",
            SettingsError::ProbeTimeoutTooLong => {
                "with suspect-ms, above hang-probed-ms: a slow server would be told as a silent one"
            }
            SettingsError::GroupRateAboveTotal => "above whole-per-s",
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.option(), self.message())
    }
}

impl std::error::Error for SettingsError {}

impl HealthSettings {
    /// The contradictions that the options' schema can't express: sums and orders of values.
    pub fn errors(&self) -> Vec<SettingsError> {
        let detection = self.silence_limit_unprobed + self.withdraw_after;
        let idle_groups_restorable =
            self.idle_groups == IdleGroupPolicy::TrustEndpointList || self.probes.is_some();
        let mut errors = violated([
            (
                self.silence_limit_probed <= self.silence_limit_unprobed,
                SettingsError::ProbedSilenceLimitTooLong,
            ),
            (
                detection + EVENT_LOOP_ALLOWANCE_MICROS <= MAX_DETECTION_MICROS,
                SettingsError::DetectionTooSlow,
            ),
            (self.min_time_available <= self.silence_limit(), SettingsError::MinTimeAvailableTooLong),
            (self.restore_after <= self.restore_after_max, SettingsError::RestoreDelayAboveLimit),
            (self.weight.reduce_above < self.weight.trim_above, SettingsError::TrimBelowReduction),
            (self.weight.trim_above < self.overload_pressure, SettingsError::OverloadBelowTrim),
            (idle_groups_restorable, SettingsError::IdleGroupsNeverRestored),
        ]);
        errors.extend(self.probes.iter().flat_map(|probes| self.probe_errors(probes)));
        errors
    }

    /// The contradictions between probes and the other settings.
    fn probe_errors(&self, probes: &ProbeSettings) -> Vec<SettingsError> {
        let response_due_after = probes.suspect_after + probes.timeout;
        violated([
            (probes.interval * 2 <= self.proof_window, SettingsError::ProbeIntervalTooLong),
            (response_due_after <= self.silence_limit_probed, SettingsError::ProbeTimeoutTooLong),
            (probes.group_rate_per_s <= probes.total_rate_per_s, SettingsError::GroupRateAboveTotal),
        ])
    }
}

/// The errors of the rules that don't hold.
fn violated<const RULES: usize>(rules: [(bool, SettingsError); RULES]) -> Vec<SettingsError> {
    rules.into_iter().filter(|(holds, _)| !holds).map(|(_, error)| error).collect()
}
