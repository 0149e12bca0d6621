//! Which settings contradict one another. The errors name options as the options file does.

use crate::Micros;
use crate::settings::{HealthSettings, IdleGroupPolicy};
use std::fmt;

/// Settings that contradict one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The option at fault, by its name in the options file.
    pub option: &'static str,
    /// What is wrong with its value.
    pub message: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.option, self.message)
    }
}

impl std::error::Error for SettingsError {}

/// An unresponsive primary must be reported within this time.
const MAX_DETECTION_MICROS: Micros = 2_000_000;
/// The part of it that is reserved for delays of a busy event loop.
const EVENT_LOOP_ALLOWANCE_MICROS: Micros = 100_000;

impl HealthSettings {
    /// The contradictions that the options' schema can't express: sums and orders of values.
    pub fn errors(&self) -> Vec<SettingsError> {
        let mut errors = Vec::new();
        let mut require = |holds: bool, option, message| {
            if !holds {
                errors.push(SettingsError { option, message });
            }
        };
        require(self.silence_limit_probed <= self.silence_limit_unprobed, "hang-probed-ms", "above hang-ms");
        let detection = self.silence_limit_unprobed + self.withdraw_after;
        require(
            detection + EVENT_LOOP_ALLOWANCE_MICROS <= MAX_DETECTION_MICROS,
            "hang-ms",
            "with fall-ms, a hang would be told later than after 1.9 s",
        );
        require(
            self.min_time_available <= self.silence_limit(),
            "hold-able-ms",
            "above the time after which a hang is told",
        );
        require(self.restore_after <= self.restore_after_max, "rise-ms", "above rise-most-ms");
        require(self.weight.reduce_above < self.weight.trim_above, "knee", "not below hot");
        require(self.weight.trim_above < self.overload_pressure, "hot", "not below overload-at");
        require(
            self.idle_groups == IdleGroupPolicy::TrustEndpointList || self.probes.is_some(),
            "idle",
            "with withdraw and no probes, an idle group would never be claimed again",
        );
        if let Some(probes) = &self.probes {
            require(probes.interval * 2 <= self.proof_window, "every-ms", "above half of window-ms");
            require(
                probes.suspect_after + probes.timeout <= self.silence_limit_probed,
                "timeout-ms",
                "with suspect-ms, above hang-probed-ms: a slow server would be told as a silent one",
            );
            require(probes.group_rate_per_s <= probes.total_rate_per_s, "group-per-s", "above whole-per-s");
        }
        errors
    }
}
