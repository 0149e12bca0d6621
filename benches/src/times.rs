//! A record of measured times.

use hdrhistogram::Histogram;
use std::time::Duration;

const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// Times in microseconds.
pub(crate) struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Times {
        let mut histogram =
            Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!("three digits are allowed"));
        histogram.auto(true);
        Times(histogram)
    }
}

impl Times {
    /// Records one time.
    pub(crate) fn record(&mut self, time: Duration) {
        let _ = self.0.record(time.as_micros() as u64);
    }

    /// Adds all times of another record.
    pub(crate) fn merge(&mut self, other: &Times) {
        let _ = self.0.add(&other.0);
    }

    /// `n | median | 99th percentile | most`, in milliseconds.
    pub(crate) fn row(&self) -> String {
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

    /// How many times were recorded.
    pub(crate) fn count(&self) -> u64 {
        self.0.len()
    }
}

fn milliseconds(micros: u64) -> String {
    format!("{:.2}", micros as f64 / MICROS_PER_MILLISECOND)
}
