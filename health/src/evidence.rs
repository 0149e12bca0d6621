//! What attempts and probes tell of one server, and for how long it has been silent while something was in flight. What
//! follows for its group is decided in `group`.

use crate::settings::HealthSettings;
use crate::{GroupId, Micros, Role};

/// Connections reset in a row, without a sign of life between, after which a server counts as unreachable.
const MAX_CONSECUTIVE_RESETS: u32 = 3;
/// Writes timed out in a row, without one answered between, after which writes count as unanswered.
const MAX_CONSECUTIVE_WRITE_TIMEOUTS: u32 = 3;
/// With nothing in flight for this long, earlier silence no longer counts.
const SILENCE_EXPIRES_MICROS: Micros = 5_000_000;
/// This long after the last write that timed out, writes are tried again.
const WRITE_RETRY_MICROS: Micros = 10_000_000;

/// Why a server is not expected to respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureEvidence {
    /// It has been silent for longer than the limit.
    Unresponsive,
    /// It refuses or resets connections.
    Unreachable,
    /// It responds, but not to writes.
    WritesUnanswered,
}

#[derive(Clone, Debug)]
pub(crate) struct ServerEvidence {
    pub group: GroupId,
    /// The endpoint list says that it takes work.
    pub accepts_work: bool,
    /// Whether the endpoint list names it primary, if it says.
    pub listed_as_primary: Option<bool>,
    /// The role that it last reported.
    pub reported_role: Option<Role>,
    /// When it last gave a sign of life.
    pub last_heard_at: Option<Micros>,
    /// Something was sent to it since then.
    pub owes_response: bool,
    /// Attempts and probes in flight.
    in_flight: u32,
    /// Silence from times before `silent_since`.
    earlier_silence: Micros,
    /// Since when it is silent with something in flight.
    silent_since: Option<Micros>,
    /// When something was last in flight.
    last_in_flight_at: Micros,
    unreachable: bool,
    consecutive_resets: u32,
    consecutive_write_timeouts: u32,
    last_write_timeout_at: Micros,
}

impl ServerEvidence {
    pub(crate) fn new(now: Micros, group: GroupId) -> ServerEvidence {
        ServerEvidence {
            group,
            accepts_work: true,
            listed_as_primary: None,
            reported_role: None,
            last_heard_at: None,
            owes_response: false,
            in_flight: 0,
            earlier_silence: 0,
            silent_since: None,
            last_in_flight_at: now,
            unreachable: false,
            consecutive_resets: 0,
            consecutive_write_timeouts: 0,
            last_write_timeout_at: now,
        }
    }

    /// An attempt or a probe was sent.
    pub(crate) fn record_sent(&mut self, now: Micros) {
        if self.in_flight == 0 && now - self.last_in_flight_at >= SILENCE_EXPIRES_MICROS {
            // Silence is summed over consecutive attempts only. A capability withdrawn for it stays withdrawn.
            self.earlier_silence = 0;
        }
        self.in_flight = self.in_flight.saturating_add(1);
        self.silent_since.get_or_insert(now);
        self.owes_response = true;
        self.last_in_flight_at = now;
    }

    pub(crate) fn record_sign_of_life(&mut self, now: Micros) {
        self.last_heard_at = Some(now);
        self.earlier_silence = 0;
        self.unreachable = false;
        self.consecutive_resets = 0;
        self.owes_response = self.in_flight > 0;
        self.silent_since = self.owes_response.then_some(now);
    }

    /// An attempt or a probe was answered, possibly with an error.
    pub(crate) fn record_answer(&mut self, now: Micros, write: bool) {
        self.end_in_flight(now);
        self.record_sign_of_life(now);
        if write {
            self.consecutive_write_timeouts = 0;
        }
    }

    pub(crate) fn record_timeout(&mut self, now: Micros, write: bool) {
        self.end_in_flight(now);
        if write {
            self.consecutive_write_timeouts = self.consecutive_write_timeouts.saturating_add(1);
            self.last_write_timeout_at = now;
        }
    }

    /// An attempt or a probe was cancelled or never sent: no evidence, but the silence until then counts.
    pub(crate) fn record_cancelled(&mut self, now: Micros) {
        self.end_in_flight(now);
    }

    pub(crate) fn record_refused(&mut self, now: Micros) {
        self.end_in_flight(now);
        self.unreachable = true;
    }

    pub(crate) fn record_reset(&mut self, now: Micros) {
        self.end_in_flight(now);
        self.consecutive_resets = self.consecutive_resets.saturating_add(1);
        if self.consecutive_resets >= MAX_CONSECUTIVE_RESETS {
            self.unreachable = true;
        }
    }

    fn end_in_flight(&mut self, now: Micros) {
        self.last_in_flight_at = now;
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0
            && let Some(since) = self.silent_since.take()
        {
            self.earlier_silence += now - since;
        }
    }

    /// For how long it has been silent with something in flight.
    pub(crate) fn silence(&self, now: Micros) -> Micros {
        self.earlier_silence + self.silent_since.map_or(0, |since| now - since)
    }

    /// It refuses or resets connections.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// A sign of life would change what is known of it.
    pub(crate) fn is_in_doubt(&self) -> bool {
        self.owes_response || self.unreachable
    }

    /// What speaks against its taking writes.
    pub(crate) fn failure(&self, now: Micros, settings: &HealthSettings) -> Option<FailureEvidence> {
        if self.unreachable {
            Some(FailureEvidence::Unreachable)
        } else if self.silence(now) >= settings.silence_limit() {
            Some(FailureEvidence::Unresponsive)
        } else if self.consecutive_write_timeouts >= MAX_CONSECUTIVE_WRITE_TIMEOUTS
            && now - self.last_write_timeout_at < WRITE_RETRY_MICROS
        {
            Some(FailureEvidence::WritesUnanswered)
        } else {
            None
        }
    }

    /// It is not expected to serve reads either.
    pub(crate) fn is_unusable_for_reads(&self, now: Micros, settings: &HealthSettings) -> bool {
        let recent = self.in_flight > 0 || now - self.last_in_flight_at < SILENCE_EXPIRES_MICROS;
        recent
            && matches!(
                self.failure(now, settings),
                Some(FailureEvidence::Unreachable | FailureEvidence::Unresponsive)
            )
    }

    /// When the passing of time alone will change `failure` or `is_unusable_for_reads`.
    pub(crate) fn next_change(&self, now: Micros, settings: &HealthSettings) -> Option<Micros> {
        let unresponsive_at = self.silence_reaches_at(now, settings.silence_limit());
        let usable_at = (self.in_flight == 0 && self.is_unusable_for_reads(now, settings))
            .then_some(self.last_in_flight_at + SILENCE_EXPIRES_MICROS);
        let write_retry_at = (self.consecutive_write_timeouts >= MAX_CONSECUTIVE_WRITE_TIMEOUTS)
            .then_some(self.last_write_timeout_at + WRITE_RETRY_MICROS)
            .filter(|at| *at > now);
        [unresponsive_at, usable_at, write_retry_at].into_iter().flatten().min()
    }

    /// When its silence will reach this length, if it goes on; none if it has.
    pub(crate) fn silence_reaches_at(&self, now: Micros, limit: Micros) -> Option<Micros> {
        let since = self.silent_since?;
        (self.silence(now) < limit).then_some(since + limit - self.earlier_silence)
    }
}
