//! The verifier's reports: creation of this process's report, receipt of other processes' reports, and the status that
//! follows from all of them.

use crate::Micros;
use crate::coverage::RangeCoverage;
use crate::definition::RANGE_COUNT;
use crate::difference::DifferenceKind;
use crate::report::{RangeDifferences, Report};
use crate::status::{VerificationStatus, verification_status};
use crate::verifier::SplitVerifier;
use birchreach_peer_reports::{PeerReport, ReportError, ReportHeader};
use std::collections::BTreeMap;

impl SplitVerifier {
    /// Returns this process's encoded report once per report interval, and `None` in between.
    pub fn report_if_due(&mut self, now: Micros) -> Option<Vec<u8>> {
        if !self.coverage.reports.is_due(now) {
            return None;
        }
        let report = Report {
            definition_digest: self.settings.definition.digest(),
            compared: self.window.sums(now),
            differences: self.range_differences(),
        };
        let bytes = report.encode();
        self.coverage.reports.record_own(now, report);
        self.coverage.reports.remove_expired(now);
        Some(bytes)
    }

    /// Counts the stored confirmed differences by kind and range.
    fn range_differences(&self) -> Vec<RangeDifferences> {
        let mut counts: BTreeMap<(DifferenceKind, usize), u32> = BTreeMap::new();
        for difference in self.differences() {
            *counts.entry((difference.kind, difference.range())).or_default() += 1;
        }
        let entry = |((kind, range), count): ((DifferenceKind, usize), u32)| RangeDifferences {
            kind: kind.number(),
            range: range as u8,
            count,
        };
        counts.into_iter().map(entry).collect()
    }

    /// Records the report of another process. The caller ensures that the process is a member of the fleet.
    ///
    /// # Errors
    ///
    /// Returns the reason if the report is rejected. The verifier is unchanged then.
    pub fn receive_report(
        &mut self,
        now: Micros,
        header: ReportHeader,
        bytes: &[u8],
    ) -> Result<(), ReportError> {
        let report = Report::decode(bytes)?;
        self.coverage.record(now, &self.settings.definition, header, report)
    }

    /// Returns the status of the verification. `reachable_members` is the number of processes that this process
    /// receives reports from, including itself.
    pub fn status(&self, reachable_members: usize) -> VerificationStatus {
        verification_status(&self.coverage, &self.settings, reachable_members.min(self.origin_count()))
    }

    /// Returns the coverage of a range over all processes. An index beyond the last range counts as the last range.
    pub fn coverage(&self, range: usize) -> RangeCoverage {
        self.coverage.of_range(range.min(RANGE_COUNT - 1))
    }

    /// Returns the number of processes whose reports are stored, including this process.
    pub fn origin_count(&self) -> usize {
        self.coverage.reports.origin_count()
    }
}
