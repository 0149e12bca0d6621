//! The verifier's reports: what this process sends, what it takes of others, and the verdict that follows from all of them.

use crate::Micros;
use crate::coverage::{RangeCoverage, ReceivedReport};
use crate::definition::RANGES;
use crate::difference::DifferenceKind;
use crate::report::{RangeDifferences, Report, ReportError};
use crate::verdict::{Verdict, verdict};
use crate::verifier::SplitVerifier;
use std::collections::BTreeMap;

/// A report counts for so many report intervals.
const REPORT_LIFETIME_INTERVALS: Micros = 4;

impl SplitVerifier {
    /// This process's report, once in each report interval.
    pub fn report_if_due(&mut self, now: Micros) -> Option<Vec<u8>> {
        if now - self.last_report_at < self.report_interval {
            return None;
        }
        self.last_report_at = now;
        let report = Report {
            definition_digest: self.settings.definition.digest(),
            compared: self.window.sums(now),
            differences: self.range_differences(),
        };
        let bytes = report.encode();
        self.last_sequence += 1;
        let received = ReceivedReport { sequence: self.last_sequence, made_at: now, report };
        // Where reports of too many origins are kept, the own one does not count here; the others still get it.
        let _ = self.coverage.record(&self.settings.definition, self.own_origin, received);
        self.coverage.remove_expired(now, REPORT_LIFETIME_INTERVALS * self.report_interval);
        Some(bytes)
    }

    /// The confirmed differences that are kept, counted by kind and range.
    fn range_differences(&self) -> Vec<RangeDifferences> {
        let mut counts: BTreeMap<(DifferenceKind, usize), u32> = BTreeMap::new();
        for (range, difference) in self.differences() {
            *counts.entry((difference.kind, range)).or_default() += 1;
        }
        let entry = |((kind, range), count): ((DifferenceKind, usize), u32)| RangeDifferences {
            kind: kind.number(),
            range: range as u8,
            count,
        };
        counts.into_iter().map(entry).collect()
    }

    /// Takes a report of another process, which is a member of the fleet. `sequence` increases with each report of an origin, `age` is
    /// how long ago it was made.
    ///
    /// # Errors
    ///
    /// The reason why it is not taken; nothing has changed then.
    pub fn receive_report(
        &mut self,
        now: Micros,
        origin: u64,
        sequence: u64,
        age: Micros,
        bytes: &[u8],
    ) -> Result<(), ReportError> {
        let report = Report::decode(bytes)?;
        let received = ReceivedReport { sequence, made_at: now - age.max(0), report };
        self.coverage.record(&self.settings.definition, origin, received)
    }

    /// The verdict. `heard_members` is the number of processes that this one hears from, itself included.
    pub fn verdict(&self, heard_members: usize) -> Verdict {
        verdict(&self.coverage, &self.settings, heard_members.min(self.coverage.origin_count()))
    }

    /// How well a range is covered.
    pub fn coverage(&self, range: usize) -> RangeCoverage {
        self.coverage.of_range(range.min(RANGES - 1))
    }

    /// Processes whose reports are kept, this one included.
    pub fn origin_count(&self) -> usize {
        self.coverage.origin_count()
    }
}
