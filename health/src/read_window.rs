//! The success rate of a group's recent reads, over a sliding window of fixed intervals.

use crate::Micros;

/// The number of intervals in the window.
const INTERVALS: usize = 3;
/// The window advances in steps of this length.
pub(crate) const INTERVAL_MICROS: Micros = 1_000_000;
/// With fewer reads in the window, the success rate is not significant.
const MIN_READS: u64 = 20;
/// Reads are failing if fewer than one in this many is served.
const MIN_SERVED_ONE_IN: u64 = 10;

/// Counts the reads that got their final answer in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    served: u64,
    finished: u64,
}

/// Counts the reads of each interval in the window. The current interval comes first.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadWindow {
    intervals: [Interval; INTERVALS],
    current_started_at: Micros,
}

impl ReadWindow {
    /// Records a read that got its final answer.
    pub(crate) fn record(&mut self, now: Micros, served: bool) {
        self.advance(now);
        self.intervals[0].served += u64::from(served);
        self.intervals[0].finished += 1;
    }

    /// True if nearly all reads in the window were rejected or failed.
    pub(crate) fn is_failing(&mut self, now: Micros) -> bool {
        self.advance(now);
        let served: u64 = self.intervals.iter().map(|interval| interval.served).sum();
        let finished: u64 = self.intervals.iter().map(|interval| interval.finished).sum();
        finished >= MIN_READS && served * MIN_SERVED_ONE_IN < finished
    }

    /// Starts new intervals up to now and discards those that have left the window.
    fn advance(&mut self, now: Micros) {
        while now - self.current_started_at >= INTERVAL_MICROS {
            let passed = (now - self.current_started_at) / INTERVAL_MICROS;
            if passed >= INTERVALS as Micros {
                self.intervals = Default::default();
                self.current_started_at = now;
                return;
            }
            self.intervals.rotate_right(1);
            self.intervals[0] = Interval::default();
            self.current_started_at += INTERVAL_MICROS;
        }
    }
}
