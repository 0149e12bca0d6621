//! Running means that decisions are based on, among them the usual latency of each request class. They decide nothing
//! themselves and know no server, event or clock.

use crate::interface::{ClassId, Micros, RequestClass};

#[cfg(test)]
mod tests;

/// Weight of a new sample in the mean and the mean deviation of latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;
/// Fraction of the latency objective that is the first estimate of latency and of its deviation.
const INITIAL_LATENCY_FRACTION: f64 = 0.125;
/// Minimum of a latency bound: a request that is looked at again without a delay would find nothing changed.
pub(crate) const MIN_WAKE_DELAY: Micros = 1_000;

/// Moves a running mean towards a new sample.
pub(crate) fn update_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}

/// Estimated latency of a class of which no answer has been seen, in microseconds.
pub(crate) fn initial_latency(class: &RequestClass) -> f64 {
    class.latency_objective as f64 * INITIAL_LATENCY_FRACTION
}

/// Mean latency of a class, and its mean deviation, in microseconds.
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

/// Latency estimates of all classes, by [`ClassId`].
pub(crate) struct LatencyEstimates(Vec<LatencyEstimate>);

impl LatencyEstimates {
    /// Initial estimates of these classes.
    pub(crate) fn new(classes: &[RequestClass]) -> LatencyEstimates {
        LatencyEstimates(classes.iter().map(LatencyEstimate::new).collect())
    }

    /// Keeps the estimates of classes that stayed the same; those of all others start again.
    pub(crate) fn apply_classes(&mut self, before: &[RequestClass], after: &[RequestClass]) {
        self.0.resize(after.len(), LatencyEstimate::default());
        for (index, class) in after.iter().enumerate() {
            if before.get(index) != Some(class) {
                self.0[index] = LatencyEstimate::new(class);
            }
        }
    }

    /// Records the latency of an attempt of the class.
    pub(crate) fn record(&mut self, class: ClassId, latency: Micros) {
        self.0[class.index()].record(latency as f64);
    }

    /// The mean latency of a class.
    pub(crate) fn mean(&self, class: ClassId) -> Micros {
        self.0[class.index()].mean as Micros
    }

    /// The mean latency of a class plus a number of mean deviations.
    pub(crate) fn upper_bound(&self, class: ClassId, deviations: f64) -> Micros {
        let LatencyEstimate { mean, mean_deviation } = self.0[class.index()];
        ((mean + deviations * mean_deviation) as Micros).max(MIN_WAKE_DELAY)
    }
}
