//! Outlier detection: ejects servers whose requests fail or that stop responding. After a backoff, an ejected
//! server is sent a single request at a time (the half-open state), until its failure rate is low again.

use super::servers::Server;
use super::{RECENT_SAMPLE_WEIGHT, Router};
use crate::estimates::update_mean;
use crate::interface::{Action, Micros, ServerId};

/// A server is ejected if its recent requests fail at a higher rate.
const EJECTION_FAILURE_RATE: f64 = 0.3;
/// An ejected server is restored once its failure rate has fallen to this value.
const RESTORE_FAILURE_RATE: f64 = EJECTION_FAILURE_RATE / 3.0;
/// Backoff before the first retry of an ejected server. Doubles up to [`MAX_EJECTION_BACKOFF`].
const INITIAL_EJECTION_BACKOFF: Micros = 500_000;
const MAX_EJECTION_BACKOFF: Micros = 4_000_000;
/// Minimum backoff per proxy of the fleet. Limits the retries at one server to 20 per second, summed over all
/// proxies.
const EJECTION_RETRY_SPACING: Micros = 50_000;

/// Why a server is ejected.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EjectionReason {
    /// The server has not responded to a request or a connection attempt.
    Unresponsive,
    /// The server fails or rejects its requests.
    Failures,
}

/// Responses and failures of a server, and whether it is ejected.
pub(super) struct OutlierDetection {
    /// Running mean: fraction of requests that failed.
    failure_rate: f64,
    ejected: bool,
    unresponsive: bool,
    /// Time from which the ejected server may be sent one request at a time.
    half_open_at: Option<Micros>,
    next_backoff: Micros,
    last_response_at: Option<Micros>,
    /// Latest sending time of the answered attempts.
    newest_answered_sent_at: Option<Micros>,
}

impl OutlierDetection {
    pub(super) fn new() -> Self {
        OutlierDetection {
            failure_rate: 0.0,
            ejected: false,
            unresponsive: false,
            half_open_at: None,
            next_backoff: INITIAL_EJECTION_BACKOFF,
            last_response_at: None,
            newest_answered_sent_at: None,
        }
    }

    pub(super) fn reset_for_new_process(&mut self) {
        self.failure_rate = 0.0;
        self.ejected = false;
        self.unresponsive = false;
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.ejected
    }

    pub(super) fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Time from which the ejected server may be sent requests again; `None` if it was never ejected.
    pub(super) fn half_open_at(&self) -> Option<Micros> {
        self.half_open_at
    }

    /// Whether the server is ejected and the backoff has not elapsed.
    pub(super) fn is_ejected_at(&self, now: Micros) -> bool {
        self.ejected && self.half_open_at > Some(now)
    }

    /// Whether the server is ejected but may be sent one request, which shows whether it has recovered.
    pub(super) fn is_half_open_at(&self, now: Micros) -> bool {
        self.ejected && Some(now) >= self.half_open_at
    }

    pub(super) fn record_response(&mut self, now: Micros) {
        self.last_response_at = Some(now);
    }

    /// Records a response that shows that requests are processed.
    pub(super) fn record_sign_of_life(&mut self, now: Micros) {
        self.record_response(now);
        self.unresponsive = false;
    }

    pub(super) fn record_answer_to_attempt_sent_at(&mut self, sent_at: Micros) {
        self.newest_answered_sent_at = self.newest_answered_sent_at.max(Some(sent_at));
    }

    /// Whether the last response of the server came before this time.
    pub(super) fn has_no_response_since(&self, at: Micros) -> bool {
        self.last_response_at < Some(at)
    }

    /// Whether an attempt that was sent after this time has been answered.
    pub(super) fn answered_attempt_sent_after(&self, sent_at: Micros) -> bool {
        self.newest_answered_sent_at > Some(sent_at)
    }

    /// Ejects the server, or extends its ejection after a failed retry. Returns whether the server was in
    /// rotation before.
    fn eject(&mut self, reason: EjectionReason, now: Micros, proxy_count: u32) -> bool {
        self.unresponsive |= reason == EjectionReason::Unresponsive;
        if !self.ejected || Some(now) >= self.half_open_at {
            let min_backoff = Micros::from(proxy_count) * EJECTION_RETRY_SPACING;
            self.half_open_at = Some(now + self.next_backoff.max(min_backoff));
            self.next_backoff = (self.next_backoff * 2).min(MAX_EJECTION_BACKOFF);
        }
        !std::mem::replace(&mut self.ejected, true)
    }

    /// Updates the failure rate, and restores an ejected server if the rate is low enough. Returns whether
    /// the server has to be ejected.
    fn record_outcome(&mut self, failed: bool, now: Micros) -> bool {
        update_mean(&mut self.failure_rate, f64::from(failed), RECENT_SAMPLE_WEIGHT);
        if failed && self.failure_rate > EJECTION_FAILURE_RATE {
            return true;
        }
        if self.ejected && self.failure_rate <= RESTORE_FAILURE_RATE {
            self.ejected = false;
            self.next_backoff = INITIAL_EJECTION_BACKOFF;
        } else if self.ejected && !failed {
            // The server served a request. The next request may follow immediately.
            self.half_open_at = Some(now);
        }
        false
    }
}

impl Router {
    /// Ejects a server. Logs the ejection if the server was in rotation before.
    pub(super) fn eject(&mut self, id: ServerId, reason: EjectionReason, actions: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let newly_ejected = server.outlier.eject(reason, self.now, self.settings.proxy_count);
        if newly_ejected {
            let reason = match reason {
                EjectionReason::Unresponsive => "unresponsive",
                EjectionReason::Failures => "requests fail",
            };
            actions.push(Action::Log(format!("server {} ejected from reads: {reason}", id.0)));
        }
    }

    /// Records that the server answered a request. `failed` means that it answered with an error.
    pub(super) fn record_answer(&mut self, id: ServerId, failed: bool, actions: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.outlier.record_sign_of_life(self.now);
        self.record_outcome(id, failed, actions);
    }

    /// Updates the failure rate of a server, and ejects the server if the rate is too high.
    pub(super) fn record_outcome(&mut self, id: ServerId, failed: bool, actions: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if server.outlier.record_outcome(failed, self.now) {
            self.eject(id, EjectionReason::Failures, actions);
        }
    }

    /// Whether the server is ejected, has no attempt in flight and may be sent one.
    pub(super) fn is_due_for_retry(&self, server: &Server) -> bool {
        server.concurrency.in_flight_count() == 0 && server.outlier.is_half_open_at(self.now)
    }
}
