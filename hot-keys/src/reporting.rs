//! The tracker's reports: what this process sends, what it takes of others, and whether they agree.

use crate::report::{MAX_REPORT_ENTRIES, Report, ReportEntry, SECRET_MISMATCH};
use crate::sketch::KeyRate;
use crate::tracker::HotKeyTracker;
use crate::{Key, Micros, mix};
use birchreach_peer_reports::{PeerReport, PeerReports, ReportError, ReportHeader};

/// A key is reported from this fraction of the rate that would make it hot if all processes read it alike.
const REPORT_THRESHOLD_FRACTION: f64 = 0.25;
/// How many keys are considered for a report: some may be below the threshold.
const REPORT_CANDIDATES: usize = MAX_REPORT_ENTRIES * 4;

/// How many other processes have the same hot set by their newest reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportAgreement {
    /// Those with an equal set.
    pub agreeing: usize,
    /// All from which a report is kept.
    pub reporting: usize,
}

impl HotKeyTracker {
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
        if report.secret_id != self.secret_id {
            return Err(ReportError::Mismatch(SECRET_MISMATCH));
        }
        self.reports.record(now, header, report)?;
        Ok(())
    }

    /// This process's report, once in each report interval.
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

    /// The keys of this process's report: those that are hot, or read often enough here.
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

    /// The rate at this process from which a key of the group is reported.
    fn report_threshold(&self, group: u32) -> f64 {
        let replicas = self.replicas.get(&group).copied().unwrap_or(1);
        REPORT_THRESHOLD_FRACTION * self.settings.hot_threshold(replicas) / self.members as f64
    }

    /// A digest of the hot set, equal at all processes that have equal sets.
    pub fn digest(&self) -> u64 {
        let of_key = |key: &Key| mix(key.hash ^ mix(u64::from(key.group) + 1));
        self.hot_keys.keys().fold(0, |digest, key| digest ^ of_key(key))
    }

    /// How many of the other processes have this set.
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

/// Origins whose newest report names a key, in their order.
pub(crate) fn reporters(reports: &PeerReports<Report>, key: Key) -> impl Iterator<Item = u64> {
    let names_key = move |report: &Report| report.entries.iter().any(|entry| entry.key == key);
    reports.newest().filter(move |received| names_key(&received.report)).map(|received| received.origin)
}
