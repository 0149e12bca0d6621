//! What all processes have compared and found, by range: the newest report of each origin, and this process's own window of counts.

use crate::difference::{DifferenceCounts, DifferenceKind};
use crate::report::{Report, ReportError};
use crate::{Definition, Micros, RANGES};
use birchreach_fault_injection::fault_injected;
use std::collections::BTreeMap;

/// Origins whose reports are kept.
const MAX_ORIGINS: usize = 4_096;
/// A window consists of so many parts, of which the oldest is removed at once.
const WINDOW_PARTS: usize = 4;

/// How well a range is covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangeCoverage {
    /// Comparisons over all processes.
    pub comparisons: u32,
    /// Processes that made some.
    pub processes: usize,
}

/// A report as it was received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedReport {
    /// Increases with each report of an origin.
    pub(crate) sequence: u64,
    /// When it was made, on this process's clock.
    pub(crate) made_at: Micros,
    pub(crate) report: Report,
}

/// The newest report of each origin.
#[derive(Clone, Debug, Default)]
pub(crate) struct Coverage {
    by_origin: BTreeMap<u64, ReceivedReport>,
    /// Comparisons that an injected fault counts twice; zero otherwise.
    injected_excess: u32,
}

impl Coverage {
    pub(crate) fn record(
        &mut self,
        definition: &Definition,
        origin: u64,
        received: ReceivedReport,
    ) -> Result<(), ReportError> {
        let is_of_definition = received.report.definition_digest == definition.digest();
        if !is_of_definition && !fault_injected!(MixesDefinitions) {
            return Err(ReportError::OtherDefinition);
        }
        match self.by_origin.get(&origin) {
            Some(newest) if newest.sequence >= received.sequence => {
                self.injected_excess += u32::from(fault_injected!(CountsTwice));
                return Err(ReportError::Outdated);
            }
            None if self.by_origin.len() >= MAX_ORIGINS => return Err(ReportError::TooManyOrigins),
            _ => {}
        }
        self.by_origin.insert(origin, received);
        Ok(())
    }

    /// Removes reports whose lifetime is over.
    pub(crate) fn remove_expired(&mut self, now: Micros, lifetime: Micros) {
        self.by_origin.retain(|_, received| now - received.made_at < lifetime);
    }

    pub(crate) fn of_range(&self, range: usize) -> RangeCoverage {
        let counts = self.by_origin.values().filter_map(|received| received.report.compared.get(range));
        let comparisons = counts.clone().fold(self.injected_excess, |sum, count| sum.saturating_add(*count));
        RangeCoverage { comparisons, processes: counts.filter(|count| **count > 0).count() }
    }

    /// Confirmed differences over all processes.
    pub(crate) fn difference_counts(&self) -> DifferenceCounts {
        let mut counts = DifferenceCounts::default();
        for entry in self.by_origin.values().flat_map(|received| &received.report.differences) {
            if let Some(kind) = DifferenceKind::from_number(entry.kind) {
                counts.add(kind, entry.count);
            }
        }
        counts
    }

    pub(crate) fn origin_count(&self) -> usize {
        self.by_origin.len()
    }
}

/// This process's comparisons within the window, by range. The window slides by a part of its length at a time.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    /// The newest part first.
    parts: Vec<[u32; RANGES]>,
    part_span: Micros,
    part_started_at: Micros,
}

impl Window {
    pub(crate) fn new(now: Micros, span: Micros) -> Window {
        Window {
            parts: vec![[0; RANGES]; WINDOW_PARTS],
            part_span: (span / WINDOW_PARTS as Micros).max(1),
            part_started_at: now,
        }
    }

    pub(crate) fn add(&mut self, now: Micros, range: usize) {
        self.advance(now);
        if let Some(count) = self.parts[0].get_mut(range) {
            *count = count.saturating_add(1);
        }
    }

    fn advance(&mut self, now: Micros) {
        while now - self.part_started_at >= self.part_span {
            self.part_started_at += self.part_span;
            self.parts.rotate_right(1);
            self.parts[0] = [0; RANGES];
            if now - self.part_started_at > self.part_span * (WINDOW_PARTS as Micros + 1) {
                // All that was counted is older than the window.
                self.parts.fill([0; RANGES]);
                self.part_started_at = now;
            }
        }
    }

    /// The comparisons of each range.
    pub(crate) fn sums(&mut self, now: Micros) -> Vec<u32> {
        self.advance(now);
        (0..RANGES).map(|range| self.parts.iter().map(|part| part[range]).sum()).collect()
    }
}
