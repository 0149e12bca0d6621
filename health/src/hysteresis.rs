//! Hysteresis between the observed and the reported availability of a capability. A capability is withdrawn sooner
//! than it is restored, stays in each state for a minimum time, and is restored later after repeated withdrawals.

use crate::Micros;
use crate::labels::Reason;
use crate::settings::HealthSettings;

/// A withdrawal within this time of the previous one doubles the restore delay.
const REPEAT_WINDOW_MICROS: Micros = 60_000_000;
/// The restore delay doubles at most this many times.
const MAX_DOUBLINGS: u32 = 5;

/// The availability of a capability at one point in time, derived from the evidence.
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

/// The reported availability of a capability.
#[derive(Clone, Debug)]
pub(crate) struct ReportedCapability {
    pub available: bool,
    pub reason: Reason,
    /// When `available` last changed.
    pub since: Micros,
    /// When the observations began to differ from `available`; `None` while they agree.
    opposite_since: Option<Micros>,
    /// The number of withdrawals in close succession.
    repeated_withdrawals: u32,
    /// The time of the last withdrawal.
    withdrawn_at: Micros,
    /// True until the capability first becomes available. That first change is reported without delay.
    never_available: bool,
}

impl ReportedCapability {
    /// Creates a capability that was never available.
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

    /// Records the current observation. Returns true if the reported availability changes.
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

    /// Returns when the reported availability will change if the observations stay the same until then. `None` if they
    /// agree with it.
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

    /// Counts a withdrawal. The count restarts if the previous withdrawal is older than the repeat window.
    fn count_withdrawal(&mut self, now: Micros) {
        let repeated = now - self.withdrawn_at < REPEAT_WINDOW_MICROS;
        self.repeated_withdrawals =
            if repeated { (self.repeated_withdrawals + 1).min(MAX_DOUBLINGS + 1) } else { 1 };
        self.withdrawn_at = now;
    }

    /// Returns how long the capability must be observed as available before it is restored.
    fn restore_delay(&self, settings: &HealthSettings) -> Micros {
        let doublings = self.repeated_withdrawals.saturating_sub(1).min(MAX_DOUBLINGS);
        (settings.restore_after << doublings).min(settings.restore_after_max)
    }
}
