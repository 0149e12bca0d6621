//! The weight of the whole as a control loop: a droop line and, above it, a slow trim, approached in bounded steps. Owns
//! the smoothed pressure; never sets the weight to nothing.
//!
//! Pressure is measured up to 1 only, so the line alone cannot tell a proxy with half a core from a busy one: the trim
//! goes on lowering the weight while the pressure stays hot, holds within a band, and is given back below it.

use crate::Micros;
use crate::settings::WeightSettings;

/// The pressure that is told is smoothed over this time.
const SMOOTH: f64 = 1.0;
/// The trim's pace: at full pressure by this much a second (in the logarithm), and back by that.
const TRIM_DOWN: f64 = 0.1;
const TRIM_UP: f64 = 0.02;
/// Below `hot` by less than this, the trim holds.
const BAND: f64 = 0.05;
const LEAST_TRIM: f64 = 0.1;

#[derive(Clone, Debug)]
pub(crate) struct Weight {
    /// Logarithms: of the weight, and of the trim.
    weight: f64,
    trim: f64,
    pressure: f64,
    at: Micros,
}

impl Weight {
    pub fn new(now: Micros) -> Weight {
        Weight { weight: 100f64.ln(), trim: 0.0, pressure: 0.0, at: now }
    }

    /// Takes the pressure (0 to 1) of the time since it was last told.
    pub fn press(&mut self, now: Micros, pressure: f64, s: &WeightSettings) {
        let seconds = (now - self.at).max(0) as f64 / 1e6;
        self.at = now;
        let pressure = if pressure.is_finite() { pressure.clamp(0.0, 1.0) } else { 1.0 };
        let toward = |span: f64| 1.0 - (-seconds / span).exp();
        self.pressure += (pressure - self.pressure) * toward(SMOOTH);
        if self.pressure > s.trim_above {
            self.trim -= seconds * TRIM_DOWN * (self.pressure - s.trim_above) / (1.0 - s.trim_above);
        } else if self.pressure < s.trim_above - BAND {
            self.trim += seconds * TRIM_UP;
        }
        self.trim = self.trim.clamp(LEAST_TRIM.ln(), 0.0);
        let over = ((self.pressure - s.reduce_above) / (1.0 - s.reduce_above)).clamp(0.0, 1.0);
        let goal = 100f64.ln() + over * (s.percent_at_full_pressure / 100.0).ln() + self.trim;
        let step = (goal - self.weight) * toward(s.settling_time.max(1) as f64 / 1e6);
        self.weight +=
            step.clamp(-seconds * s.max_fall_factor_per_s.ln(), seconds * s.max_rise_factor_per_s.ln());
    }

    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// In per cent, 1 at least.
    pub fn percent(&self) -> u8 {
        self.weight.exp().round().clamp(1.0, 100.0) as u8
    }
}
