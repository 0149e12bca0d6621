//! The balancer weight, a control loop over the proxy's pressure.
//!
//! Above a pressure limit, the logarithm of the weight falls linearly with the pressure. Pressure saturates at 1, so
//! this rule alone can't distinguish a proxy with half a core from a busy one. A slow trim therefore lowers the weight
//! further while the pressure stays above a second limit. Within a band below that limit the trim stays constant, and
//! below the band the trim recovers. The weight approaches its target in bounded steps and never reaches 0.

use crate::Micros;
use crate::settings::WeightSettings;

/// The time constant with which the measured pressure is smoothed.
const PRESSURE_TIME_CONSTANT_SECONDS: f64 = 1.0;
/// The rate at which the trim falls at full pressure, as a change of its natural logarithm per second.
const TRIM_FALL_PER_S: f64 = 0.1;
/// The rate at which the trim recovers below the band, as a change of its natural logarithm per second.
const TRIM_RISE_PER_S: f64 = 0.02;
/// The trim stays constant while the pressure is below `trim_above` by no more than this.
const TRIM_BAND: f64 = 0.05;
/// The smallest factor by which the trim multiplies the weight.
const MIN_TRIM_FACTOR: f64 = 0.1;
/// The weight of a proxy without pressure.
const MAX_PERCENT: f64 = 100.0;

/// The balancer weight and the state of its control loop.
#[derive(Clone, Debug)]
pub(crate) struct Weight {
    /// The natural logarithm of the weight in per cent.
    log_weight: f64,
    /// The natural logarithm of the trim factor.
    log_trim: f64,
    /// The measured pressure (0 to 1), smoothed with [`PRESSURE_TIME_CONSTANT_SECONDS`].
    pressure: f64,
    updated_at: Micros,
}

impl Weight {
    /// Starts with the full weight and without pressure.
    pub(crate) fn new(now: Micros) -> Weight {
        Weight { log_weight: MAX_PERCENT.ln(), log_trim: 0.0, pressure: 0.0, updated_at: now }
    }

    /// Records the pressure (0 to 1) measured since the last call and adjusts the weight.
    pub(crate) fn record_pressure(&mut self, now: Micros, pressure: f64, settings: &WeightSettings) {
        let seconds = (now - self.updated_at).max(0) as f64 / 1e6;
        self.updated_at = now;
        let pressure = if pressure.is_finite() { pressure.clamp(0.0, 1.0) } else { 1.0 };
        self.pressure += (pressure - self.pressure) * smoothing(seconds, PRESSURE_TIME_CONSTANT_SECONDS);
        self.update_trim(seconds, settings);
        self.approach_target(seconds, settings);
    }

    /// Lowers, keeps or raises the trim factor, depending on the smoothed pressure.
    fn update_trim(&mut self, seconds: f64, settings: &WeightSettings) {
        let limit = settings.trim_above;
        if self.pressure > limit {
            self.log_trim -= seconds * TRIM_FALL_PER_S * (self.pressure - limit) / (1.0 - limit);
        } else if self.pressure < limit - TRIM_BAND {
            self.log_trim += seconds * TRIM_RISE_PER_S;
        }
        self.log_trim = self.log_trim.clamp(MIN_TRIM_FACTOR.ln(), 0.0);
    }

    /// Moves the weight towards its target by a bounded factor.
    fn approach_target(&mut self, seconds: f64, settings: &WeightSettings) {
        let limit = settings.reduce_above;
        let excess = ((self.pressure - limit) / (1.0 - limit)).clamp(0.0, 1.0);
        let log_reduction = excess * (settings.percent_at_full_pressure / 100.0).ln();
        let target = MAX_PERCENT.ln() + log_reduction + self.log_trim;
        let settling_seconds = settings.settling_time.max(1) as f64 / 1e6;
        let step = (target - self.log_weight) * smoothing(seconds, settling_seconds);
        let max_fall = seconds * settings.max_fall_factor_per_s.ln();
        let max_rise = seconds * settings.max_rise_factor_per_s.ln();
        self.log_weight += step.clamp(-max_fall, max_rise);
    }

    /// Returns the smoothed pressure, from 0 to 1.
    pub(crate) fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Returns the weight in per cent, at least 1.
    pub(crate) fn percent(&self) -> u8 {
        self.log_weight.exp().round().clamp(1.0, MAX_PERCENT) as u8
    }
}

/// Returns the fraction of the distance to its target that a first-order filter covers in this time.
fn smoothing(seconds: f64, time_constant_seconds: f64) -> f64 {
    1.0 - (-seconds / time_constant_seconds).exp()
}
