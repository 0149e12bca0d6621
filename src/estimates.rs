//! Running means, among them the latency estimate of each request class. The estimates do not depend on servers, events
//! or the clock; the policy modules base their decisions on them.

use crate::interface::{ClassId, Micros, RequestClass};

#[cfg(test)]
mod tests;

/// Weight of a new sample in the mean and the mean deviation of latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;
/// Initial estimate of the latency, and of its deviation, as a fraction of the latency objective.
const INITIAL_LATENCY_FRACTION: f64 = 0.125;
/// Minimum delay until a request is evaluated again, and minimum of a latency bound. Without a delay, the evaluation
/// would find nothing changed.
pub(crate) const MIN_WAKEUP_DELAY: Micros = 1_000;

/// Moves a running mean towards a new sample.
pub(crate) fn update_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}

/// Estimated latency of a class before its first sample, in microseconds.
pub(crate) fn initial_latency(class: &RequestClass) -> f64 {
    class.latency_objective as f64 * INITIAL_LATENCY_FRACTION
}

/// Mean and mean deviation of the latency of a class, in microseconds.
#[derive(Clone, Copy, Default)]
struct LatencyEstimate {
    mean: f64,
    mean_deviation: f64,
}

impl LatencyEstimate {
    fn new(class: &RequestClass) -> Self {
        LatencyEstimate { mean: initial_latency(class), mean_deviation: initial_latency(class) }
    }

    fn record(&mut self, latency: f64) {
        let deviation = (latency - self.mean).abs();
        update_mean(&mut self.mean_deviation, deviation, LATENCY_SAMPLE_WEIGHT);
        update_mean(&mut self.mean, latency, LATENCY_SAMPLE_WEIGHT);
    }
}

/// Latency estimates of all classes, indexed by [`ClassId`].
pub(crate) struct LatencyEstimates(Vec<LatencyEstimate>);

impl LatencyEstimates {
    pub(crate) fn new(classes: &[RequestClass]) -> LatencyEstimates {
        LatencyEstimates(classes.iter().map(LatencyEstimate::new).collect())
    }

    /// Keeps the estimates of unchanged classes and resets those of all others.
    pub(crate) fn apply_classes(&mut self, before: &[RequestClass], after: &[RequestClass]) {
        self.0.resize(after.len(), LatencyEstimate::default());
        for (index, class) in after.iter().enumerate() {
            if before.get(index) != Some(class) {
                self.0[index] = LatencyEstimate::new(class);
            }
        }
    }

    /// Updates the estimate of a class by the latency of one attempt.
    pub(crate) fn record(&mut self, class: ClassId, latency: Micros) {
        self.0[class.index()].record(latency as f64);
    }

    pub(crate) fn mean(&self, class: ClassId) -> Micros {
        self.0[class.index()].mean as Micros
    }

    /// Mean latency of a class plus this number of mean deviations, but at least [`MIN_WAKEUP_DELAY`].
    pub(crate) fn upper_bound(&self, class: ClassId, deviations: f64) -> Micros {
        let LatencyEstimate { mean, mean_deviation } = self.0[class.index()];
        ((mean + deviations * mean_deviation) as Micros).max(MIN_WAKEUP_DELAY)
    }
}
