//! A client's turn: its input is read and decoded, its statements are taken or answered with what is wrong, its answers written.

use super::super::event_loop_context::EventLoopContext;
use super::super::statement_payload::StatementPayload;
use super::super::stream::{self, Ended};
use super::Clients;
use super::client::{Client, CloseMode};
use crate::core::RoutingRequest;
use crate::pg::frontend::ClientCommand;
use crate::pg::sqlstate;
use crate::pg::statement::Statement;
use birchreach::Micros;
use std::collections::HashSet;
use std::net::Shutdown;

/// Bytes read from one client before its input is looked at, and how often that is done in one turn.
const READ_TURN: usize = 64 << 10;
const ROUNDS: usize = 4;
/// How long, and for how many bytes, a client that has been told why it is closed may go on sending.
const LINGER: Micros = 500_000;
const SPARE_INPUT: usize = 1 << 20;

/// What tells whether a statement is taken, and as what.
pub(super) struct Admission {
    /// The ids of open requests, of all clients.
    pub ids: HashSet<Box<[u8]>>,
}

impl Admission {
    pub fn ask(
        &mut self,
        context: &EventLoopContext,
        s: &Statement,
        arrived: Micros,
    ) -> Result<RoutingRequest, (&'static str, &'static str)> {
        let class = context.core.find_class(context.now, &s.class);
        let (id, class) = class.ok_or((sqlstate::INVALID_VALUE, "c names no class"))?;
        let ask = s.ask(id, class, context.core.session_positions(), context.now - arrived)?;
        if !context.core.has_group(ask.group) {
            return Err((sqlstate::INVALID_VALUE, "cluster names no group"));
        }
        if !self.ids.insert(s.id().into()) {
            return Err((sqlstate::INVALID_VALUE, "id is that of an open request"));
        }
        Ok(ask)
    }
}

impl Clients {
    pub(super) fn go(&mut self, context: &mut EventLoopContext, key: usize) {
        let Some(c) = self.slots.get_mut(key) else { return };
        let over = Self::serve(context, &mut self.admission, key, c);
        let settles = c.unclassified && c.request.is_some();
        c.unclassified &= !settles;
        if let Some((attempt, fed @ true)) = &mut c.passing
            && c.machine.out.pending().is_empty()
        {
            *fed = false;
            self.wants_data.push(*attempt);
        }
        match over {
            Some(reason) => self.close(context, key, reason),
            None if self.leaving && c.request.is_none() && c.machine.finished() => {
                self.close(context, key, "stopping");
            }
            None if c.last && c.request.is_none() && c.machine.idle() => {
                self.close(context, key, "handed-over")
            }
            None if c.unread => self.unread.push(key),
            None => {}
        }
        if settles {
            self.unclassified -= 1;
            if self.unclassified_allowance > 0 {
                self.room(context, Some(key));
            }
        }
    }

    /// The reason, if the connection is over.
    fn serve(
        context: &mut EventLoopContext,
        admission: &mut Admission,
        key: usize,
        c: &mut Client,
    ) -> Option<&'static str> {
        // A client that sends without end gets its turn like all others.
        c.unread = false;
        let over =
            if c.draining() { Self::linger(context, c) } else { Self::converse(context, admission, key, c) };
        let halfway = c.request.is_none() && c.machine.unfinished();
        c.unfinished = halfway.then(|| c.unfinished.unwrap_or(context.now));
        over
    }

    fn converse(
        context: &mut EventLoopContext,
        admission: &mut Admission,
        key: usize,
        c: &mut Client,
    ) -> Option<&'static str> {
        for _ in 0..ROUNDS {
            let hungry = c.closing.is_none() && c.machine.hungry();
            if c.ended && !hungry {
                // Its end stands behind input that is not read now, and would be heard too late.
                return Some(c.closing.map_or("client-closed", |(reason, _)| reason));
            }
            let mut read = 0;
            let (machine, now) = (&mut c.machine, context.now);
            let drained = if !hungry {
                Ok(true)
            } else {
                stream::read(&mut c.stream, &mut context.scratch, |bytes| {
                    read += bytes.len();
                    machine.feed(now, bytes);
                    machine.hungry() && read < READ_TURN
                })
            };
            let drained = match drained {
                Ok(drained) => drained,
                // It has gone: nothing that it asked for begins now.
                Err(how) => {
                    let reason = match how {
                        Ended::Closed if c.machine.said_goodbye() => "terminate",
                        Ended::Closed => "client-closed",
                        Ended::Reset => "client-reset",
                    };
                    return Some(c.closing.map_or(reason, |(reason, _)| reason));
                }
            };
            Self::run(context, admission, key, c);
            let waiting = c.machine.out.pending().len();
            let written = stream::write(&mut c.stream, &mut c.machine.out);
            if read > 0 || c.machine.out.pending().len() < waiting {
                c.active = context.now;
            }
            match written {
                Err(_) => return Some("client-reset"),
                Ok(false) => return None,
                Ok(true) => {}
            }
            match c.closing {
                None => {}
                Some((reason, CloseMode::AfterFlush)) => {
                    let _ = c.stream.shutdown(Shutdown::Write);
                    let (until, spare) = (context.now + LINGER, SPARE_INPUT);
                    c.closing = Some((reason, CloseMode::Draining { until, spare }));
                    return Self::linger(context, c);
                }
                Some((reason, _)) => return Some(reason),
            }
            // Room again: what was held back for a slow reader goes on. Input that was not read to its
            // end must be asked for now, for the socket does not tell of it twice.
            Self::run(context, admission, key, c);
            let more = !hungry || !drained;
            let held_back = c.closing.is_some() || !c.machine.out.pending().is_empty();
            let unread = more && c.machine.hungry();
            if !held_back && !unread {
                c.unread = c.machine.exhausted();
                return None;
            }
        }
        c.unread = true;
        None
    }

    /// Passes over what still comes from one that has been told why it is closed.
    fn linger(context: &mut EventLoopContext, c: &mut Client) -> Option<&'static str> {
        let Some((reason, CloseMode::Draining { spare, .. })) = &mut c.closing else { return None };
        let mut left = (*spare).min(READ_TURN);
        let before = left;
        let drained = stream::read(&mut c.stream, &mut context.scratch, |bytes| {
            left = left.saturating_sub(bytes.len());
            left > 0
        });
        *spare -= before - left;
        match drained {
            Err(_) => return Some(reason),
            Ok(drained) => c.unread = !drained && *spare > 0,
        }
        None
    }

    /// Carries the client's commands out, until one has to be waited for.
    fn run(context: &mut EventLoopContext, admission: &mut Admission, key: usize, c: &mut Client) {
        while c.request.is_none() && c.closing.is_none() {
            match c.machine.next(context.now) {
                None => return,
                Some(ClientCommand::Close(reason)) => c.closing = Some((reason, CloseMode::Immediate)),
                Some(ClientCommand::CloseWithError(reason)) => {
                    c.closing = Some((reason, CloseMode::AfterFlush))
                }
                Some(ClientCommand::Run(statement, arrived)) => {
                    match admission.ask(context, &statement, arrived) {
                        Err((code, message)) => c.machine.reject(code, message),
                        Ok(ask) => {
                            let work = StatementPayload::new(statement);
                            c.request =
                                Some((context.core.request(context.now, key, ask, work.clone()), work));
                        }
                    }
                }
            }
        }
    }
}
