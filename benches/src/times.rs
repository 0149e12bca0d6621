//! A histogram of measured durations.

use hdrhistogram::Histogram;
use std::time::Duration;

const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// Measured durations, recorded in microseconds.
pub(crate) struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> DurationHistogram {
        let mut histogram =
            Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!("three digits are allowed"));
        histogram.auto(true);
        DurationHistogram(histogram)
    }
}

impl DurationHistogram {
    pub(crate) fn record(&mut self, duration: Duration) {
        let _ = self.0.record(duration.as_micros() as u64);
    }

    /// Adds all durations of another histogram.
    pub(crate) fn merge(&mut self, other: &DurationHistogram) {
        let _ = self.0.add(&other.0);
    }

    /// Returns the table cells `n | median | 99th percentile | maximum`, with durations in milliseconds.
    pub(crate) fn table_cells(&self) -> String {
        format!(
            "{} | {} | {} | {}",
            self.0.len(),
            self.quantile(0.5),
            self.quantile(0.99),
            milliseconds(self.0.max())
        )
    }

    fn quantile(&self, quantile: f64) -> String {
        milliseconds(self.0.value_at_quantile(quantile))
    }

    /// Returns the number of recorded durations.
    pub(crate) fn count(&self) -> u64 {
        self.0.len()
    }
}

fn milliseconds(micros: u64) -> String {
    format!("{:.2}", micros as f64 / MICROS_PER_MILLISECOND)
}
