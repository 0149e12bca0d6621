//! When what a client sent arrived: its commands wait behind one another, and the time of each counts from its own last byte.

use birchreach::Micros;
use std::collections::VecDeque;

/// Bytes that come so soon after others count as having come with those; no more than the margin kept for the client's clock.
const TIME_RESOLUTION_MICROS: Micros = 10_000;

/// Times of arrival by place in the stream. Bounded by the input that waits, of which it marks a byte each at most.
#[derive(Default)]
pub struct ArrivalTimes {
    /// Bytes that have come, and those that have been taken, since the beginning.
    received_bytes: u64,
    consumed_bytes: u64,
    /// Up to which byte the input had come by which time.
    received_until: VecDeque<(u64, Micros)>,
}

impl ArrivalTimes {
    /// So many bytes came.
    pub fn record(&mut self, bytes: usize, now: Micros) {
        self.received_bytes += bytes as u64;
        match self.received_until.back_mut() {
            Some((end, at)) if now - *at < TIME_RESOLUTION_MICROS => *end = self.received_bytes,
            _ => self.received_until.push_back((self.received_bytes, now)),
        }
    }

    /// Times that are kept.
    #[cfg(test)]
    pub fn recorded_times(&self) -> usize {
        self.received_until.len()
    }

    /// So many of them are taken: when the last of these came.
    pub fn consume(&mut self, bytes: usize) -> Option<Micros> {
        self.consumed_bytes += bytes as u64;
        while self.received_until.front().is_some_and(|(end, _)| *end < self.consumed_bytes) {
            self.received_until.pop_front();
        }
        let at = self.received_until.front().map(|(_, at)| *at);
        if self.consumed_bytes == self.received_bytes {
            self.received_until.clear();
            self.received_until.shrink_to(0);
        }
        at
    }
}
