//! The balancer weight as a control loop over the proxy's pressure.
//!
//! The weight falls linearly (on a logarithmic scale) above a pressure limit. As pressure saturates at 1, that alone
//! can't tell a proxy with half a core from a busy one; so a slow trim goes on lowering the weight while the pressure
//! stays above a second limit, holds within a band below it, and is given back below the band. The weight approaches
//! its target in bounded steps and never reaches 0.

use crate::Micros;
use crate::settings::WeightSettings;

/// Time constant with which the measured pressure is smoothed.
const PRESSURE_TIME_CONSTANT_SECONDS: f64 = 1.0;
/// How fast the trim falls at full pressure (natural logarithm per second).
const TRIM_FALL_PER_S: f64 = 0.1;
/// How fast the trim rises below the band (natural logarithm per second).
const TRIM_RISE_PER_S: f64 = 0.02;
/// The trim holds while the pressure is below `trim_above` by less than this.
const TRIM_BAND: f64 = 0.05;
/// The trim lowers the weight to this fraction at most.
const MIN_TRIM_FACTOR: f64 = 0.1;
/// The weight of a proxy without pressure.
const MAX_PERCENT: f64 = 100.0;

/// The balancer weight and the state of its control loop.
#[derive(Clone, Debug)]
pub(crate) struct Weight {
    /// Natural logarithm of the weight in per cent.
    log_weight: f64,
    /// Natural logarithm of the trim factor.
    log_trim: f64,
    /// Smoothed, from 0 to 1.
    pressure: f64,
    updated_at: Micros,
}

impl Weight {
    /// The full weight, without pressure.
    pub(crate) fn new(now: Micros) -> Weight {
        Weight { log_weight: MAX_PERCENT.ln(), log_trim: 0.0, pressure: 0.0, updated_at: now }
    }

    /// Takes the pressure (0 to 1) of the time since the last call.
    pub(crate) fn record_pressure(&mut self, now: Micros, pressure: f64, settings: &WeightSettings) {
        let seconds = (now - self.updated_at).max(0) as f64 / 1e6;
        self.updated_at = now;
        let pressure = if pressure.is_finite() { pressure.clamp(0.0, 1.0) } else { 1.0 };
        self.pressure += (pressure - self.pressure) * smoothing(seconds, PRESSURE_TIME_CONSTANT_SECONDS);
        self.update_trim(seconds, settings);
        self.approach_target(seconds, settings);
    }

    /// Lowers, holds or gives back the trim, by the pressure of the past seconds.
    fn update_trim(&mut self, seconds: f64, settings: &WeightSettings) {
        let limit = settings.trim_above;
        if self.pressure > limit {
            self.log_trim -= seconds * TRIM_FALL_PER_S * (self.pressure - limit) / (1.0 - limit);
        } else if self.pressure < limit - TRIM_BAND {
            self.log_trim += seconds * TRIM_RISE_PER_S;
        }
        self.log_trim = self.log_trim.clamp(MIN_TRIM_FACTOR.ln(), 0.0);
    }

    /// Moves the weight towards its target, by a bounded factor.
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

    /// The smoothed pressure, from 0 to 1.
    pub(crate) fn pressure(&self) -> f64 {
        self.pressure
    }

    /// The weight in per cent, 1 at least.
    pub(crate) fn percent(&self) -> u8 {
        self.log_weight.exp().round().clamp(1.0, MAX_PERCENT) as u8
    }
}

/// The fraction of the distance to its target that a first-order filter covers in this time.
fn smoothing(seconds: f64, time_constant_seconds: f64) -> f64 {
    1.0 - (-seconds / time_constant_seconds).exp()
}
