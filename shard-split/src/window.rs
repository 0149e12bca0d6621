//! A sliding window over this process's comparisons, counted by range.

use crate::{Micros, RANGE_COUNT};

/// The number of parts of the window. All counts of the oldest part leave the window together.
const WINDOW_PARTS: usize = 4;

/// The number of comparisons in each range within the window. The window advances by one part at a time.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    /// The counts of each part, from newest to oldest.
    parts: Vec<[u32; RANGE_COUNT]>,
    part_span: Micros,
    /// When the newest part started.
    part_started_at: Micros,
}

impl Window {
    /// Creates an empty window of this length.
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

    /// Starts the parts that are due. Each of them replaces the oldest part.
    fn advance(&mut self, now: Micros) {
        while now - self.part_started_at >= self.part_span {
            self.part_started_at += self.part_span;
            self.parts.rotate_right(1);
            self.parts[0] = [0; RANGE_COUNT];
            if now - self.part_started_at > self.part_span * (WINDOW_PARTS as Micros + 1) {
                // All comparisons are older than the window.
                self.parts.fill([0; RANGE_COUNT]);
                self.part_started_at = now;
            }
        }
    }

    /// Returns the number of comparisons of each range within the window.
    pub(crate) fn sums(&mut self, now: Micros) -> Vec<u32> {
        self.advance(now);
        (0..RANGE_COUNT).map(|range| self.parts.iter().map(|part| part[range]).sum()).collect()
    }
}
