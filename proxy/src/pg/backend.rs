//! A connection to a database: fed what the database sends, it tells when the connection is up and
//! what each query came to.

use super::answer::{Part, Partial};
use super::codec::{FromServer, Inbox, LongRow, MAX_REPLY, Malformed};
use super::copies;
use super::statement::Statement;
use crate::outbox::Outbox;
use crate::pg::report::{ReportForm, millis, role};
use crate::reply::{Reply, Value};
use birchreach::Micros;
use std::mem::take;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Startup,
    Idle,
    Request,
    Probe,
    /// A statement that no client sent.
    BackgroundQuery,
    Over,
}

/// What the database's bytes came to.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// The connection is up.
    Ready,
    /// A long value begins, of so many bytes; they follow in pieces, and its end with `Done`.
    Begun(usize),
    Piece(Vec<u8>),
    /// The query is over.
    Done(Reply),
    /// It turned the connection away before anything could be asked.
    TurnedAway(Reply),
    /// What it says makes no sense; the connection is of no use.
    Nonsense,
}

pub struct Backend {
    phase: Phase,
    inbox: Inbox,
    pub out: Outbox,
    partial: Partial,
    form: ReportForm,
    /// A copy is asked for, which must have this position.
    copy: Option<Micros>,
}

impl Backend {
    /// A new connection; the startup message waits to be written.
    pub fn new(form: ReportForm) -> Backend {
        let mut out = Outbox::default();
        out.startup("api", "ledger");
        Backend {
            phase: Phase::Startup,
            inbox: Inbox::default(),
            out,
            partial: Partial::default(),
            form,
            copy: None,
        }
    }

    /// Sends the statement on, unchanged but for the wait that is left.
    pub fn run(&mut self, statement: &Statement, left_ms: u64) {
        let (head, tail) = statement.parts();
        self.out.query(&[head, left_ms.to_string().as_bytes(), tail]);
        (self.phase, self.partial, self.copy) = (Phase::Request, Partial::default(), None);
    }

    /// Asks for the copy of what the statement reads, if it has this position.
    pub fn run_copy(&mut self, statement: &Statement, left_ms: u64, position: Micros) {
        self.out.query(&[&copies::read(statement, left_ms, position)]);
        (self.phase, self.partial, self.copy) = (Phase::Request, Partial::default(), Some(position));
    }

    /// Sends a statement of our own.
    pub fn errand(&mut self, text: &[u8]) {
        self.out.query(&[text]);
        (self.phase, self.partial, self.copy) = (Phase::BackgroundQuery, Partial::default(), None);
    }

    /// Asks the database for its report.
    pub fn probe(&mut self) {
        self.out.query(&[b"SHOW usage"]);
        (self.phase, self.partial, self.copy) = (Phase::Probe, Partial::default(), None);
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.inbox.feed(bytes);
    }

    pub fn next(&mut self) -> Option<Heard> {
        while self.phase != Phase::Over {
            if self.partial.coming > 0 {
                let piece = self.inbox.pass(self.partial.coming);
                self.partial.coming -= piece.len();
                return (!piece.is_empty()).then_some(Heard::Piece(piece));
            }
            if (self.phase, self.partial.part) == (Phase::Request, Part::Description) {
                match self.inbox.long_row() {
                    LongRow::No => {}
                    LongRow::Wait => return None,
                    LongRow::Value(length) => {
                        (self.partial.coming, self.partial.part) = (length, Part::Row);
                        return Some(Heard::Begun(length));
                    }
                }
            }
            let heard = match self.inbox.server_message() {
                Ok(None) => {
                    self.inbox.shrink();
                    return None;
                }
                Ok(Some((message, bytes))) => self.hear(message, bytes),
                Err(e) => Err(e),
            };
            match heard {
                Ok(None) => {}
                Ok(Some(heard)) => return Some(heard),
                // Noise right behind a whole answer does not spoil it, only the connection.
                Err(_) => return Some(self.ended().unwrap_or(Heard::Nonsense)),
            }
        }
        None
    }

    /// A long value has begun, and not all of it has come.
    pub fn streaming(&self) -> bool {
        self.partial.coming > 0
    }

    /// Nothing has come that was not asked for: the connection may carry another query.
    pub fn clean(&self) -> bool {
        self.phase == Phase::Idle && self.inbox.len() == 0
    }

    /// The connection is over. An answer that was whole but for the last message still counts.
    pub fn ended(&mut self) -> Option<Heard> {
        let whole = self.partial.part == Part::Whole;
        match std::mem::replace(&mut self.phase, Phase::Over) {
            Phase::Request if whole => Some(Heard::Done(self.reply(false))),
            Phase::BackgroundQuery if whole => Some(Heard::Done(self.reply(false))),
            Phase::Probe if whole => Some(Heard::Done(self.reply(true))),
            _ => None,
        }
    }

    fn hear(&mut self, message: FromServer, bytes: usize) -> Result<Option<Heard>, Malformed> {
        let asked = matches!(self.phase, Phase::Request | Phase::Probe | Phase::BackgroundQuery);
        self.partial.bytes += bytes;
        if self.partial.bytes > 2 * MAX_REPLY {
            return Err(Malformed::TooLong);
        }
        let part = self.partial.part;
        match message {
            FromServer::Skipped => {}
            FromServer::Authentication(0) if self.phase == Phase::Startup => {}
            FromServer::Authentication(_) => return Err(Malformed::Bad("a password is wanted")),
            FromServer::ParameterStatus { name, value } => match name.as_str() {
                "server_role" => self.partial.role = role(&value),
                "commit_clock" => self.partial.position = millis(&value),
                "usage" if self.form.in_answers => self.partial.usage = self.form.read(value.as_bytes()),
                _ => {}
            },
            FromServer::Error { code } if self.phase == Phase::Startup => {
                self.partial.error = Some(code);
                self.phase = Phase::Over;
                return Ok(Some(Heard::TurnedAway(self.reply(false))));
            }
            FromServer::Error { code } if asked && part != Part::Whole => {
                (self.partial.error, self.partial.part) = (Some(code), Part::Whole);
            }
            // Values come in binary form.
            FromServer::RowDescription { binary }
                if part == Part::Nothing && asked && (binary || self.phase != Phase::Request) =>
            {
                self.partial.part = Part::Description;
            }
            FromServer::DataRow(bytes) if part == Part::Description => {
                let binary = self.phase != Phase::Probe;
                (self.partial.value, self.partial.part) = (Some(Value { bytes, binary }), Part::Row);
            }
            FromServer::CommandComplete if part == Part::Row => self.partial.part = Part::Whole,
            // No row, or a statement that has none.
            FromServer::CommandComplete if self.phase == Phase::BackgroundQuery && part != Part::Whole => {
                self.partial.part = Part::Whole;
            }
            FromServer::ReadyForQuery if self.phase == Phase::Startup => {
                (self.phase, self.partial) = (Phase::Idle, Partial::default());
                return Ok(Some(Heard::Ready));
            }
            FromServer::ReadyForQuery if part == Part::Whole => {
                let probe = std::mem::replace(&mut self.phase, Phase::Idle) == Phase::Probe;
                return Ok(Some(Heard::Done(self.reply(probe))));
            }
            _ => return Err(Malformed::Bad("a message out of place")),
        }
        Ok(None)
    }

    fn reply(&mut self, probe: bool) -> Reply {
        take(&mut self.partial).reply(probe, self.copy.take(), &self.form)
    }
}
