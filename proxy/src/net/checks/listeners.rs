//! The listeners for balancers' checks. They are opened and closed according to the options, and closed when another
//! process of this proxy takes over.

use super::super::error::{ListenError, ListenPurpose};
use super::super::event_loop_context::EventLoopContext;
use super::super::ids::CheckConnectionKey;
use super::super::registration;
use super::super::sources::Source;
use super::HealthCheckServer;
use super::connection::{CheckCloseReason, CheckProtocol, wanted_listeners};
use crate::log::Quoted;
use birchreach::Micros;
use birchreach_options::HealthOptions;
use mio::Interest;
use mio::net::TcpListener;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tracing::{info, warn};

/// The most connections accepted from one listener in one turn of the event loop.
const MAX_ACCEPTED_PER_TURN: usize = 64;
/// The length of the queue of connections that are not accepted yet.
const LISTEN_BACKLOG: i32 = 1024;

/// An open listener for one protocol.
pub(super) struct OpenListener {
    protocol: CheckProtocol,
    socket: TcpListener,
    address: SocketAddr,
    /// Whether connections may be waiting to be accepted.
    pub(super) accept_pending: bool,
}

/// Listeners that were opened for options that are not in effect yet.
pub(crate) struct OpenedListeners(Vec<OpenListener>);

/// Opens a listening socket. If `shares_address` is true, another process may listen at the same address.
fn listen(address: SocketAddr, shares_address: bool) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    if shares_address {
        socket.set_reuse_port(true)?;
    }
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from_std(socket.into()))
}

impl HealthCheckServer {
    /// Opens the listeners that these options require and that are not open yet. Open listeners stay unchanged.
    pub(crate) fn open(&self, options: Option<&HealthOptions>) -> Result<OpenedListeners, ListenError> {
        let mut opened = Vec::new();
        for (protocol, wanted) in options.into_iter().flat_map(wanted_listeners) {
            let address = wanted.address;
            let is_open = |open: &OpenListener| open.protocol == protocol && open.address == address;
            if self.listeners.iter().any(is_open) {
                continue;
            }
            let purpose = ListenPurpose::Checks(protocol);
            let socket = listen(address, self.shares_addresses).map_err(|error| ListenError {
                purpose,
                address,
                error,
            })?;
            opened.push(OpenListener { protocol, socket, address, accept_pending: true });
        }
        Ok(OpenedListeners(opened))
    }

    /// Puts these options into effect with the listeners that were opened for them, and closes listeners that the
    /// options do not require. Without options, all connections are closed too.
    pub(crate) fn apply_options(
        &mut self,
        context: &mut EventLoopContext,
        options: Option<HealthOptions>,
        opened: OpenedListeners,
    ) {
        let is_wanted = |open: &OpenListener| {
            let mut wanted = options.iter().flat_map(wanted_listeners);
            wanted.any(|(protocol, wanted)| protocol == open.protocol && wanted.address == open.address)
        };
        let (kept, unwanted): (Vec<_>, Vec<_>) = self.listeners.drain(..).partition(is_wanted);
        self.listeners = kept;
        unwanted.into_iter().for_each(|listener| close_listener(context, listener));
        for listener in opened.0 {
            self.register(context, listener);
        }
        if options.is_none() {
            let keys: Vec<CheckConnectionKey> =
                self.connections.iter().map(|(key, _)| CheckConnectionKey(key)).collect();
            keys.into_iter().for_each(|key| self.close(context, key, CheckCloseReason::ListenerDisabled));
        }
        self.options = options;
    }

    /// Registers a listener with the event loop and logs it.
    fn register(&mut self, context: &mut EventLoopContext, mut listener: OpenListener) {
        let token = listener.protocol.source().token();
        if let Err(error) =
            registration::register(context.poll.registry(), &mut listener.socket, token, Interest::READABLE)
        {
            warn!(event = "health-failed", error = %Quoted(error));
            return;
        }
        let at = listener.socket.local_addr().unwrap_or(listener.address);
        info!(event = "health-listening", kind = listener.protocol.as_str(), at = %at);
        self.listeners.push(listener);
    }

    /// Opens the listeners that the options require and that are not open, such as those closed for another process.
    pub(crate) fn reopen_listeners(&mut self, context: &mut EventLoopContext) {
        match self.open(self.options.as_ref()) {
            Ok(opened) => {
                let options = self.options.take();
                self.apply_options(context, options, opened);
            }
            Err(error) => warn!(event = "health-failed", error = %Quoted(error)),
        }
    }

    /// Accepts the waiting connections and closes the listeners, if another process listens at the same addresses and
    /// answers from now on. Connections stay open.
    pub(crate) fn stop_listening(&mut self, context: &mut EventLoopContext) {
        if !self.shares_addresses {
            return;
        }
        self.listeners.iter_mut().for_each(|listener| listener.accept_pending = true);
        self.accept(context);
        self.listeners.drain(..).for_each(|listener| close_listener(context, listener));
    }

    /// Whether a listener that the options require is not open.
    pub(crate) fn is_missing_listener(&self) -> bool {
        let wanted = self.options.iter().flat_map(wanted_listeners).count();
        wanted > self.listeners.len()
    }

    /// Sets the time before which no connection is accepted.
    pub(crate) fn set_accept_start(&mut self, at: Micros) {
        self.accept_start = at;
    }

    /// Notes that a listener has connections to accept.
    pub(crate) fn listener_ready(&mut self, source: Source) {
        let ready = self.listeners.iter_mut().filter(|listener| listener.protocol.source() == source);
        ready.for_each(|listener| listener.accept_pending = true);
    }

    /// Accepts a bounded number of connections from each listener.
    pub(super) fn accept(&mut self, context: &mut EventLoopContext) {
        if context.now < self.accept_start {
            return;
        }
        for index in 0..self.listeners.len() {
            for _ in 0..MAX_ACCEPTED_PER_TURN {
                let listener = &mut self.listeners[index];
                if !listener.accept_pending {
                    break;
                }
                match listener.socket.accept() {
                    Ok((stream, _)) => {
                        let protocol = listener.protocol;
                        self.add(context, stream, protocol);
                    }
                    // After other errors, the listener is tried again with the next connection or by `close_inactive`.
                    Err(error) => {
                        listener.accept_pending =
                            matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted);
                    }
                }
            }
        }
    }
}

fn close_listener(context: &mut EventLoopContext, mut listener: OpenListener) {
    // If this fails, closing the socket deregisters it.
    let _ = context.poll.registry().deregister(&mut listener.socket);
}
