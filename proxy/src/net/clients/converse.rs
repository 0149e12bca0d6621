//! A client's turn: its input is read and decoded, its statements are taken or answered with what is wrong, its answers written.

use super::super::cx::Cx;
use super::super::pool::Work;
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
        cx: &Cx,
        s: &Statement,
        arrived: Micros,
    ) -> Result<RoutingRequest, (&'static str, &'static str)> {
        let class = cx.core.find_class(cx.now, &s.class);
        let (id, class) = class.ok_or((sqlstate::INVALID_VALUE, "c names no class"))?;
        let ask = s.ask(id, class, cx.core.session_positions(), cx.now - arrived)?;
        if !cx.core.has_group(ask.group) {
            return Err((sqlstate::INVALID_VALUE, "cluster names no group"));
        }
        if !self.ids.insert(s.id().into()) {
            return Err((sqlstate::INVALID_VALUE, "id is that of an open request"));
        }
        Ok(ask)
    }
}

impl Clients {
    pub(super) fn go(&mut self, cx: &mut Cx, key: usize) {
        let Some(c) = self.slots.get_mut(key) else { return };
        let over = Self::serve(cx, &mut self.admission, key, c);
        let settles = c.unclassified && c.request.is_some();
        c.unclassified &= !settles;
        if let Some((attempt, fed @ true)) = &mut c.passing
            && c.machine.out.pending().is_empty()
        {
            *fed = false;
            self.wants_data.push(*attempt);
        }
        match over {
            Some(reason) => self.close(cx, key, reason),
            None if self.leaving && c.request.is_none() && c.machine.finished() => {
                self.close(cx, key, "stopping");
            }
            None if c.last && c.request.is_none() && c.machine.idle() => self.close(cx, key, "handed-over"),
            None if c.unread => self.unread.push(key),
            None => {}
        }
        if settles {
            self.unclassified -= 1;
            if self.unclassified_allowance > 0 {
                self.room(cx, Some(key));
            }
        }
    }

    /// The reason, if the connection is over.
    fn serve(cx: &mut Cx, admission: &mut Admission, key: usize, c: &mut Client) -> Option<&'static str> {
        // A client that sends without end gets its turn like all others.
        c.unread = false;
        let over = if c.draining() { Self::linger(cx, c) } else { Self::converse(cx, admission, key, c) };
        let halfway = c.request.is_none() && c.machine.unfinished();
        c.unfinished = halfway.then(|| c.unfinished.unwrap_or(cx.now));
        over
    }

    fn converse(cx: &mut Cx, admission: &mut Admission, key: usize, c: &mut Client) -> Option<&'static str> {
        for _ in 0..ROUNDS {
            let hungry = c.closing.is_none() && c.machine.hungry();
            if c.ended && !hungry {
                // Its end stands behind input that is not read now, and would be heard too late.
                return Some(c.closing.map_or("client-closed", |(reason, _)| reason));
            }
            let mut read = 0;
            let (machine, now) = (&mut c.machine, cx.now);
            let drained = if !hungry {
                Ok(true)
            } else {
                stream::read(&mut c.stream, cx.scratch, |bytes| {
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
            Self::run(cx, admission, key, c);
            let waiting = c.machine.out.pending().len();
            let written = stream::write(&mut c.stream, &mut c.machine.out);
            if read > 0 || c.machine.out.pending().len() < waiting {
                c.active = cx.now;
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
                    let (until, spare) = (cx.now + LINGER, SPARE_INPUT);
                    c.closing = Some((reason, CloseMode::Draining { until, spare }));
                    return Self::linger(cx, c);
                }
                Some((reason, _)) => return Some(reason),
            }
            // Room again: what was held back for a slow reader goes on. Input that was not read to its
            // end must be asked for now, for the socket does not tell of it twice.
            Self::run(cx, admission, key, c);
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
    fn linger(cx: &mut Cx, c: &mut Client) -> Option<&'static str> {
        let Some((reason, CloseMode::Draining { spare, .. })) = &mut c.closing else { return None };
        let mut left = (*spare).min(READ_TURN);
        let before = left;
        let drained = stream::read(&mut c.stream, cx.scratch, |bytes| {
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
    fn run(cx: &mut Cx, admission: &mut Admission, key: usize, c: &mut Client) {
        while c.request.is_none() && c.closing.is_none() {
            match c.machine.next(cx.now) {
                None => return,
                Some(ClientCommand::Close(reason)) => c.closing = Some((reason, CloseMode::Immediate)),
                Some(ClientCommand::CloseWithError(reason)) => {
                    c.closing = Some((reason, CloseMode::AfterFlush))
                }
                Some(ClientCommand::Run(statement, arrived)) => {
                    match admission.ask(cx, &statement, arrived) {
                        Err((code, message)) => c.machine.reject(code, message),
                        Ok(ask) => {
                            let work = Work::new(statement);
                            c.request = Some((cx.core.request(cx.now, key, ask, work.clone()), work));
                        }
                    }
                }
            }
        }
    }
}
