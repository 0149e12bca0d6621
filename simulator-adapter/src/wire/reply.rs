//! What an instance answers, as the simulator reads it.

use super::ACTION;
use birchreach::*;

/// The reply to a batch, being written.
pub struct Reply {
    number: u32,
    records: Vec<(u16, [u8; ACTION])>,
    texts: Vec<(usize, String)>,
}

fn record(code: u16, router: u16) -> [u8; ACTION] {
    let mut r = [0; ACTION];
    r[0..2].copy_from_slice(&code.to_le_bytes());
    r[2..4].copy_from_slice(&router.to_le_bytes());
    r
}

fn put<const N: usize>(r: &mut [u8; ACTION], at: usize, bytes: [u8; N]) {
    r[at..at + N].copy_from_slice(&bytes);
}

fn ms(span: Micros) -> [u8; 8] {
    (span as f64 / 1000.0).to_le_bytes()
}

impl Reply {
    pub fn new(number: u32) -> Self {
        Reply { number, records: Vec::new(), texts: Vec::new() }
    }

    fn text(&mut self, code: u16, router: u16, text: String) {
        self.texts.push((self.records.len(), text));
        self.records.push((router, record(code, router)));
    }

    pub fn bail_out(&mut self, router: u16, message: &str) {
        self.text(264, router, message.to_string());
    }

    /// Drops what a killed instance asked for earlier in this batch.
    pub fn forget(&mut self, router: u16) {
        let mut texts = std::mem::take(&mut self.texts).into_iter().peekable();
        let mut kept = Vec::new();
        for (i, r) in std::mem::take(&mut self.records).into_iter().enumerate() {
            let text = texts.next_if(|t| t.0 == i);
            if r.0 != router {
                if let Some((_, text)) = text {
                    self.texts.push((kept.len(), text));
                }
                kept.push(r);
            }
        }
        self.records = kept;
    }

    pub fn actions(&mut self, router: u16, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            let mut r;
            match action {
                Action::Send { request, server, timeout: patience } => {
                    r = record(262, router);
                    put(&mut r, 4, request.0.to_le_bytes());
                    put(&mut r, 12, server.0.to_le_bytes());
                    put(&mut r, 16, ms(patience));
                }
                Action::Reject { request, retry_after } => {
                    r = record(265, router);
                    put(&mut r, 4, request.0.to_le_bytes());
                    put(&mut r, 12, ms(retry_after.unwrap_or(0)));
                }
                Action::Fail { request } => {
                    r = record(256, router);
                    put(&mut r, 4, request.0.to_le_bytes());
                }
                Action::Cancel { request, attempt } => {
                    r = record(260, router);
                    put(&mut r, 4, request.0.to_le_bytes());
                    put(&mut r, 12, attempt.0.to_le_bytes());
                }
                Action::HealthCheck { server } => {
                    r = record(257, router);
                    put(&mut r, 4, server.0.to_le_bytes());
                }
                Action::Timer { id, delay: after } => {
                    r = record(263, router);
                    put(&mut r, 4, ms(after));
                    put(&mut r, 12, id.to_le_bytes());
                }
                Action::WatchEndpoints => {
                    r = record(259, router);
                    r[4] = 1;
                }
                Action::Log(text) => {
                    self.text(267, router, text);
                    continue;
                }
            }
            self.records.push((router, r));
        }
    }

    pub fn finish(mut self) -> Vec<u8> {
        let mut tail = Vec::new();
        for (index, text) in &self.texts {
            let r = &mut self.records[*index].1;
            put(r, 4, (tail.len() as u32).to_le_bytes());
            put(r, 8, (text.len() as u32).to_le_bytes());
            tail.extend_from_slice(text.as_bytes());
        }
        let length = self.records.len() * ACTION + tail.len();
        let mut out = Vec::with_capacity(12 + length);
        out.extend_from_slice(&(length as u32).to_le_bytes());
        out.extend_from_slice(&(self.records.len() as u32).to_le_bytes());
        out.extend_from_slice(&self.number.to_le_bytes());
        for (_, r) in &self.records {
            out.extend_from_slice(r);
        }
        out.extend_from_slice(&tail);
        out
    }
}
