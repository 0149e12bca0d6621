//! The reports that the members of the fleet send each other on hot keys and on a split.

use super::BackgroundWork;
use crate::metrics::RejectedReport;
use birchreach::Micros;
use birchreach_hot_keys::ReportHeader;
use birchreach_membership::ReceivedReport;

/// The channel of members' reports on hot keys.
const HOT_KEYS_CHANNEL: u8 = 1;
/// The channel of members' reports on a split.
const SPLIT_CHANNEL: u8 = 2;

/// A report that is to be sent to the other members.
pub(super) struct OutgoingReport {
    pub channel: u8,
    pub payload: Vec<u8>,
}

impl BackgroundWork {
    /// Passes reports of other members to their subsystems, and counts those that are rejected.
    pub(in crate::net) fn receive_reports(&self, now: Micros, reports: Vec<ReceivedReport>) {
        for report in reports {
            if let Err(rejected) = self.receive_report(now, &report) {
                self.metrics.count_rejected_report(rejected);
            }
        }
    }

    /// Passes a report to the subsystem of its channel.
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

    /// This process's reports that are due.
    pub(super) fn due_reports(&self, now: Micros) -> Vec<OutgoingReport> {
        [self.due_hot_keys_report(now), self.due_split_report(now)].into_iter().flatten().collect()
    }

    /// The report on hot keys, if they are switched on and it is due.
    fn due_hot_keys_report(&self, now: Micros) -> Option<OutgoingReport> {
        let tracker = &mut self.hot_keys.as_ref()?.borrow_mut().tracker;
        let payload = tracker.report_if_due(now)?;
        Some(OutgoingReport { channel: HOT_KEYS_CHANNEL, payload })
    }

    /// The report on the split, if a comparison is switched on and it is due.
    fn due_split_report(&self, now: Micros) -> Option<OutgoingReport> {
        let verifier = &mut self.split.as_ref()?.borrow_mut().verifier;
        let payload = verifier.report_if_due(now)?;
        Some(OutgoingReport { channel: SPLIT_CHANNEL, payload })
    }
}
