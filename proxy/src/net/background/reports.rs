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
    /// Takes reports of other members.
    pub(in crate::net) fn receive_reports(&mut self, now: Micros, reports: Vec<ReceivedReport>) {
        for report in reports {
            match (report.channel, &self.hot_keys, &self.split) {
                (HOT_KEYS_CHANNEL, Some(observer), _) => {
                    let tracker = &mut observer.borrow_mut().tracker;
                    let ReceivedReport { origin, sequence, age, ref payload, .. } = report;
                    if let Err(error) =
                        tracker.receive_report(now, ReportHeader { origin, sequence, age }, payload)
                    {
                        self.metrics.count_rejected_report(RejectedReport::HotKeys(error));
                    }
                }
                (SPLIT_CHANNEL, _, Some(observer)) => {
                    let verifier = &mut observer.borrow_mut().verifier;
                    let ReceivedReport { origin, sequence, age, ref payload, .. } = report;
                    if let Err(error) =
                        verifier.receive_report(now, ReportHeader { origin, sequence, age }, payload)
                    {
                        self.metrics.count_rejected_report(RejectedReport::Split(error));
                    }
                }
                // This process has that subsystem switched off.
                _ => self.metrics.count_rejected_report(RejectedReport::SubsystemOff),
            }
        }
    }

    /// This process's reports, as far as they are due.
    pub(super) fn due_reports(&mut self, now: Micros) -> Vec<OutgoingReport> {
        let hot_keys =
            self.hot_keys.as_ref().and_then(|observer| observer.borrow_mut().tracker.report_if_due(now));
        let split =
            self.split.as_ref().and_then(|observer| observer.borrow_mut().verifier.report_if_due(now));
        let hot_keys = hot_keys.map(|payload| OutgoingReport { channel: HOT_KEYS_CHANNEL, payload });
        let split = split.map(|payload| OutgoingReport { channel: SPLIT_CHANNEL, payload });
        hot_keys.into_iter().chain(split).collect()
    }
}
