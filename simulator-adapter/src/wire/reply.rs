//! Encodes the reply to a batch, which has a header, action records, and a tail with the texts of the records.

use super::{MICROS_PER_MILLISECOND, RouterId};
use birchreach::{Action, Micros, RequestId};

/// Length of an action record in bytes.
const ACTION_BYTES: usize = 24;

/// Codes of action records.
mod code {
    pub(super) const FAIL: u16 = 256;
    pub(super) const HEALTH_CHECK: u16 = 257;
    pub(super) const WATCH_ENDPOINTS: u16 = 259;
    pub(super) const CANCEL: u16 = 260;
    pub(super) const SEND: u16 = 262;
    pub(super) const TIMER: u16 = 263;
    pub(super) const START_FAILED: u16 = 264;
    pub(super) const REJECT: u16 = 265;
    pub(super) const LOG: u16 = 267;
}

/// An action record and its text. The offset of the text is known only when the reply is encoded.
struct Record {
    router: RouterId,
    bytes: [u8; ACTION_BYTES],
    text: Option<String>,
}

impl Record {
    /// Creates a record with a code and a router, and without further fields.
    fn new(code: u16, router: RouterId) -> Record {
        let empty = Record { router, bytes: [0; ACTION_BYTES], text: None };
        empty.with_field(0, code.to_le_bytes()).with_field(2, router.0.to_le_bytes())
    }

    /// Creates a record with a text in the tail and without further fields.
    fn with_text(code: u16, router: RouterId, text: String) -> Record {
        Record { text: Some(text), ..Record::new(code, router) }
    }

    fn set_field<const LENGTH: usize>(&mut self, offset: usize, bytes: [u8; LENGTH]) {
        self.bytes[offset..offset + LENGTH].copy_from_slice(&bytes);
    }

    /// Returns the record with a further field.
    fn with_field<const LENGTH: usize>(mut self, offset: usize, bytes: [u8; LENGTH]) -> Record {
        self.set_field(offset, bytes);
        self
    }

    /// Creates the record of an action for a request. The id of the request follows the router.
    fn for_request(code: u16, router: RouterId, request: RequestId) -> Record {
        Record::new(code, router).with_field(4, request.0.to_le_bytes())
    }

    /// Creates the record of an action.
    fn from_action(router: RouterId, action: Action) -> Record {
        match action {
            Action::Send { request, server, timeout } => Record::for_request(code::SEND, router, request)
                .with_field(12, server.0.to_le_bytes())
                .with_field(16, encode_milliseconds(timeout)),
            Action::Reject { request, retry_after } => Record::for_request(code::REJECT, router, request)
                .with_field(12, encode_milliseconds(retry_after.unwrap_or(0))),
            Action::Fail { request } => Record::for_request(code::FAIL, router, request),
            Action::Cancel { request, attempt } => {
                Record::for_request(code::CANCEL, router, request).with_field(12, attempt.0.to_le_bytes())
            }
            Action::HealthCheck { server } => {
                Record::new(code::HEALTH_CHECK, router).with_field(4, server.0.to_le_bytes())
            }
            Action::Timer { id, delay } => Record::new(code::TIMER, router)
                .with_field(4, encode_milliseconds(delay))
                .with_field(12, id.to_le_bytes()),
            Action::WatchEndpoints => Record::new(code::WATCH_ENDPOINTS, router).with_field(4, [1]),
            Action::Log(text) => Record::with_text(code::LOG, router, text),
        }
    }
}

/// Encodes a span for the wire, in milliseconds.
fn encode_milliseconds(span: Micros) -> [u8; 8] {
    (span as f64 / MICROS_PER_MILLISECOND as f64).to_le_bytes()
}

/// A reply under construction.
pub(crate) struct Reply {
    batch: u32,
    records: Vec<Record>,
}

impl Reply {
    /// Creates a reply without actions.
    pub(crate) fn new(batch: u32) -> Reply {
        Reply { batch, records: Vec::new() }
    }

    /// Moves the actions of a router to the reply and leaves `actions` empty.
    pub(crate) fn push_actions(&mut self, router: RouterId, actions: &mut Vec<Action>) {
        self.records.extend(actions.drain(..).map(|action| Record::from_action(router, action)));
    }

    /// Adds the report that a router could not be started.
    pub(crate) fn push_start_failure(&mut self, router: RouterId, message: &str) {
        self.records.push(Record::with_text(code::START_FAILED, router, message.to_string()));
    }

    /// Removes the actions of a router that was stopped within the batch.
    pub(crate) fn discard_actions(&mut self, router: RouterId) {
        self.records.retain(|record| record.router != router);
    }

    /// Returns the bytes of the reply.
    pub(crate) fn encode(mut self) -> Vec<u8> {
        let mut tail = Vec::new();
        for record in &mut self.records {
            if let Some(text) = record.text.take() {
                record.set_field(4, (tail.len() as u32).to_le_bytes());
                record.set_field(8, (text.len() as u32).to_le_bytes());
                tail.extend_from_slice(text.as_bytes());
            }
        }
        let length = self.records.len() * ACTION_BYTES + tail.len();
        let mut reply = Vec::new();
        reply.extend_from_slice(&(length as u32).to_le_bytes());
        reply.extend_from_slice(&(self.records.len() as u32).to_le_bytes());
        reply.extend_from_slice(&self.batch.to_le_bytes());
        for record in &self.records {
            reply.extend_from_slice(&record.bytes);
        }
        reply.extend_from_slice(&tail);
        reply
    }
}
