//! Coverage of the ranges and confirmed differences over all processes, computed from the newest report of each
//! origin.

use crate::difference::{DifferenceCounts, DifferenceKind};
use crate::report::{DEFINITION_MISMATCH, Report};
use crate::{Micros, SplitDefinition};
use birchreach_fault_injection::fault_injected;
use birchreach_peer_reports::{PeerReports, RecordError, ReportError, ReportHeader};

/// The coverage of one range within the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangeCoverage {
    /// The number of comparisons over all processes.
    pub comparisons: u32,
    /// The number of processes that made at least one comparison.
    pub processes: usize,
}

/// The newest report of each origin, which coverage and differences are computed from.
#[derive(Clone, Debug)]
pub(crate) struct Coverage {
    pub(crate) reports: PeerReports<Report>,
    /// The comparisons that an injected fault adds for outdated reports. Without the fault this is zero.
    injected_excess: u32,
}

impl Coverage {
    pub(crate) fn new(own_origin: u64, now: Micros) -> Coverage {
        Coverage { reports: PeerReports::new(own_origin, now), injected_excess: 0 }
    }

    /// Records the report of another process. It is rejected if the process compares by a different definition.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        definition: &SplitDefinition,
        header: ReportHeader,
        report: Report,
    ) -> Result<(), ReportError> {
        let is_of_definition = report.definition_digest == definition.digest();
        if !is_of_definition && !fault_injected!(AcceptsOtherDefinitions) {
            return Err(ReportError::Mismatch(DEFINITION_MISMATCH));
        }
        let recorded = self.reports.record(now, header, report);
        if recorded == Err(RecordError::Outdated) && fault_injected!(CountsReportsTwice) {
            self.injected_excess += 1;
        }
        Ok(recorded?)
    }

    pub(crate) fn of_range(&self, range: usize) -> RangeCoverage {
        let counts = self.reports.newest().filter_map(|received| received.report.compared.get(range));
        let comparisons = counts.clone().fold(self.injected_excess, |sum, count| sum.saturating_add(*count));
        RangeCoverage { comparisons, processes: counts.filter(|count| **count > 0).count() }
    }

    /// Returns the confirmed differences over all processes.
    pub(crate) fn difference_counts(&self) -> DifferenceCounts {
        let mut counts = DifferenceCounts::default();
        for entry in self.reports.newest().flat_map(|received| &received.report.differences) {
            if let Some(kind) = DifferenceKind::from_number(entry.kind) {
                counts.add(kind, entry.count);
            }
        }
        counts
    }
}
