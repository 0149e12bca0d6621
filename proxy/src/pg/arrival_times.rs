//! When a client's input arrived. Commands may wait for earlier ones, and the deadline of each counts from its own last byte.

use birchreach::Micros;
use std::collections::VecDeque;

/// Bytes that arrive within this time after others count as having arrived with those. Not more than the margin for the client's
/// clock.
const TIME_RESOLUTION_MICROS: Micros = 10_000;

/// The input up to `end`, counted from the beginning, had arrived by this time.
struct Arrival {
    end: u64,
    at: Micros,
}

/// Times of arrival by position in the input. There is at most one for each byte that is not consumed.
#[derive(Default)]
pub(crate) struct ArrivalTimes {
    /// Bytes received since the beginning.
    received_bytes: u64,
    /// Bytes consumed since the beginning.
    consumed_bytes: u64,
    arrivals: VecDeque<Arrival>,
}

impl ArrivalTimes {
    /// Records the arrival of this number of bytes.
    pub(crate) fn record(&mut self, bytes: usize, now: Micros) {
        self.received_bytes += bytes as u64;
        match self.arrivals.back_mut() {
            Some(last) if now - last.at < TIME_RESOLUTION_MICROS => last.end = self.received_bytes,
            _ => self.arrivals.push_back(Arrival { end: self.received_bytes, at: now }),
        }
    }

    /// Consumes this number of bytes. Returns when the last of them arrived.
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

    /// How many times are kept.
    #[cfg(test)]
    pub(crate) fn recorded_times(&self) -> usize {
        self.arrivals.len()
    }
}
