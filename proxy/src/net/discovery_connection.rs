//! The connection to discovery. The proxy polls the endpoint list on it.

mod close_reason;
mod responses;

use super::event_loop_context::EventLoopContext;
use super::ids::PollStateSerial;
use super::registration;
use super::sources::Source;
use super::stream;
use super::timer_events::TimerEvent;
use crate::discovery::{Backoff, CONNECT_TIMEOUT_MICROS, EndpointWatch, PollError};
use crate::log::Quoted;
use crate::outbox::Outbox;
use crate::system_error::SystemErrorClass;
use birchreach::{Micros, Settings};
use close_reason::DiscoveryCloseReason;
use mio::Interest;
use mio::net::TcpStream;
use std::net::SocketAddr;
use tracing::info;

/// The progress of polling. Each state has a timer, which starts the next poll in `Waiting` and fails the poll in the
/// other states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollState {
    /// No poll is outstanding. The next one starts when the timer expires.
    Waiting,
    /// The connection is being established.
    Connecting,
    /// The request has been written, or is being written.
    Requested,
    /// Part of the response has arrived.
    Receiving,
}

/// The connection to discovery and the state of the current poll.
pub(super) struct DiscoveryConnection {
    address: SocketAddr,
    watch: EndpointWatch,
    stream: Option<TcpStream>,
    outbox: Outbox,
    polled_at: Micros,
    /// Discovery may delay the response to the outstanding poll until the endpoint list changes.
    long_poll: bool,
    state: PollState,
    /// The system had no free descriptor for a connection.
    descriptors_exhausted: bool,
    /// Identifies the current state. Timeouts of earlier states are ignored.
    state_serial: PollStateSerial,
    backoff: Backoff,
}

impl DiscoveryConnection {
    /// Creates a connection that [`DiscoveryConnection::start`] opens. `revision` is the revision of the endpoint list
    /// that is already known, or `None` if no list is known.
    pub(super) fn new(
        address: SocketAddr,
        revision: Option<u64>,
        settings: &Settings,
        seed: u64,
    ) -> DiscoveryConnection {
        DiscoveryConnection {
            address,
            watch: EndpointWatch::new(address.to_string(), revision),
            stream: None,
            outbox: Outbox::default(),
            polled_at: 0,
            long_poll: false,
            state: PollState::Waiting,
            descriptors_exhausted: false,
            state_serial: PollStateSerial::default(),
            backoff: Backoff::new(settings, seed),
        }
    }

    /// Schedules the first poll. The wait is random, so that proxies that start at the same time spread their polls of
    /// the shared discovery.
    pub(super) fn start(&mut self, context: &mut EventLoopContext) {
        let wait = self.backoff.initial_wait();
        self.poll_after(context, wait);
    }

    /// Applies changed settings to the waits before the next polls.
    pub(super) fn update_settings(&mut self, settings: &Settings) {
        self.backoff.update_settings(settings);
    }

    /// Adapts the size of the responses that are accepted to the memory limit in bytes.
    pub(super) fn set_memory_limit(&mut self, limit: usize) {
        self.watch.set_memory_limit(limit);
    }

    /// Changes the address of discovery. Polls the new address immediately, for changes since the last list that was
    /// received.
    pub(super) fn set_address(&mut self, context: &mut EventLoopContext, address: SocketAddr) {
        if self.address == address {
            return;
        }
        self.address = address;
        self.watch.set_host(address.to_string());
        self.backoff.reset();
        self.disconnect(context, &DiscoveryCloseReason::Moved);
        self.poll(context);
    }

    /// Enters a state and sets its timeout.
    fn enter_state(&mut self, context: &mut EventLoopContext, state: PollState, timeout: Micros) {
        self.state = state;
        self.state_serial = self.state_serial.next();
        context.timers.set(context.now + timeout, TimerEvent::Discovery(self.state_serial));
    }

    /// Schedules the next poll after `wait`.
    fn poll_after(&mut self, context: &mut EventLoopContext, wait: Micros) {
        self.enter_state(context, PollState::Waiting, wait);
    }

    /// Sends the next poll. Opens a connection first if there is none.
    fn poll(&mut self, context: &mut EventLoopContext) {
        self.polled_at = context.now;
        self.long_poll = self.watch.is_long_poll();
        if self.stream.is_some() {
            self.outbox.append(&self.watch.next_request());
            self.enter_state(context, PollState::Requested, self.watch.response_timeout());
        } else {
            let stream = match self.connect(context) {
                Ok(stream) => stream,
                Err(error) => {
                    self.descriptors_exhausted =
                        SystemErrorClass::of(&error) == SystemErrorClass::NoDescriptor;
                    return self.fail(context, &PollError::NoSocket);
                }
            };
            self.stream = Some(stream);
            self.outbox = Outbox::default();
            self.outbox.append(&self.watch.next_request());
            self.enter_state(context, PollState::Connecting, CONNECT_TIMEOUT_MICROS);
        }
        self.write(context);
    }

    /// Starts to connect, and registers the socket with the poll.
    fn connect(&self, context: &EventLoopContext) -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address)?;
        let _ = stream.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        registration::register(context.poll.registry(), &mut stream, Source::Discovery.token(), interest)?;
        Ok(stream)
    }

    /// Handles the timeout of a state. Ignores the timeout of an earlier state.
    pub(super) fn timed_out(&mut self, context: &mut EventLoopContext, state_serial: PollStateSerial) {
        if self.state_serial != state_serial {
            return;
        }
        match self.state {
            PollState::Waiting => self.poll(context),
            PollState::Connecting => self.fail(context, &PollError::ConnectTimeout),
            PollState::Requested | PollState::Receiving => self.fail(context, &PollError::Unresponsive),
        }
    }

    /// Returns whether the system has lacked a free descriptor for a connection since the last call.
    pub(super) fn take_descriptors_exhausted(&mut self) -> bool {
        std::mem::take(&mut self.descriptors_exhausted)
    }

    /// Closes the connection, if there is one, and logs the reason.
    fn disconnect(&mut self, context: &mut EventLoopContext, reason: &DiscoveryCloseReason) {
        if let Some(mut stream) = self.stream.take() {
            let _ = context.poll.registry().deregister(&mut stream);
        }
        info!(conn = "discovery", reason = %Quoted(reason));
    }

    /// Handles a failed poll: closes the connection, and schedules the next poll after the backoff.
    fn fail(&mut self, context: &mut EventLoopContext, error: &PollError) {
        self.disconnect(context, &DiscoveryCloseReason::Failed(error.clone()));
        self.watch.record_failure();
        let wait = self.backoff.wait_after(error);
        self.poll_after(context, wait);
    }

    /// Writes the request as far as the socket accepts it. Returns whether the connection is established and the write
    /// succeeded.
    fn write(&mut self, context: &mut EventLoopContext) -> bool {
        let Some(stream) = &mut self.stream else { return false };
        if stream.peer_addr().is_err() {
            match stream.take_error() {
                Ok(None) => {}
                _ if self.state == PollState::Connecting => self.fail(context, &PollError::ConnectionRefused),
                _ => self.fail(context, &PollError::Reset),
            }
            return false;
        }
        if stream::write(stream, &mut self.outbox).is_err() {
            self.fail(context, &PollError::Reset);
            return false;
        }
        if self.state == PollState::Connecting {
            self.enter_state(context, PollState::Requested, self.watch.response_timeout());
        }
        true
    }
}
