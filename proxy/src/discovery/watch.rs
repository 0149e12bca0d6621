//! The watch on the list: which call is next, how long each part of it may take, and what its answer tells. A machine that is fed
//! bytes.
//!
//! A change counts as told [`TOLD`] after discovery had it and could be reached, whatever call failed. The parts of the chain from a
//! failed call to the list held are bounded by that: see [`super::backoff`].

use super::error::CallError;
use super::http::{MAX_BODY, MAX_HEAD, body};
use super::list::Update;
use birchreach::Micros;

/// What discovery has counts as told so long after it had it, or after a call fell silent.
pub const TOLD: Micros = 6_000_000;
/// A call that may wait counts as silent so long after that wait, if that is later.
const TOLD_AFTER_HOLD: Micros = 2_000_000;
/// Kept of those times for the next call and its answer.
pub const SPARE: Micros = 500_000;
/// For a call that does not wait, and for the rest of an answer that has begun: two such calls fit into [`TOLD`].
pub const ANSWER: Micros = (TOLD - 2 * SPARE) / 2;
/// For a connection to come up: a lost first packet is sent again after a second.
pub const CONNECT: Micros = TOLD / 4;
/// How long a watch may wait for news.
const HOLD_MS: u64 = 20_000;

/// The calls: one at a time, each from the newest version held.
pub struct Watch {
    host: String,
    /// The newest version held.
    rev: Option<u64>,
    /// The last call came to nothing: the next one does not wait for news, so that its silence shows soon.
    failed: bool,
    input: Vec<u8>,
}

impl Watch {
    pub fn new(host: String, rev: Option<u64>) -> Watch {
        Watch { host, rev, failed: false, input: Vec::new() }
    }

    /// Another host tells the list from now on, with the same versions.
    pub fn moved(&mut self, host: String) {
        self.host = host;
        self.failed();
    }

    /// The call came to nothing.
    pub fn failed(&mut self) {
        self.failed = true;
        self.input.clear();
    }

    /// The next call may wait for news.
    pub fn holds(&self) -> bool {
        self.rev.is_some() && !self.failed
    }

    /// The next call, on a connection that owes no answer.
    pub fn call(&mut self) -> Vec<u8> {
        self.input.clear();
        let hold = if self.holds() { HOLD_MS } else { 0 };
        let query = self.rev.map_or(String::new(), |rev| format!("?from={rev}&hold_ms={hold}"));
        let host = &self.host;
        format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
            .into_bytes()
    }

    /// How long that call may stay silent.
    pub fn patience(&self) -> Micros {
        if self.holds() { HOLD_MS as Micros * 1000 + TOLD_AFTER_HOLD - SPARE } else { ANSWER }
    }

    /// An answer has begun, and is not whole.
    pub fn answering(&self) -> bool {
        !self.input.is_empty()
    }

    /// Takes bytes; an answer comes out once it is whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Answer>, CallError> {
        self.input.extend_from_slice(bytes);
        if self.input.len() > MAX_HEAD + 2 * MAX_BODY {
            return Err(CallError::TooLong);
        }
        let Some(body) = body(&self.input, false)? else { return Ok(None) };
        self.take(&body).map(Some)
    }

    /// The connection was closed, which ends an answer without a length. A reset does not.
    pub fn closed(&mut self) -> Result<Option<Answer>, CallError> {
        if self.input.is_empty() {
            return Ok(None);
        }
        let Some(body) = body(&self.input, true)? else { return Err(CallError::CutShort) };
        self.take(&body).map(Some)
    }

    fn take(&mut self, body: &[u8]) -> Result<Answer, CallError> {
        self.input.clear();
        let update: Update = serde_json::from_slice(body).map_err(|e| CallError::List(e.to_string()))?;
        self.failed = false;
        // An agent that is behind what this proxy knew at its start has old changes to tell. A whole
        // list counts, however old: it is all that the agent holds.
        if !update.all && self.rev.is_some_and(|rev| update.rev < rev) {
            self.rev = None;
            return Ok(Answer::Old);
        }
        self.rev = Some(update.rev);
        Ok(Answer::News(update))
    }
}

/// What a call was answered with.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    News(Update),
    /// Changes older than what is held, not to be applied: the whole list is asked for next.
    Old,
}
