//! The watch on the endpoint list. This state machine builds the requests, gives the timeout for each response, and parses the
//! responses from the received bytes.
//!
//! A proxy counts as notified of a change [`NOTIFICATION_DEADLINE_MICROS`] after discovery had the change and was reachable,
//! whichever poll failed. The sequence from a failed poll to the new list must fit into this time: see [`super::backoff`].

use super::error::PollError;
use super::http::{MAX_BODY_BYTES, MAX_HEAD_BYTES, response_body};
use super::list::EndpointUpdate;
use crate::outbox::reserve_in_steps;
use crate::units::MICROS_PER_MILLI;
use birchreach::Micros;

/// The time after which the proxy counts as notified of a change. It is counted from the instant at which discovery had the
/// change, or from the instant at which a poll became unresponsive.
pub(super) const NOTIFICATION_DEADLINE_MICROS: Micros = 6_000_000;
/// If a long poll missed the change, the proxy counts as notified this long after the end of the poll's wait, or
/// [`NOTIFICATION_DEADLINE_MICROS`] after the change, whichever is later.
const LONG_POLL_GRACE_MICROS: Micros = 2_000_000;
/// The part of these two times that is reserved for the next poll and its response.
pub(super) const NEXT_POLL_RESERVE_MICROS: Micros = 500_000;
/// The timeout of a poll that does not wait for a change, and of the rest of a response that has begun. Two such polls fit into
/// [`NOTIFICATION_DEADLINE_MICROS`].
pub(crate) const RESPONSE_TIMEOUT_MICROS: Micros =
    (NOTIFICATION_DEADLINE_MICROS - 2 * NEXT_POLL_RESERVE_MICROS) / 2;
/// The timeout for establishing a connection. It leaves time for the retransmission of a lost first packet, which takes place
/// after a second.
pub(crate) const CONNECT_TIMEOUT_MICROS: Micros = NOTIFICATION_DEADLINE_MICROS / 4;
/// How long a long poll may wait for a change.
const LONG_POLL_MS: u64 = 20_000;

/// Polls discovery one request at a time, each for the changes after the newest revision received.
pub(crate) struct EndpointWatch {
    host: String,
    /// The newest revision received. `None`: the next poll requests the complete list.
    revision: Option<u64>,
    /// If set, the next poll does not wait for a change, so that an unresponsive discovery service is detected soon.
    last_poll_failed: bool,
    /// The part of the response that has arrived.
    input: Vec<u8>,
    /// The longest body that is accepted, in bytes.
    max_body_bytes: usize,
}

/// The part of the memory limit that the body of a response may take. While it is read, its body may be held three times.
const BODY_PART_OF_MEMORY: usize = 16;

impl EndpointWatch {
    /// Creates a watch that continues from `revision`, or starts with the complete list if there is none.
    pub(crate) fn new(host: String, revision: Option<u64>) -> EndpointWatch {
        let max_body_bytes = MAX_BODY_BYTES;
        EndpointWatch { host, revision, last_poll_failed: false, input: Vec::new(), max_body_bytes }
    }

    /// Adapts the longest body that is accepted to the memory limit in bytes.
    pub(crate) fn set_memory_limit(&mut self, limit: usize) {
        self.max_body_bytes = MAX_BODY_BYTES.min(limit / BODY_PART_OF_MEMORY);
    }

    /// Directs further polls to another host, which must have the same revisions. The first poll does not wait for a change.
    pub(crate) fn set_host(&mut self, host: String) {
        self.host = host;
        self.record_failure();
    }

    /// Records that the poll failed. The next poll does not wait for a change.
    pub(crate) fn record_failure(&mut self) {
        self.last_poll_failed = true;
        self.input = Vec::new();
    }

    /// Whether the next poll may wait for a change.
    pub(crate) fn is_long_poll(&self) -> bool {
        self.revision.is_some() && !self.last_poll_failed
    }

    /// Builds the next request. No response may be outstanding on the connection.
    pub(crate) fn next_request(&mut self) -> Vec<u8> {
        self.input.clear();
        let wait_ms = if self.is_long_poll() { LONG_POLL_MS } else { 0 };
        let query = match self.revision {
            Some(revision) => format!("?from={revision}&hold_ms={wait_ms}"),
            None => String::new(),
        };
        let host = &self.host;
        format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
            .into_bytes()
    }

    /// Returns the time that the poll may take until its response begins.
    pub(crate) fn response_timeout(&self) -> Micros {
        if !self.is_long_poll() {
            return RESPONSE_TIMEOUT_MICROS;
        }
        LONG_POLL_MS as Micros * MICROS_PER_MILLI + LONG_POLL_GRACE_MICROS - NEXT_POLL_RESERVE_MICROS
    }

    /// Whether a response has begun and is incomplete.
    pub(crate) fn response_started(&self) -> bool {
        !self.input.is_empty()
    }

    /// Appends received bytes. Returns the response once it is complete.
    pub(crate) fn feed(&mut self, bytes: &[u8]) -> Result<Option<PollResponse>, PollError> {
        reserve_in_steps(&mut self.input, bytes.len());
        self.input.extend_from_slice(bytes);
        if self.input.len() > MAX_HEAD_BYTES + 2 * self.max_body_bytes {
            return Err(PollError::TooLong);
        }
        let Some(body) = response_body(&self.input, false, self.max_body_bytes)? else { return Ok(None) };
        self.parse_list(&body).map(Some)
    }

    /// Handles the close of the connection, which completes a response without a length. Must not be called after a reset.
    pub(crate) fn finish_on_close(&mut self) -> Result<Option<PollResponse>, PollError> {
        if self.input.is_empty() {
            return Ok(None);
        }
        let Some(body) = response_body(&self.input, true, self.max_body_bytes)? else {
            return Err(PollError::Truncated);
        };
        self.parse_list(&body).map(Some)
    }

    /// Parses a complete body.
    fn parse_list(&mut self, body: &[u8]) -> Result<PollResponse, PollError> {
        self.input = Vec::new();
        let update: EndpointUpdate =
            serde_json::from_slice(body).map_err(|error| PollError::invalid_list(&error))?;
        self.last_poll_failed = false;
        // An agent whose list is older than the one that the proxy had at its start sends outdated changes. A complete list is
        // applied even if it is outdated, because the agent has no newer one.
        if !update.complete && self.revision.is_some_and(|revision| update.revision < revision) {
            self.revision = None;
            return Ok(PollResponse::Stale);
        }
        self.revision = Some(update.revision);
        Ok(PollResponse::Updated(update))
    }
}

/// The parsed response to a poll.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PollResponse {
    /// The changes or the complete list to apply. The changes are empty if the list is unchanged.
    Updated(EndpointUpdate),
    /// Changes older than the newest revision received. They must not be applied. The next poll requests the complete list.
    Stale,
}
