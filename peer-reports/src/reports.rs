//! The newest report of each origin, and the schedule of this process's own reports.

use crate::{Micros, RecordError};
use std::collections::BTreeMap;

/// The maximum number of origins whose reports are kept.
pub const MAX_ORIGINS: usize = 4_096;
/// The lifetime of a report, in report intervals.
const LIFETIME_INTERVALS: Micros = 4;
/// The report interval until the size of the fleet is known.
const INITIAL_INTERVAL_MICROS: Micros = 1_000_000;

/// The origin, sequence number and age of a received report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportHeader {
    /// The process incarnation that created the report.
    pub origin: u64,
    /// The sequence number, which increases with each report of an origin.
    pub sequence: u64,
    /// The time since the report was created. A negative age counts as 0.
    pub age: Micros,
}

/// The newest report of an origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedReport<R> {
    /// The process incarnation that created the report.
    pub origin: u64,
    sequence: u64,
    /// The time of creation, on this process's clock.
    pub created_at: Micros,
    /// The content, which the subsystem defines.
    pub report: R,
}

/// The newest report of each origin, including this process.
#[derive(Clone, Debug)]
pub struct PeerReports<R> {
    own_origin: u64,
    interval: Micros,
    /// The time of this process's last report, or of its start if it has not reported yet.
    last_report_at: Micros,
    last_sequence: u64,
    by_origin: BTreeMap<u64, ReceivedReport<R>>,
}

impl<R> PeerReports<R> {
    /// Creates an empty table. `own_origin` identifies this process in its reports. Its first report is due
    /// one interval after `now`.
    pub fn new(own_origin: u64, now: Micros) -> PeerReports<R> {
        PeerReports {
            own_origin,
            interval: INITIAL_INTERVAL_MICROS,
            last_report_at: now,
            last_sequence: 0,
            by_origin: BTreeMap::new(),
        }
    }

    /// The origin that identifies this process in its reports.
    pub fn own_origin(&self) -> u64 {
        self.own_origin
    }

    /// Sets the time between two reports of one process. All processes of the fleet use the same interval.
    pub fn set_interval(&mut self, interval: Micros) {
        self.interval = interval;
    }

    /// The time from a report's creation to its expiry.
    pub fn lifetime(&self) -> Micros {
        LIFETIME_INTERVALS * self.interval
    }

    /// The time at which this process's next report is due.
    pub fn next_due_at(&self) -> Micros {
        self.last_report_at + self.interval
    }

    /// Returns whether this process's next report is due.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.next_due_at()
    }

    /// Records a report of this process. The next one is due one interval after `now`.
    ///
    /// If [`MAX_ORIGINS`] other origins are already kept, the report does not count at this process. The
    /// caller still sends it to others.
    pub fn record_own(&mut self, now: Micros, report: R) {
        self.last_report_at = now;
        self.last_sequence += 1;
        let header = ReportHeader { origin: self.own_origin, sequence: self.last_sequence, age: 0 };
        let _ = self.record(now, header, report);
    }

    /// Records a report, which replaces an older one of the same origin.
    ///
    /// # Errors
    ///
    /// Returns why the report was not recorded. The table is unchanged then.
    pub fn record(&mut self, now: Micros, header: ReportHeader, report: R) -> Result<(), RecordError> {
        let ReportHeader { origin, sequence, age } = header;
        match self.by_origin.get(&origin) {
            Some(newest) if newest.sequence >= sequence => return Err(RecordError::Outdated),
            None if self.by_origin.len() >= MAX_ORIGINS => return Err(RecordError::TooManyOrigins),
            _ => {}
        }
        let received = ReceivedReport { origin, sequence, created_at: now - age.max(0), report };
        self.by_origin.insert(origin, received);
        Ok(())
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now: Micros) {
        let lifetime = self.lifetime();
        self.by_origin.retain(|_, received| now - received.created_at < lifetime);
    }

    /// The newest report of each origin, sorted by origin.
    pub fn newest(&self) -> impl Iterator<Item = &ReceivedReport<R>> + Clone {
        self.by_origin.values()
    }

    /// The number of origins with a report, including this process.
    pub fn origin_count(&self) -> usize {
        self.by_origin.len()
    }
}
