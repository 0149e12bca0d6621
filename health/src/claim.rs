//! One claim with its hysteresis: what is seen now becomes what is told, bad news sooner than good, neither back and
//! forth. Owns nothing but its own times; never decides what is seen.

use crate::Micros;
use crate::settings::HealthSettings;
use crate::verdict::Reason;

/// Falls within this time slow the next rise down.
const MEMORY: Micros = 60_000_000;
const MOST_DOUBLED: u32 = 5;

#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub available: bool,
    pub reason: Reason,
    /// Since when it is told as it is.
    pub since: Micros,
    /// Since when the opposite is seen.
    other: Option<Micros>,
    /// Falls lately, and when the last one was.
    falls: u32,
    fell_at: Micros,
    /// It was never able: the first time does not wait.
    fresh: bool,
}

impl Claim {
    pub fn new(now: Micros) -> Claim {
        Claim {
            available: false,
            reason: Reason::Starting,
            since: now,
            other: None,
            falls: 0,
            fell_at: now,
            fresh: true,
        }
    }

    /// Takes what is seen now. True: it is told from now on.
    pub fn see(&mut self, now: Micros, able: bool, reason: Reason, s: &HealthSettings) -> bool {
        if able == self.available {
            self.other = None;
            self.reason = reason;
            return false;
        }
        self.other.get_or_insert(now);
        if able {
            self.reason = if self.fresh { self.reason } else { Reason::Recovering };
        }
        if self.due(s).is_none_or(|due| now < due) {
            return false;
        }
        if !able {
            self.falls = if now - self.fell_at < MEMORY { (self.falls + 1).min(MOST_DOUBLED + 1) } else { 1 };
            self.fell_at = now;
        }
        *self = Claim { available: able, reason, since: now, other: None, fresh: false, ..*self };
        true
    }

    /// When what is seen will be told, if it goes on.
    pub fn due(&self, s: &HealthSettings) -> Option<Micros> {
        let other = self.other?;
        if self.fresh {
            return Some(other);
        }
        let (lasts, held) = if self.available {
            (s.withdraw_after, s.min_time_available)
        } else {
            (self.rise(s), s.min_time_unavailable)
        };
        Some((other + lasts).max(self.since + held))
    }

    fn rise(&self, s: &HealthSettings) -> Micros {
        (s.restore_after << self.falls.saturating_sub(1).min(MOST_DOUBLED)).min(s.restore_after_max)
    }
}
