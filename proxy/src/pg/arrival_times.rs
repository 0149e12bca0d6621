//! When a client's input arrived. Its commands wait behind one another, and the time of each counts from its own last byte.

use birchreach::Micros;
use std::collections::VecDeque;

/// Bytes that arrive so soon after others count as having arrived with those. No more than the margin kept for the client's clock.
const TIME_RESOLUTION_MICROS: Micros = 10_000;

/// The input up to a byte, counted from the beginning, had arrived by a time.
struct Arrival {
    end: u64,
    at: Micros,
}

/// Times of arrival by position in the input. Bounded by the input that waits, each byte of which has one at most.
#[derive(Default)]
pub struct ArrivalTimes {
    /// Bytes that have arrived since the beginning.
    received_bytes: u64,
    /// Those of them that have been taken.
    consumed_bytes: u64,
    arrivals: VecDeque<Arrival>,
}

impl ArrivalTimes {
    /// Records that so many bytes arrived.
    pub fn record(&mut self, bytes: usize, now: Micros) {
        self.received_bytes += bytes as u64;
        match self.arrivals.back_mut() {
            Some(last) if now - last.at < TIME_RESOLUTION_MICROS => last.end = self.received_bytes,
            _ => self.arrivals.push_back(Arrival { end: self.received_bytes, at: now }),
        }
    }

    /// Takes so many bytes, and says when the last of them arrived.
    pub fn consume(&mut self, bytes: usize) -> Option<Micros> {
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
    pub fn recorded_times(&self) -> usize {
        self.arrivals.len()
    }
}
