//! This process's reports and the newest one of each other origin.

use crate::{Micros, RecordError};
use std::collections::BTreeMap;

/// Origins whose reports are kept.
pub const MAX_ORIGINS: usize = 4_096;
/// A report counts for so many report intervals.
const LIFETIME_INTERVALS: Micros = 4;
/// The report interval until the size of the fleet is known.
const INITIAL_INTERVAL_MICROS: Micros = 1_000_000;

/// Where a received report comes from, and when it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportHeader {
    /// The incarnation of a process that made the report.
    pub origin: u64,
    /// Increases with each report of an origin.
    pub sequence: u64,
    /// How long ago the report was made.
    pub age: Micros,
}

/// A report that is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedReport<R> {
    /// The incarnation of a process that made it.
    pub origin: u64,
    /// Increases with each report of an origin.
    sequence: u64,
    /// When it was made, on this process's clock.
    pub created_at: Micros,
    /// Its content.
    pub report: R,
}

/// The newest report of each origin, this process's own included.
#[derive(Clone, Debug)]
pub struct PeerReports<R> {
    own_origin: u64,
    interval: Micros,
    /// When this process's last report was made; when it started, if it has made none.
    last_report_at: Micros,
    last_sequence: u64,
    by_origin: BTreeMap<u64, ReceivedReport<R>>,
}

impl<R> PeerReports<R> {
    /// No reports. `own_origin` is this process's number in reports; its first one is due after an interval.
    pub fn new(own_origin: u64, now: Micros) -> PeerReports<R> {
        PeerReports {
            own_origin,
            interval: INITIAL_INTERVAL_MICROS,
            last_report_at: now,
            last_sequence: 0,
            by_origin: BTreeMap::new(),
        }
    }

    /// This process's number in reports.
    pub fn own_origin(&self) -> u64 {
        self.own_origin
    }

    /// Sets how often each process reports.
    pub fn set_interval(&mut self, interval: Micros) {
        self.interval = interval;
    }

    /// How long a report counts after it was made.
    pub fn lifetime(&self) -> Micros {
        LIFETIME_INTERVALS * self.interval
    }

    /// When this process's next report is due.
    pub fn next_due_at(&self) -> Micros {
        self.last_report_at + self.interval
    }

    /// Whether this process's next report is due.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.next_due_at()
    }

    /// Records this process's report; the next one is due after an interval.
    ///
    /// Where reports of too many origins are kept it does not count at this process. Others receive it all the same.
    pub fn record_own(&mut self, now: Micros, report: R) {
        self.last_report_at = now;
        self.last_sequence += 1;
        let header = ReportHeader { origin: self.own_origin, sequence: self.last_sequence, age: 0 };
        let _ = self.record(now, header, report);
    }

    /// Records a report in place of the older one of its origin.
    ///
    /// # Errors
    ///
    /// The reason why it is not recorded; nothing has changed then.
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

    /// Removes reports whose lifetime is over.
    pub fn remove_expired(&mut self, now: Micros) {
        let lifetime = self.lifetime();
        self.by_origin.retain(|_, received| now - received.created_at < lifetime);
    }

    /// The newest report of each origin, in the order of origins.
    pub fn newest(&self) -> impl Iterator<Item = &ReceivedReport<R>> + Clone {
        self.by_origin.values()
    }

    /// Origins of which a report is kept, this process included.
    pub fn origin_count(&self) -> usize {
        self.by_origin.len()
    }
}
