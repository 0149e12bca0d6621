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
const MAX_READ_BYTES: usize = 64 << 10;
const MAX_ROUNDS_PER_TURN: usize = 4;
/// How long, and for how many bytes, a client that has been told why it is closed may go on sending.
const DRAIN_TIME_MICROS: Micros = 500_000;
const MAX_DRAINED_BYTES: usize = 1 << 20;

/// What tells whether a statement is taken, and as what.
pub(super) struct Admission {
    /// The ids of open requests, of all clients.
    pub open_request_ids: HashSet<Box<[u8]>>,
}

impl Admission {
    pub fn admit_statement(
        &mut self,
        context: &EventLoopContext,
        s: &Statement,
        arrived: Micros,
    ) -> Result<RoutingRequest, (&'static str, &'static str)> {
        let class = context.core.find_class(context.now, &s.class);
        let (id, class) = class.ok_or((sqlstate::INVALID_VALUE, "c names no class"))?;
        let ask = s.routing_request(id, class, context.core.session_positions(), context.now - arrived)?;
        if !context.core.has_group(ask.group) {
            return Err((sqlstate::INVALID_VALUE, "cluster names no group"));
        }
        if !self.open_request_ids.insert(s.id().into()) {
            return Err((sqlstate::INVALID_VALUE, "id is that of an open request"));
        }
        Ok(ask)
    }
}

impl Clients {
    pub(super) fn process_client(&mut self, context: &mut EventLoopContext, key: usize) {
        let Some(c) = self.connections.get_mut(key) else { return };
        let over = Self::process_turn(context, &mut self.admission, key, c);
        let settles = c.unclassified && c.open_request.is_some();
        c.unclassified &= !settles;
        if let Some((attempt, fed @ true)) = &mut c.streaming
            && c.protocol.out.pending().is_empty()
        {
            *fed = false;
            self.ready_for_more.push(*attempt);
        }
        match over {
            Some(reason) => self.close(context, key, reason),
            None if self.shutting_down && c.open_request.is_none() && c.protocol.all_input_answered() => {
                self.close(context, key, "stopping");
            }
            None if c.close_when_idle && c.open_request.is_none() && c.protocol.is_idle() => {
                self.close(context, key, "handed-over")
            }
            None if c.turn_incomplete => self.turn_incomplete.push(key),
            None => {}
        }
        if settles {
            self.unclassified_count -= 1;
            if self.unclassified_allowance > 0 {
                self.make_room_for(context, Some(key));
            }
        }
    }

    /// The reason, if the connection is over.
    fn process_turn(
        context: &mut EventLoopContext,
        admission: &mut Admission,
        key: usize,
        c: &mut Client,
    ) -> Option<&'static str> {
        // A client that sends without end gets its turn like all others.
        c.turn_incomplete = false;
        let over = if c.is_draining() {
            Self::drain_input(context, c)
        } else {
            Self::process_input(context, admission, key, c)
        };
        let halfway = c.open_request.is_none() && c.protocol.has_incomplete_message();
        c.incomplete_since = halfway.then(|| c.incomplete_since.unwrap_or(context.now));
        over
    }

    fn process_input(
        context: &mut EventLoopContext,
        admission: &mut Admission,
        key: usize,
        c: &mut Client,
    ) -> Option<&'static str> {
        for _ in 0..MAX_ROUNDS_PER_TURN {
            let hungry = c.closing.is_none() && c.protocol.wants_input();
            if c.peer_closed && !hungry {
                // Its end stands behind input that is not read now, and would be heard too late.
                return Some(c.closing.map_or("client-closed", |(reason, _)| reason));
            }
            let mut read = 0;
            let (machine, now) = (&mut c.protocol, context.now);
            let drained = if !hungry {
                Ok(true)
            } else {
                stream::read(&mut c.stream, &mut context.scratch, |bytes| {
                    read += bytes.len();
                    machine.feed(now, bytes);
                    machine.wants_input() && read < MAX_READ_BYTES
                })
            };
            let drained = match drained {
                Ok(drained) => drained,
                // It has gone: nothing that it asked for begins now.
                Err(how) => {
                    let reason = match how {
                        Ended::Closed if c.protocol.only_terminate_left() => "terminate",
                        Ended::Closed => "client-closed",
                        Ended::Reset => "client-reset",
                    };
                    return Some(c.closing.map_or(reason, |(reason, _)| reason));
                }
            };
            Self::run_commands(context, admission, key, c);
            let waiting = c.protocol.out.pending().len();
            let written = stream::write(&mut c.stream, &mut c.protocol.out);
            if read > 0 || c.protocol.out.pending().len() < waiting {
                c.last_active_at = context.now;
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
                    let (until, spare) = (context.now + DRAIN_TIME_MICROS, MAX_DRAINED_BYTES);
                    c.closing = Some((reason, CloseMode::Draining { until, max_bytes: spare }));
                    return Self::drain_input(context, c);
                }
                Some((reason, _)) => return Some(reason),
            }
            // Room again: what was held back for a slow reader goes on. Input that was not read to its
            // end must be asked for now, for the socket does not tell of it twice.
            Self::run_commands(context, admission, key, c);
            let more = !hungry || !drained;
            let held_back = c.closing.is_some() || !c.protocol.out.pending().is_empty();
            let unread = more && c.protocol.wants_input();
            if !held_back && !unread {
                c.turn_incomplete = c.protocol.commands_deferred();
                return None;
            }
        }
        c.turn_incomplete = true;
        None
    }

    /// Passes over what still comes from one that has been told why it is closed.
    fn drain_input(context: &mut EventLoopContext, c: &mut Client) -> Option<&'static str> {
        let Some((reason, CloseMode::Draining { max_bytes: spare, .. })) = &mut c.closing else {
            return None;
        };
        let mut left = (*spare).min(MAX_READ_BYTES);
        let before = left;
        let drained = stream::read(&mut c.stream, &mut context.scratch, |bytes| {
            left = left.saturating_sub(bytes.len());
            left > 0
        });
        *spare -= before - left;
        match drained {
            Err(_) => return Some(reason),
            Ok(drained) => c.turn_incomplete = !drained && *spare > 0,
        }
        None
    }

    /// Carries the client's commands out, until one has to be waited for.
    fn run_commands(context: &mut EventLoopContext, admission: &mut Admission, key: usize, c: &mut Client) {
        while c.open_request.is_none() && c.closing.is_none() {
            match c.protocol.next_command(context.now) {
                None => return,
                Some(ClientCommand::Close(reason)) => c.closing = Some((reason, CloseMode::Immediate)),
                Some(ClientCommand::CloseWithError(reason)) => {
                    c.closing = Some((reason, CloseMode::AfterFlush))
                }
                Some(ClientCommand::Run(statement, arrived)) => {
                    match admission.admit_statement(context, &statement, arrived) {
                        Err((code, message)) => c.protocol.reject(code, message),
                        Ok(ask) => {
                            let work = StatementPayload::new(statement);
                            c.open_request =
                                Some((context.core.request(context.now, key, ask, work.clone()), work));
                        }
                    }
                }
            }
        }
    }
}
