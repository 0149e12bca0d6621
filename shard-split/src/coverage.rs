//! What all processes have compared and found, by range: the newest report of each origin, and this process's own window of counts.

use crate::difference::{DifferenceCounts, DifferenceKind};
use crate::report::{Report, ReportError};
use crate::{Definition, Micros, RANGES};
use birchreach_fault_injection::fault_injected;
use birchreach_peer_reports::{PeerReports, RecordError, ReportHeader};

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

/// What the newest report of each origin covers.
#[derive(Clone, Debug)]
pub(crate) struct Coverage {
    pub(crate) reports: PeerReports<Report>,
    /// Comparisons that an injected fault counts twice; zero otherwise.
    injected_excess: u32,
}

impl Coverage {
    /// Nothing is covered yet.
    pub(crate) fn new(own_origin: u64, now: Micros) -> Coverage {
        Coverage { reports: PeerReports::new(own_origin, now), injected_excess: 0 }
    }

    /// Records another process's report, which must be of this process's definition.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        definition: &Definition,
        header: ReportHeader,
        report: Report,
    ) -> Result<(), ReportError> {
        let is_of_definition = report.definition_digest == definition.digest();
        if !is_of_definition && !fault_injected!(MixesDefinitions) {
            return Err(ReportError::OtherDefinition);
        }
        let recorded = self.reports.record(now, header, report);
        if recorded == Err(RecordError::Outdated) && fault_injected!(CountsTwice) {
            self.injected_excess += 1;
        }
        Ok(recorded?)
    }

    /// How well a range is covered.
    pub(crate) fn of_range(&self, range: usize) -> RangeCoverage {
        let counts = self.reports.newest().filter_map(|(_, received)| received.report.compared.get(range));
        let comparisons = counts.clone().fold(self.injected_excess, |sum, count| sum.saturating_add(*count));
        RangeCoverage { comparisons, processes: counts.filter(|count| **count > 0).count() }
    }

    /// Confirmed differences over all processes.
    pub(crate) fn difference_counts(&self) -> DifferenceCounts {
        let mut counts = DifferenceCounts::default();
        for entry in self.reports.newest().flat_map(|(_, received)| &received.report.differences) {
            if let Some(kind) = DifferenceKind::from_number(entry.kind) {
                counts.add(kind, entry.count);
            }
        }
        counts
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
