//! When what a client sent arrived: its commands wait behind one another, and the time of each counts from its own last byte.

use birchreach::Micros;
use std::collections::VecDeque;

/// Bytes that come so soon after others count as having come with those; no more than the margin kept for the client's clock.
const GRAIN: Micros = 10_000;

/// Times of arrival by place in the stream. Bounded by the input that waits, of which it marks a byte each at most.
#[derive(Default)]
pub struct Arrivals {
    /// Bytes that have come, and those that have been taken, since the beginning.
    came: u64,
    taken: u64,
    /// Up to which byte the input had come by which time.
    marks: VecDeque<(u64, Micros)>,
}

impl Arrivals {
    /// So many bytes came.
    pub fn came(&mut self, bytes: usize, now: Micros) {
        self.came += bytes as u64;
        match self.marks.back_mut() {
            Some((end, at)) if now - *at < GRAIN => *end = self.came,
            _ => self.marks.push_back((self.came, now)),
        }
    }

    /// Times that are kept.
    #[cfg(test)]
    pub fn kept(&self) -> usize {
        self.marks.len()
    }

    /// So many of them are taken: when the last of these came.
    pub fn take(&mut self, bytes: usize) -> Option<Micros> {
        self.taken += bytes as u64;
        while self.marks.front().is_some_and(|(end, _)| *end < self.taken) {
            self.marks.pop_front();
        }
        let at = self.marks.front().map(|(_, at)| *at);
        if self.taken == self.came {
            self.marks.clear();
            self.marks.shrink_to(0);
        }
        at
    }
}
