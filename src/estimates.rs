//! Running estimates that the decisions read: what answers of each class take. An estimate decides nothing by itself; it sees no server,
//! no event and no clock.

use crate::interface::*;

/// Weight of a new sample in a running mean.
const MEAN_SAMPLE_WEIGHT: f64 = 0.1;
/// Before any answer, the share of the class's aim taken for mean and deviation of latency.
const INITIAL_LATENCY_FRACTION: f64 = 0.125;
/// The least time that counts as late: a wake at the present would find nothing changed, without end.
pub const MIN_WAKE_DELAY: Micros = 1_000;

/// Moves a running mean towards a new sample.
pub fn update_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}

/// What an answer takes, as long as nothing else is known: a small part of its class's aim.
pub fn initial_latency(class: &RequestClass) -> f64 {
    class.latency_objective as f64 * INITIAL_LATENCY_FRACTION
}

/// Mean and mean deviation of the latency of each class.
pub struct LatencyEstimates(Vec<(f64, f64)>);

impl LatencyEstimates {
    pub fn new(classes: &[RequestClass]) -> LatencyEstimates {
        LatencyEstimates(classes.iter().map(|c| (initial_latency(c), initial_latency(c))).collect())
    }

    /// What was learnt of a class is void where another has its number now; all else stands.
    pub fn apply_classes(&mut self, before: &[RequestClass], after: &[RequestClass]) {
        self.0.resize(after.len(), (0.0, 0.0));
        for (i, c) in after.iter().enumerate().filter(|(i, c)| before.get(*i) != Some(*c)) {
            self.0[i] = (initial_latency(c), initial_latency(c));
        }
    }

    /// An attempt of the class took so long.
    pub fn record(&mut self, class: usize, took: Micros) {
        let (mean, dev) = &mut self.0[class];
        update_mean(dev, (took as f64 - *mean).abs(), MEAN_SAMPLE_WEIGHT);
        update_mean(mean, took as f64, MEAN_SAMPLE_WEIGHT);
    }

    pub fn mean(&self, class: usize) -> Micros {
        self.0[class].0 as Micros
    }

    /// The mean latency of a class and some mean deviations more.
    pub fn upper_bound(&self, class: usize, deviations: f64) -> Micros {
        let (mean, dev) = self.0[class];
        ((mean + deviations * dev) as Micros).max(MIN_WAKE_DELAY)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn class(aim: Micros) -> RequestClass {
        RequestClass {
            consistency: Consistency::Any,
            idempotency: Idempotency::Idempotent,
            latency_objective: aim,
            client_timeout: 2 * aim,
            priority_weight: 1.0,
            late_weight_fraction: 0.0,
        }
    }

    #[test]
    fn means_follow_samples_and_a_class_that_is_another_begins_anew() {
        let before = [class(800_000), class(400_000)];
        let mut all = LatencyEstimates::new(&before);
        assert_eq!((all.mean(0), all.upper_bound(0, 2.0)), (100_000, 300_000));
        (0..200).for_each(|_| all.record(0, 20_000));
        assert!((20_000..20_100).contains(&all.mean(0)) && all.upper_bound(0, 4.0) < 22_000);
        let after = [class(800_000), class(1_600_000), class(8_000)];
        all.apply_classes(&before, &after);
        assert!(all.mean(0) < 20_100, "it is the same class");
        assert_eq!((all.mean(1), all.mean(2)), (200_000, 1_000));
        (0..200).for_each(|_| all.record(2, 0));
        assert_eq!(all.upper_bound(2, 4.0), MIN_WAKE_DELAY, "never at once");
    }
}
