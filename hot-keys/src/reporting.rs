//! The tracker's reports: creation of this process's report, receipt of other processes' reports, and agreement
//! between them.

use crate::report::{MAX_REPORT_ENTRIES, Report, ReportEntry, SECRET_MISMATCH};
use crate::sketch::KeyRate;
use crate::tracker::HotKeyTracker;
use crate::{Key, Micros, mix};
use birchreach_peer_reports::{PeerReport, PeerReports, ReportError, ReportHeader};

/// A key is reported if its rate at this process reaches this fraction of the rate that would make the key hot if all
/// processes read it equally often.
const REPORT_THRESHOLD_FRACTION: f64 = 0.25;
/// The number of keys that are considered for a report. It exceeds the size of a report because some of the keys may be
/// below the threshold.
const REPORT_CANDIDATES: usize = MAX_REPORT_ENTRIES * 4;

/// The number of other processes whose newest report states the same hot set as this process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportAgreement {
    /// Other processes with an equal hot set.
    pub agreeing: usize,
    /// Other processes whose newest report has not expired.
    pub reporting: usize,
}

impl HotKeyTracker {
    /// Records the report of another process. The caller ensures that the process is a member of the fleet.
    ///
    /// # Errors
    ///
    /// Returns the reason if the report is rejected. The tracker is unchanged then.
    pub fn receive_report(
        &mut self,
        now: Micros,
        header: ReportHeader,
        bytes: &[u8],
    ) -> Result<(), ReportError> {
        let report = Report::decode(bytes)?;
        if report.secret_id != self.secret_id {
            return Err(ReportError::Mismatch(SECRET_MISMATCH));
        }
        self.reports.record(now, header, report)?;
        Ok(())
    }

    /// Returns this process's encoded report once per report interval, and `None` in between.
    pub fn report_if_due(&mut self, now: Micros) -> Option<Vec<u8>> {
        if !self.reports.is_due(now) {
            return None;
        }
        let entries = self.report_entries(now);
        let report = Report { secret_id: self.secret_id, set_digest: self.digest(), entries };
        let bytes = report.encode();
        self.reports.record_own(now, report);
        Some(bytes)
    }

    /// Returns the entries of this process's report: keys that are hot, and keys whose rate at this process reaches the
    /// report threshold.
    fn report_entries(&mut self, now: Micros) -> Vec<ReportEntry> {
        let top_keys = self.sketch.top_keys(now, REPORT_CANDIDATES);
        let entry = |KeyRate { key, reads_per_s }: KeyRate| {
            let is_hot = self.hot_keys.contains_key(&key);
            let is_reported = is_hot || reads_per_s >= self.report_threshold(key.group);
            is_reported.then_some(ReportEntry {
                key,
                reads_per_1000_s: (reads_per_s * 1_000.0) as u32,
                is_hot,
            })
        };
        top_keys.into_iter().filter_map(entry).take(MAX_REPORT_ENTRIES).collect()
    }

    /// Returns the lowest rate, in reads per second at this process, at which a key of the group is reported.
    fn report_threshold(&self, group: u32) -> f64 {
        let replicas = self.replicas.get(&group).copied().unwrap_or(1);
        REPORT_THRESHOLD_FRACTION * self.settings.hot_threshold(replicas) / self.members as f64
    }

    /// Returns a digest of the hot set. Processes with equal sets have equal digests.
    pub fn digest(&self) -> u64 {
        let key_digest = |key: &Key| mix(key.hash ^ mix(u64::from(key.group) + 1));
        self.hot_keys.keys().fold(0, |digest, key| digest ^ key_digest(key))
    }

    /// Returns how many of the other processes have the same hot set as this process.
    pub fn agreement(&self) -> ReportAgreement {
        let own_digest = self.digest();
        let mut agreement = ReportAgreement { agreeing: 0, reporting: 0 };
        let own_origin = self.reports.own_origin();
        for received in self.reports.newest().filter(|received| received.origin != own_origin) {
            agreement.reporting += 1;
            agreement.agreeing += usize::from(received.report.set_digest == own_digest);
        }
        agreement
    }
}

/// Returns the origins whose newest report contains the key, in ascending order.
pub(crate) fn reporters(reports: &PeerReports<Report>, key: Key) -> impl Iterator<Item = u64> {
    let contains_key = move |report: &Report| report.entries.iter().any(|entry| entry.key == key);
    reports.newest().filter(move |received| contains_key(&received.report)).map(|received| received.origin)
}
