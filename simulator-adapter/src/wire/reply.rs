//! The reply to a batch: action records, then a tail with their texts.

use super::RouterId;
use birchreach::{Action, Micros};

const ACTION_BYTES: usize = 24;
const MICROS_PER_MILLISECOND: f64 = 1_000.0;

/// Codes of action records.
mod code {
    pub const FAIL: u16 = 256;
    pub const HEALTH_CHECK: u16 = 257;
    pub const WATCH_ENDPOINTS: u16 = 259;
    pub const CANCEL: u16 = 260;
    pub const SEND: u16 = 262;
    pub const TIMER: u16 = 263;
    pub const START_FAILED: u16 = 264;
    pub const REJECT: u16 = 265;
    pub const LOG: u16 = 267;
}

/// An action record, and its text, whose offset and length are known only once the reply is complete.
struct Record {
    router: RouterId,
    bytes: [u8; ACTION_BYTES],
    text: Option<String>,
}

impl Record {
    fn new(code: u16, router: RouterId) -> Record {
        let mut record = Record { router, bytes: [0; ACTION_BYTES], text: None };
        record.put(0, code.to_le_bytes());
        record.put(2, router.0.to_le_bytes());
        record
    }

    fn with_text(code: u16, router: RouterId, text: String) -> Record {
        Record { text: Some(text), ..Record::new(code, router) }
    }

    fn put<const N: usize>(&mut self, offset: usize, bytes: [u8; N]) {
        self.bytes[offset..offset + N].copy_from_slice(&bytes);
    }

    fn from_action(router: RouterId, action: Action) -> Record {
        match action {
            Action::Send { request, server, timeout } => {
                let mut record = Record::new(code::SEND, router);
                record.put(4, request.0.to_le_bytes());
                record.put(12, server.0.to_le_bytes());
                record.put(16, milliseconds(timeout));
                record
            }
            Action::Reject { request, retry_after } => {
                let mut record = Record::new(code::REJECT, router);
                record.put(4, request.0.to_le_bytes());
                record.put(12, milliseconds(retry_after.unwrap_or(0)));
                record
            }
            Action::Fail { request } => {
                let mut record = Record::new(code::FAIL, router);
                record.put(4, request.0.to_le_bytes());
                record
            }
            Action::Cancel { request, attempt } => {
                let mut record = Record::new(code::CANCEL, router);
                record.put(4, request.0.to_le_bytes());
                record.put(12, attempt.0.to_le_bytes());
                record
            }
            Action::HealthCheck { server } => {
                let mut record = Record::new(code::HEALTH_CHECK, router);
                record.put(4, server.0.to_le_bytes());
                record
            }
            Action::Timer { id, delay } => {
                let mut record = Record::new(code::TIMER, router);
                record.put(4, milliseconds(delay));
                record.put(12, id.to_le_bytes());
                record
            }
            Action::WatchEndpoints => {
                let mut record = Record::new(code::WATCH_ENDPOINTS, router);
                record.put(4, [1]);
                record
            }
            Action::Log(text) => Record::with_text(code::LOG, router, text),
        }
    }
}

fn milliseconds(span: Micros) -> [u8; 8] {
    (span as f64 / MICROS_PER_MILLISECOND).to_le_bytes()
}

/// A reply under construction.
pub struct Reply {
    batch: u32,
    records: Vec<Record>,
}

impl Reply {
    pub fn new(batch: u32) -> Reply {
        Reply { batch, records: Vec::new() }
    }

    /// Adds the actions of a router and leaves the list empty.
    pub fn push_actions(&mut self, router: RouterId, actions: &mut Vec<Action>) {
        self.records.extend(actions.drain(..).map(|action| Record::from_action(router, action)));
    }

    /// Tells that a router could not be started.
    pub fn push_start_failure(&mut self, router: RouterId, message: &str) {
        self.records.push(Record::with_text(code::START_FAILED, router, message.to_string()));
    }

    /// Drops the actions of a router that was stopped within the batch.
    pub fn discard(&mut self, router: RouterId) {
        self.records.retain(|record| record.router != router);
    }

    /// The bytes of the reply.
    pub fn encode(mut self) -> Vec<u8> {
        let mut tail = Vec::new();
        for record in &mut self.records {
            if let Some(text) = record.text.take() {
                record.put(4, (tail.len() as u32).to_le_bytes());
                record.put(8, (text.len() as u32).to_le_bytes());
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
