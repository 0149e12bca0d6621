//! The verifier's reports: what this process sends, what it takes of others, and the verdict that follows from all of them.

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
    /// This process's report, once in each report interval.
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

    /// The confirmed differences that are kept, counted by kind and range.
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

    /// Takes a report of another process, which is a member of the fleet.
    ///
    /// # Errors
    ///
    /// The reason why it is not taken; nothing has changed then.
    pub fn receive_report(
        &mut self,
        now: Micros,
        header: ReportHeader,
        bytes: &[u8],
    ) -> Result<(), ReportError> {
        let report = Report::decode(bytes)?;
        self.coverage.record(now, &self.settings.definition, header, report)
    }

    /// The verdict. `reachable_members` is the number of processes that this one receives from, itself included.
    pub fn status(&self, reachable_members: usize) -> VerificationStatus {
        verification_status(&self.coverage, &self.settings, reachable_members.min(self.origin_count()))
    }

    /// How well a range is covered.
    pub fn coverage(&self, range: usize) -> RangeCoverage {
        self.coverage.of_range(range.min(RANGE_COUNT - 1))
    }

    /// Processes whose reports are kept, this one included.
    pub fn origin_count(&self) -> usize {
        self.coverage.reports.origin_count()
    }
}
