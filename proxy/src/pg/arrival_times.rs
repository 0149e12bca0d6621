//! Arrival times of a client's input. A command may wait for earlier commands, but its deadline counts from the arrival of its
//! own last byte.

use birchreach::Micros;
use std::collections::VecDeque;

/// Bytes that arrive within this time after others are recorded with the time of those. The resolution must not exceed the margin
/// for the client's clock (`CLIENT_CLOCK_MARGIN_MICROS`).
const TIME_RESOLUTION_MICROS: Micros = 10_000;

/// The arrival time of a section of the input.
struct Arrival {
    /// Number of bytes from the beginning of the input to the end of the section.
    end: u64,
    at: Micros,
}

/// Arrival times by position in the input. At most one is kept for each unconsumed byte.
#[derive(Default)]
pub(crate) struct ArrivalTimes {
    /// Number of bytes received since the connection was opened.
    received_bytes: u64,
    /// Number of bytes consumed since the connection was opened.
    consumed_bytes: u64,
    arrivals: VecDeque<Arrival>,
}

impl ArrivalTimes {
    /// Records the arrival of a number of bytes.
    pub(crate) fn record(&mut self, bytes: usize, now: Micros) {
        self.received_bytes += bytes as u64;
        match self.arrivals.back_mut() {
            Some(last) if now - last.at < TIME_RESOLUTION_MICROS => last.end = self.received_bytes,
            _ => self.arrivals.push_back(Arrival { end: self.received_bytes, at: now }),
        }
    }

    /// Consumes a number of bytes. Returns when the last of them arrived, or `None` if no time is recorded for it.
    pub(crate) fn consume(&mut self, bytes: usize) -> Option<Micros> {
        self.consumed_bytes += bytes as u64;
        while self.arrivals.front().is_some_and(|arrival| arrival.end < self.consumed_bytes) {
            self.arrivals.pop_front();
        }
        let arrived_at = self.arrivals.front().map(|arrival| arrival.at);
        if self.consumed_bytes == self.received_bytes {
            self.arrivals.clear();
            self.arrivals.shrink_to(0);
        }
        arrived_at
    }

    /// Returns the number of arrival times that are kept.
    #[cfg(test)]
    pub(crate) fn recorded_times(&self) -> usize {
        self.arrivals.len()
    }
}
