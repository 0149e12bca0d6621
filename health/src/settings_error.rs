//! Validation of the settings against one another. The errors use the option names of the options file.
use crate::Micros;
use crate::settings::{HealthSettings, IdleGroupPolicy, ProbeSettings};
use std::fmt;

/// A contradiction between two or more settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The silence limit with probes exceeds the limit without probes.
    ProbedSilenceLimitTooLong,
    /// An unresponsive primary would be reported later than after 2 s.
    DetectionTooSlow,
    /// A capability would have to stay available while its primary is known to be unresponsive.
    MinTimeAvailableTooLong,
    /// The initial restore delay exceeds its upper limit.
    RestoreDelayAboveLimit,
    /// The trim would begin before the weight is reduced.
    TrimBelowReduction,
    /// The proxy would be overloaded before the trim begins.
    OverloadBelowTrim,
    /// Writes to idle groups are withdrawn, and without probes nothing would restore them.
    IdleGroupsNeverRestored,
    /// A proof would expire before the next probe.
    ProbeIntervalTooLong,
    /// A slow server would count as unresponsive before its probe times out.
    ProbeTimeoutTooLong,
    /// A group may be probed more often than all groups together.
    GroupRateAboveTotal,
}

/// The maximum time until an unresponsive primary must be reported.
const MAX_DETECTION_MICROS: Micros = 2_000_000;
/// The part of the detection time that is reserved for delays of a busy event loop.
const EVENT_LOOP_ALLOWANCE_MICROS: Micros = 100_000;

impl SettingsError {
    /// Returns the name of the invalid option in the options file.
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

    /// Returns the requirement that the option's value violates.
    fn message(self) -> &'static str {
        match self {
            SettingsError::ProbedSilenceLimitTooLong => "must not exceed hang-ms",
            SettingsError::DetectionTooSlow => {
                "hang-ms plus fall-ms must not exceed 1.9 s, so that an unresponsive primary is reported within 2 s"
            }
            SettingsError::MinTimeAvailableTooLong => {
                "must not exceed the time after which a server counts as unresponsive (hang-ms, or hang-probed-ms with \
                 probes)"
            }
            SettingsError::RestoreDelayAboveLimit => "must not exceed rise-most-ms",
            SettingsError::TrimBelowReduction => "must be below hot",
            SettingsError::OverloadBelowTrim => "must be below overload-at",
            SettingsError::IdleGroupsNeverRestored => {
                "withdraw requires probes, because nothing else would restore the writes of an idle group"
            }
            SettingsError::ProbeIntervalTooLong => "must not exceed half of window-ms",
            SettingsError::ProbeTimeoutTooLong => {
                "suspect-ms plus timeout-ms must not exceed hang-probed-ms, so that a slow server is not reported as \
                 unresponsive"
            }
            SettingsError::GroupRateAboveTotal => "must not exceed whole-per-s",
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
    /// Returns the contradictions between the settings, in a fixed order. The schema of the options file can't express
    /// them, because they concern sums and the order of values.
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

    /// Returns the contradictions between the settings of probes and the other settings.
    fn probe_errors(&self, probes: &ProbeSettings) -> Vec<SettingsError> {
        let response_due_after = probes.suspect_after + probes.timeout;
        violated([
            (probes.interval * 2 <= self.proof_window, SettingsError::ProbeIntervalTooLong),
            (response_due_after <= self.silence_limit_probed, SettingsError::ProbeTimeoutTooLong),
            (probes.group_rate_per_s <= probes.total_rate_per_s, SettingsError::GroupRateAboveTotal),
        ])
    }
}

/// Returns the errors of the violated rules.
fn violated<const RULES: usize>(rules: [(bool, SettingsError); RULES]) -> Vec<SettingsError> {
    rules.into_iter().filter(|(holds, _)| !holds).map(|(_, error)| error).collect()
}
