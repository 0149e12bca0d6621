//! The service `grpc.health.v1.Health` (`Check` and `Watch`) as a state machine without I/O. h2 implements HTTP/2 over a
//! pipe in memory. The event loop polls h2 itself, so that no other thread and no async runtime is needed.
//!
//! Service names are parsed like agent-check lines. The answers come from the verdict. The streams, headers, messages
//! and buffers of a connection are bounded.

mod call;
mod message;
mod pipe;

use birchreach_health::Verdict;
use bytes::Bytes;
use call::{Call, CallProgress};
use h2::server::{Builder, Connection, Handshake};
use h2::{Ping, PingPong};
use message::MAX_REQUEST_BYTES;
use pipe::{MAX_BUFFERED_BYTES, Pipe, PipeEnd};
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// The limit on open calls and watches of a connection.
const MAX_STREAMS: u32 = 16;
/// The limit on the headers of a request.
const MAX_HEADER_BYTES: u32 = 8 << 10;
/// The limit on an HTTP/2 frame.
const MAX_FRAME_BYTES: u32 = 16 << 10;
/// The flow-control window of a stream.
const STREAM_WINDOW_BYTES: u32 = MAX_REQUEST_BYTES as u32 * 2;
/// The flow-control window of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 16 << 10;
/// The most rounds in one call of [`GrpcCheckConnection::process`], which bounds the work for one connection.
const MAX_ROUNDS: usize = 32;

/// The state of the HTTP/2 connection.
enum ConnectionState {
    Handshake(Pin<Box<Handshake<PipeEnd, Bytes>>>),
    Open(Box<Connection<PipeEnd, Bytes>>, Option<PingPong>),
    Closed,
}

/// A balancer's connection for gRPC health checks.
pub(crate) struct GrpcCheckConnection {
    pipe: Rc<RefCell<Pipe>>,
    state: ConnectionState,
    calls: Vec<Call>,
    /// The number of answers and watch messages sent, and of pongs received.
    activity: u64,
}

impl Default for GrpcCheckConnection {
    fn default() -> GrpcCheckConnection {
        let pipe = Rc::new(RefCell::new(Pipe::default()));
        let handshake = Builder::new()
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(MAX_HEADER_BYTES)
            .max_frame_size(MAX_FRAME_BYTES)
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_send_buffer_size(MAX_BUFFERED_BYTES)
            .max_concurrent_reset_streams(MAX_STREAMS as usize)
            .max_pending_accept_reset_streams(MAX_STREAMS as usize)
            .handshake(PipeEnd(pipe.clone()));
        let state = ConnectionState::Handshake(Box::pin(handshake));
        GrpcCheckConnection { pipe, state, calls: Vec::new(), activity: 0 }
    }
}

/// The state that a round of processing can change. If a round leaves it equal, that round did no work.
#[derive(PartialEq, Eq)]
struct RoundState {
    activity: u64,
    calls: usize,
    input: usize,
    output: usize,
}

impl GrpcCheckConnection {
    /// Whether there is room for more input.
    pub(crate) fn wants_input(&self) -> bool {
        self.pipe.borrow().input.len() < MAX_BUFFERED_BYTES
    }

    /// Adds bytes that were read from the peer.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.pipe.borrow_mut().input.extend(bytes);
    }

    /// Records that the peer sends no more input.
    pub(crate) fn input_ended(&mut self) {
        self.pipe.borrow_mut().input_ended = true;
    }

    /// Takes the output that waits to be written. The caller passes the part that it cannot write to
    /// [`Self::return_output`].
    pub(crate) fn take_output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pipe.borrow_mut().output)
    }

    /// Puts back the end of the taken output, which could not be written.
    pub(crate) fn return_output(&mut self, unwritten: &[u8]) {
        self.pipe.borrow_mut().output.splice(..0, unwritten.iter().copied());
    }

    /// Whether output waits to be written.
    pub(crate) fn has_output(&self) -> bool {
        !self.pipe.borrow().output.is_empty()
    }

    /// Whether the connection has ended.
    pub(crate) fn is_finished(&self) -> bool {
        matches!(self.state, ConnectionState::Closed)
    }

    /// Returns the number of answers and watch messages sent, and of pongs received. It grows while the peer is active.
    pub(crate) fn activity(&self) -> u64 {
        self.activity
    }

    /// Whether the handshake is complete and no call is open.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.state, ConnectionState::Open(..)) && self.calls.is_empty()
    }

    pub(crate) fn has_watches(&self) -> bool {
        self.calls.iter().any(Call::is_watch)
    }

    /// Sends a ping. The peer's pong counts as activity.
    pub(crate) fn ping(&mut self) {
        if let ConnectionState::Open(_, Some(ping)) = &mut self.state {
            // Fails if a ping is already in flight, whose pong serves the same purpose.
            let _ = ping.send_ping(Ping::opaque());
        }
    }

    /// Processes as much as the present input and the room for output allow. Returns whether work may remain that needs
    /// neither more input nor more room.
    pub(crate) fn process(&mut self, verdict: &Verdict) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        for _ in 0..MAX_ROUNDS {
            let before = self.round_state();
            self.poll_connection(&mut context);
            if self.is_finished() {
                self.calls.clear();
                return false;
            }
            self.advance_calls(&mut context, verdict);
            if before == self.round_state() {
                return false;
            }
        }
        true
    }

    /// Returns the present state, to be compared with that after a round.
    fn round_state(&self) -> RoundState {
        let pipe = self.pipe.borrow();
        RoundState {
            activity: self.activity,
            calls: self.calls.len(),
            input: pipe.input.len(),
            output: pipe.output.len(),
        }
    }

    /// Completes the handshake, receives pongs and accepts new calls.
    fn poll_connection(&mut self, context: &mut Context) {
        if let ConnectionState::Handshake(handshake) = &mut self.state {
            self.state = match handshake.as_mut().poll(context) {
                Poll::Pending => return,
                Poll::Ready(Err(_)) => ConnectionState::Closed,
                Poll::Ready(Ok(mut connection)) => {
                    let ping = connection.ping_pong();
                    ConnectionState::Open(Box::new(connection), ping)
                }
            };
        }
        while let ConnectionState::Open(connection, ping) = &mut self.state {
            if let Some(ping) = ping
                && ping.poll_pong(context).is_ready()
            {
                self.activity += 1;
            }
            match connection.poll_accept(context) {
                Poll::Pending => return,
                Poll::Ready(Some(Ok((request, respond)))) => match Call::begin(request, respond) {
                    Some(call) => self.calls.push(call),
                    None => self.activity += 1,
                },
                Poll::Ready(None | Some(Err(_))) => self.state = ConnectionState::Closed,
            }
        }
    }

    /// Advances every call, and removes the calls that have ended.
    fn advance_calls(&mut self, context: &mut Context, verdict: &Verdict) {
        let activity = &mut self.activity;
        self.calls.retain_mut(|call| match call.advance(context, verdict) {
            CallProgress::Open => true,
            CallProgress::Ended => false,
            CallProgress::Sent => {
                *activity += 1;
                true
            }
            CallProgress::Answered => {
                *activity += 1;
                false
            }
            CallProgress::StartedWatch(watch) => {
                *activity += 1;
                *call = Call::Watching(watch);
                true
            }
        });
    }
}
