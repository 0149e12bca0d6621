//! Turns what is observed of a capability into what is reported: withdrawn sooner than restored, with a minimum time
//! in each state and a restore delay that grows with repeated withdrawals.

use crate::Micros;
use crate::labels::Reason;
use crate::settings::HealthSettings;

/// Withdrawals within this time of one another lengthen the restore delay.
const REPEAT_WINDOW_MICROS: Micros = 60_000_000;
/// The restore delay doubles at most this many times.
const MAX_DOUBLINGS: u32 = 5;

/// What the evidence says of a capability at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Observation {
    pub available: bool,
    pub reason: Reason,
}

impl Observation {
    pub(crate) fn available(reason: Reason) -> Observation {
        Observation { available: true, reason }
    }

    pub(crate) fn unavailable(reason: Reason) -> Observation {
        Observation { available: false, reason }
    }
}

/// A capability as it is reported.
#[derive(Clone, Debug)]
pub(crate) struct ReportedCapability {
    pub available: bool,
    pub reason: Reason,
    /// Since when `available` is reported as it is.
    pub since: Micros,
    /// Since when the opposite is observed.
    opposite_since: Option<Micros>,
    /// Withdrawals in close succession.
    repeated_withdrawals: u32,
    /// When the last one was.
    withdrawn_at: Micros,
    /// The first time that it becomes available is reported without delay.
    never_available: bool,
}

impl ReportedCapability {
    /// A capability that was never available.
    pub(crate) fn new(now: Micros) -> ReportedCapability {
        ReportedCapability {
            available: false,
            reason: Reason::Starting,
            since: now,
            opposite_since: None,
            repeated_withdrawals: 0,
            withdrawn_at: now,
            never_available: true,
        }
    }

    /// Takes the observation of this moment. True if `available` is reported differently from now on.
    pub(crate) fn observe(&mut self, now: Micros, observed: Observation, settings: &HealthSettings) -> bool {
        let Observation { available, reason } = observed;
        if available == self.available {
            self.opposite_since = None;
            self.reason = reason;
            return false;
        }
        self.opposite_since.get_or_insert(now);
        if available && !self.never_available {
            self.reason = Reason::Recovering;
        }
        if self.changes_at(settings).is_none_or(|at| now < at) {
            return false;
        }
        if !available {
            self.count_withdrawal(now);
        }
        self.available = available;
        self.reason = reason;
        self.since = now;
        self.opposite_since = None;
        self.never_available = false;
        true
    }

    /// When the opposite will be reported, if it goes on being observed.
    pub(crate) fn changes_at(&self, settings: &HealthSettings) -> Option<Micros> {
        let opposite_since = self.opposite_since?;
        if self.never_available {
            return Some(opposite_since);
        }
        let (delay, min_time) = if self.available {
            (settings.withdraw_after, settings.min_time_available)
        } else {
            (self.restore_delay(settings), settings.min_time_unavailable)
        };
        Some((opposite_since + delay).max(self.since + min_time))
    }

    /// Counts a withdrawal that closely follows the last one; else starts over.
    fn count_withdrawal(&mut self, now: Micros) {
        let repeated = now - self.withdrawn_at < REPEAT_WINDOW_MICROS;
        self.repeated_withdrawals =
            if repeated { (self.repeated_withdrawals + 1).min(MAX_DOUBLINGS + 1) } else { 1 };
        self.withdrawn_at = now;
    }

    /// How long the capability must be observed as available before it is restored.
    fn restore_delay(&self, settings: &HealthSettings) -> Micros {
        let doublings = self.repeated_withdrawals.saturating_sub(1).min(MAX_DOUBLINGS);
        (settings.restore_after << doublings).min(settings.restore_after_max)
    }
}
