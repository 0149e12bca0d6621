//! The evidence that attempts and probes provide about one server, and how long the server has been silent while
//! something was in flight. Module `group` derives the group's capabilities from it.
//!
//! A contact is a response or an established connection. A server is silent while something is in flight to it and it
//! makes no contact.

use crate::settings::HealthSettings;
use crate::{GroupId, Micros, Role};

/// After this many consecutive connection resets without a contact in between, a server counts as unreachable.
const MAX_CONSECUTIVE_RESETS: u32 = 3;
/// After this many consecutive write timeouts without an answered write in between, a server counts as not responding
/// to writes.
const MAX_CONSECUTIVE_WRITE_TIMEOUTS: u32 = 3;
/// Earlier silence no longer counts after nothing was in flight for this long.
const SILENCE_EXPIRES_MICROS: Micros = 5_000_000;
/// Writes are attempted again this long after the last write timeout.
const WRITE_RETRY_MICROS: Micros = 10_000_000;

/// Why a server is considered failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureEvidence {
    /// The server has been silent for longer than the limit.
    Unresponsive,
    /// The server refuses or resets connections.
    Unreachable,
    /// The server responds, but not to writes.
    WritesUnanswered,
}

/// What the endpoint list, attempts and probes show about one server.
#[derive(Clone, Debug)]
pub(crate) struct ServerEvidence {
    pub group: GroupId,
    /// Whether the endpoint list allows new work for the server.
    pub accepts_work: bool,
    /// Whether the endpoint list names the server as primary; `None` if the list doesn't say.
    pub listed_as_primary: Option<bool>,
    /// The role that the server last reported.
    pub reported_role: Option<Role>,
    pub last_contact_at: Option<Micros>,
    /// True while an attempt or a probe that was sent to the server has had no response.
    pub response_pending: bool,
    /// The number of attempts and probes in flight.
    in_flight: u32,
    /// The length of the silence before `silent_since`, in periods in which something was in flight.
    earlier_silence: Micros,
    /// The start of the current silence; `None` while nothing is in flight.
    silent_since: Option<Micros>,
    /// When an attempt or a probe was last sent or ended.
    last_in_flight_at: Micros,
    /// The server refused or reset connections and has made no contact since.
    unreachable: bool,
    /// The number of connection resets since the last contact.
    consecutive_resets: u32,
    /// The number of write timeouts since the last answered write.
    consecutive_write_timeouts: u32,
    last_write_timeout_at: Micros,
}

impl ServerEvidence {
    /// Creates the state of a newly listed server, about which there is no evidence.
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

    /// Records that an attempt or a probe was sent.
    pub(crate) fn record_sent(&mut self, now: Micros) {
        if self.in_flight == 0 && now - self.last_in_flight_at >= SILENCE_EXPIRES_MICROS {
            // Silence accumulates only over consecutive attempts. A capability that was withdrawn because of the
            // earlier silence stays withdrawn.
            self.earlier_silence = 0;
        }
        self.in_flight = self.in_flight.saturating_add(1);
        self.silent_since.get_or_insert(now);
        self.response_pending = true;
        self.last_in_flight_at = now;
    }

    /// Records a response or an established connection.
    pub(crate) fn record_contact(&mut self, now: Micros) {
        self.last_contact_at = Some(now);
        self.earlier_silence = 0;
        self.unreachable = false;
        self.consecutive_resets = 0;
        self.response_pending = self.in_flight > 0;
        self.silent_since = self.response_pending.then_some(now);
    }

    /// Records that an attempt or a probe was answered, possibly with an error.
    pub(crate) fn record_answer(&mut self, now: Micros, write: bool) {
        self.finish_attempt(now);
        self.record_contact(now);
        if write {
            self.consecutive_write_timeouts = 0;
        }
    }

    /// Records that an attempt or a probe timed out.
    pub(crate) fn record_timeout(&mut self, now: Micros, write: bool) {
        self.finish_attempt(now);
        if write {
            self.consecutive_write_timeouts = self.consecutive_write_timeouts.saturating_add(1);
            self.last_write_timeout_at = now;
        }
    }

    /// Records that an attempt or a probe was cancelled or never sent. This is no evidence about the server, but the
    /// silence until now counts.
    pub(crate) fn record_cancelled(&mut self, now: Micros) {
        self.finish_attempt(now);
    }

    /// Records that the server refused a connection.
    pub(crate) fn record_refused(&mut self, now: Micros) {
        self.finish_attempt(now);
        self.unreachable = true;
    }

    /// Records a connection reset.
    pub(crate) fn record_reset(&mut self, now: Micros) {
        self.finish_attempt(now);
        self.consecutive_resets = self.consecutive_resets.saturating_add(1);
        if self.consecutive_resets >= MAX_CONSECUTIVE_RESETS {
            self.unreachable = true;
        }
    }

    /// Removes an attempt or a probe from those in flight. If it was the last one, the silence is no longer measured.
    fn finish_attempt(&mut self, now: Micros) {
        self.last_in_flight_at = now;
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0
            && let Some(since) = self.silent_since.take()
        {
            self.earlier_silence += now - since;
        }
    }

    /// Returns how long the server has been silent while something was in flight.
    pub(crate) fn silence(&self, now: Micros) -> Micros {
        self.earlier_silence + self.silent_since.map_or(0, |since| now - since)
    }

    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// True if a contact would change the evidence about the server.
    pub(crate) fn awaits_contact(&self) -> bool {
        self.response_pending || self.unreachable
    }

    /// Returns why the server is not expected to answer a write; `None` if no evidence speaks against it.
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

    /// True if the server is unreachable or unresponsive and something was in flight recently.
    pub(crate) fn is_unusable_for_reads(&self, now: Micros, settings: &HealthSettings) -> bool {
        let recent = self.in_flight > 0 || now - self.last_in_flight_at < SILENCE_EXPIRES_MICROS;
        recent
            && matches!(
                self.failure(now, settings),
                Some(FailureEvidence::Unreachable | FailureEvidence::Unresponsive)
            )
    }

    /// Returns when `failure` or `is_unusable_for_reads` will change without an event.
    pub(crate) fn next_change(&self, now: Micros, settings: &HealthSettings) -> Option<Micros> {
        let unresponsive_at = self.silence_reaches_at(now, settings.silence_limit());
        let usable_at = (self.in_flight == 0 && self.is_unusable_for_reads(now, settings))
            .then_some(self.last_in_flight_at + SILENCE_EXPIRES_MICROS);
        let write_retry_at = (self.consecutive_write_timeouts >= MAX_CONSECUTIVE_WRITE_TIMEOUTS)
            .then_some(self.last_write_timeout_at + WRITE_RETRY_MICROS)
            .filter(|at| *at > now);
        [unresponsive_at, usable_at, write_retry_at].into_iter().flatten().min()
    }

    /// Returns when the silence will reach this length if it continues. `None` if the silence has reached the length,
    /// or if nothing is in flight.
    pub(crate) fn silence_reaches_at(&self, now: Micros, limit: Micros) -> Option<Micros> {
        let since = self.silent_since?;
        (self.silence(now) < limit).then_some(since + limit - self.earlier_silence)
    }
}
