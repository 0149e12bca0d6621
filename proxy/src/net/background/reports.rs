//! The reports on hot keys and on a split that the fleet members send to each other.

use super::BackgroundWork;
use crate::metrics::RejectedReport;
use birchreach::Micros;
use birchreach_hot_keys::ReportHeader;
use birchreach_membership::ReceivedReport;

/// The channel for reports on hot keys.
const HOT_KEYS_CHANNEL: u8 = 1;
/// The channel for reports on a split.
const SPLIT_CHANNEL: u8 = 2;

/// A report to the other fleet members.
pub(super) struct OutgoingReport {
    pub channel: u8,
    pub payload: Vec<u8>,
}

impl BackgroundWork {
    /// Passes the reports of other members to their subsystems, and counts the rejected ones.
    pub(in crate::net) fn receive_reports(&self, now: Micros, reports: Vec<ReceivedReport>) {
        for report in reports {
            if let Err(rejected) = self.receive_report(now, &report) {
                self.metrics.count_rejected_report(rejected);
            }
        }
    }

    /// Passes a report to the subsystem of its channel. Fails if the report is invalid or the subsystem is disabled.
    fn receive_report(&self, now: Micros, report: &ReceivedReport) -> Result<(), RejectedReport> {
        let ReceivedReport { channel, origin, sequence, age, ref payload } = *report;
        let header = ReportHeader { origin, sequence, age };
        match (channel, &self.hot_keys, &self.split) {
            (HOT_KEYS_CHANNEL, Some(observer), _) => {
                let tracker = &mut observer.borrow_mut().tracker;
                tracker.receive_report(now, header, payload).map_err(RejectedReport::HotKeys)
            }
            (SPLIT_CHANNEL, _, Some(observer)) => {
                let verifier = &mut observer.borrow_mut().verifier;
                verifier.receive_report(now, header, payload).map_err(RejectedReport::Split)
            }
            _ => Err(RejectedReport::SubsystemDisabled),
        }
    }

    /// Returns the reports of this process that are due.
    pub(super) fn due_reports(&self, now: Micros) -> Vec<OutgoingReport> {
        [self.due_hot_keys_report(now), self.due_split_report(now)].into_iter().flatten().collect()
    }

    /// Returns the report on hot keys. Returns `None` if copies of hot keys are disabled or the report is not due.
    fn due_hot_keys_report(&self, now: Micros) -> Option<OutgoingReport> {
        let tracker = &mut self.hot_keys.as_ref()?.borrow_mut().tracker;
        let payload = tracker.report_if_due(now)?;
        Some(OutgoingReport { channel: HOT_KEYS_CHANNEL, payload })
    }

    /// Returns the report on the split. Returns `None` if no comparison is enabled or the report is not due.
    fn due_split_report(&self, now: Micros) -> Option<OutgoingReport> {
        let verifier = &mut self.split.as_ref()?.borrow_mut().verifier;
        let payload = verifier.report_if_due(now)?;
        Some(OutgoingReport { channel: SPLIT_CHANNEL, payload })
    }
}
