//! What attempts and probes show of one server, and for how long it has been silent while something was in flight. What
//! follows for its group is decided in `group`.

use crate::settings::HealthSettings;
use crate::{GroupId, Micros, Role};

/// Connections reset in a row, without a sign of life between, after which a server counts as unreachable.
const MAX_CONSECUTIVE_RESETS: u32 = 3;
/// Writes timed out in a row, without one answered between, after which the server counts as not responding to writes.
const MAX_CONSECUTIVE_WRITE_TIMEOUTS: u32 = 3;
/// With nothing in flight for this long, earlier silence no longer counts.
const SILENCE_EXPIRES_MICROS: Micros = 5_000_000;
/// This long after the last write that timed out, writes are attempted again.
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

/// What is known of one server from the endpoint list, from attempts and from probes.
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
    pub last_contact_at: Option<Micros>,
    /// Something was sent to it that it has not responded to.
    pub response_pending: bool,
    /// Attempts and probes in flight.
    in_flight: u32,
    /// Silence from times before `silent_since`.
    earlier_silence: Micros,
    /// Since when it is silent with something in flight.
    silent_since: Option<Micros>,
    /// When something was last in flight.
    last_in_flight_at: Micros,
    /// It refused or reset connections and has given no sign of life since.
    unreachable: bool,
    /// Connections reset since the last sign of life.
    consecutive_resets: u32,
    /// Writes timed out since the last one answered.
    consecutive_write_timeouts: u32,
    last_write_timeout_at: Micros,
}

impl ServerEvidence {
    /// A server without evidence, in a group.
    pub(crate) fn new(now: Micros, group: GroupId) -> ServerEvidence {
        ServerEvidence {
            group,
            accepts_work: true,
            listed_as_primary: None,
            reported_role: None,
            last_contact_at: None,
            response_pending: false,
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
        self.response_pending = true;
        self.last_in_flight_at = now;
    }

    /// It responded, or a connection to it was established.
    pub(crate) fn record_contact(&mut self, now: Micros) {
        self.last_contact_at = Some(now);
        self.earlier_silence = 0;
        self.unreachable = false;
        self.consecutive_resets = 0;
        self.response_pending = self.in_flight > 0;
        self.silent_since = self.response_pending.then_some(now);
    }

    /// An attempt or a probe was answered, possibly with an error.
    pub(crate) fn record_answer(&mut self, now: Micros, write: bool) {
        self.finish_attempt(now);
        self.record_contact(now);
        if write {
            self.consecutive_write_timeouts = 0;
        }
    }

    /// An attempt or a probe timed out.
    pub(crate) fn record_timeout(&mut self, now: Micros, write: bool) {
        self.finish_attempt(now);
        if write {
            self.consecutive_write_timeouts = self.consecutive_write_timeouts.saturating_add(1);
            self.last_write_timeout_at = now;
        }
    }

    /// An attempt or a probe was cancelled or never sent: no evidence, but the silence until then counts.
    pub(crate) fn record_cancelled(&mut self, now: Micros) {
        self.finish_attempt(now);
    }

    /// A connection was refused.
    pub(crate) fn record_refused(&mut self, now: Micros) {
        self.finish_attempt(now);
        self.unreachable = true;
    }

    /// A connection was reset.
    pub(crate) fn record_reset(&mut self, now: Micros) {
        self.finish_attempt(now);
        self.consecutive_resets = self.consecutive_resets.saturating_add(1);
        if self.consecutive_resets >= MAX_CONSECUTIVE_RESETS {
            self.unreachable = true;
        }
    }

    /// An attempt or a probe is no longer in flight; with none left, the silence stops being measured.
    fn finish_attempt(&mut self, now: Micros) {
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
    pub(crate) fn awaits_contact(&self) -> bool {
        self.response_pending || self.unreachable
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
