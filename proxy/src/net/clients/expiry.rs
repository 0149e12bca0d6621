//! What a client's time runs out for, and how all of them go when the process does.

use super::super::event_loop_context::EventLoopContext;
use super::super::test_hooks::{self, Point};
use super::Clients;
use super::client::{Client, CloseMode};
use birchreach::Micros;

/// A client that does not read its answers is closed after this time: every deadline is shorter.
const UNREAD_OUTPUT_TIMEOUT_MICROS: Micros = 10_000_000;
/// A connection on which nothing was asked for so long is closed.
const IDLE_TIMEOUT_MICROS: Micros = 5_000_000;
/// For a first command, and for the rest of one begun: a slow client may take 2 s over it, a bad one has its
/// error within 3 s.
const INCOMPLETE_MESSAGE_TIMEOUT_MICROS: Micros = 2_300_000;

impl Clients {
    /// Why a connection has had its time, if it has.
    fn close_reason_if_expired(c: &Client, now: Micros) -> Option<&'static str> {
        match c.closing {
            Some((reason, CloseMode::Draining { until, .. })) => return (now >= until).then_some(reason),
            Some((reason, _)) => {
                return (now - c.last_active_at >= INCOMPLETE_MESSAGE_TIMEOUT_MICROS).then_some(reason);
            }
            // A long value has no deadline, but its client must go on reading.
            None if c.open_request.is_some() && c.streaming.is_none() => return None,
            None => {}
        }
        let (unread, unfinished) = (!c.protocol.out.pending().is_empty(), c.incomplete_since);
        if unread {
            (now - c.last_active_at > UNREAD_OUTPUT_TIMEOUT_MICROS).then_some("silent")
        } else if unfinished.is_some_and(|since| now - since >= INCOMPLETE_MESSAGE_TIMEOUT_MICROS) {
            Some("unfinished")
        } else {
            (c.protocol.is_idle() && now - c.last_active_at >= IDLE_TIMEOUT_MICROS).then_some("idle")
        }
    }

    /// Closes those that stop halfway, through their startup, a message, or the reading of an answer, and
    /// those that ask no more. Left alone, they could take every place.
    pub fn close_expired(&mut self, context: &mut EventLoopContext) {
        let keys =
            self.connections.iter().filter(|(_, c)| Self::close_reason_if_expired(c, context.now).is_some());
        for key in keys.map(|(k, _)| k).collect::<Vec<_>>() {
            test_hooks::at(Point::Sweep);
            // What came in meanwhile is read first: a request must not cross with the end.
            self.handle_ready(context, key);
            let Some(c) = self.connections.get_mut(key) else { continue };
            match Self::close_reason_if_expired(c, context.now) {
                Some(reason @ "unfinished") if c.closing.is_none() => {
                    c.protocol.fail_incomplete_message();
                    c.closing = Some((reason, CloseMode::AfterFlush));
                    c.last_active_at = context.now;
                    self.handle_ready(context, key);
                }
                Some(reason) => self.close(context, key, reason),
                None => {}
            }
        }
    }

    /// Another process has the listening socket too, and takes whoever waits in its queue: nobody more is
    /// accepted here, and each client is sent there behind its next answer.
    pub fn start_handover(&mut self, context: &mut EventLoopContext) {
        if let Some(mut listener) = self.listener.take() {
            let _ = context.registry.deregister(&mut listener);
        }
        self.handing_over = true;
    }

    /// Accepts and reads what has arrived, then takes no more, and closes each connection once that is answered: a client that
    /// sends one command behind the other would else have one in hand when the process is killed.
    pub fn shut_down(&mut self, context: &mut EventLoopContext) {
        test_hooks::at(Point::Leave);
        self.accept_pending = true;
        self.accept_paused = false;
        while self.can_accept() {
            self.accept(context);
        }
        if let Some(mut listener) = self.listener.take() {
            let _ = context.registry.deregister(&mut listener);
        }
        self.shutting_down = true;
        for key in self.connections.iter().map(|(k, _)| k).collect::<Vec<_>>() {
            self.handle_ready(context, key);
            let Some(c) = self.connections.get_mut(key) else { continue };
            c.protocol.stop_reading();
            if c.protocol.is_in_startup() {
                self.close(context, key, "stopping");
            } else {
                self.process_client(context, key);
            }
        }
    }
}
