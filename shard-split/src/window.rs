//! This process's comparisons of late, by range.

use crate::{Micros, RANGE_COUNT};

/// A window consists of so many parts, of which the oldest is removed at once.
const WINDOW_PARTS: usize = 4;

/// This process's comparisons within the window, by range. The window slides by a part of its length at a time.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    /// The newest part first.
    parts: Vec<[u32; RANGE_COUNT]>,
    part_span: Micros,
    /// When the newest part began.
    part_started_at: Micros,
}

impl Window {
    /// A window of this length without comparisons.
    pub(crate) fn new(now: Micros, span: Micros) -> Window {
        Window {
            parts: vec![[0; RANGE_COUNT]; WINDOW_PARTS],
            part_span: (span / WINDOW_PARTS as Micros).max(1),
            part_started_at: now,
        }
    }

    /// Counts a comparison in a range.
    pub(crate) fn add(&mut self, now: Micros, range: usize) {
        self.advance(now);
        if let Some(count) = self.parts[0].get_mut(range) {
            *count = count.saturating_add(1);
        }
    }

    /// Begins the parts that are due, each in place of the oldest.
    fn advance(&mut self, now: Micros) {
        while now - self.part_started_at >= self.part_span {
            self.part_started_at += self.part_span;
            self.parts.rotate_right(1);
            self.parts[0] = [0; RANGE_COUNT];
            if now - self.part_started_at > self.part_span * (WINDOW_PARTS as Micros + 1) {
                // All that was counted is older than the window.
                self.parts.fill([0; RANGE_COUNT]);
                self.part_started_at = now;
            }
        }
    }

    /// The comparisons of each range.
    pub(crate) fn sums(&mut self, now: Micros) -> Vec<u32> {
        self.advance(now);
        (0..RANGE_COUNT).map(|range| self.parts.iter().map(|part| part[range]).sum()).collect()
    }
}
