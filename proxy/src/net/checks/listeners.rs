//! The listeners for balancers' checks: opened and closed as the options say, and for another process of this proxy.

use super::super::error::{ListenError, ListenPurpose};
use super::super::event_loop_context::EventLoopContext;
use super::super::ids::CheckKey;
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

/// The most connections accepted of one listener in one turn.
const MAX_ACCEPTED_PER_TURN: usize = 64;
/// The length of the queue of connections that aren't accepted yet.
const LISTEN_BACKLOG: i32 = 1024;

/// A listener that is open.
pub(super) struct OpenListener {
    protocol: CheckProtocol,
    socket: TcpListener,
    address: SocketAddr,
    /// Connections may wait to be accepted.
    pub(super) accept_pending: bool,
}

/// Listeners opened for options that aren't in force yet.
pub(crate) struct OpenedListeners(Vec<OpenListener>);

/// Opens a listening socket. `shares_address`: another process may listen at the same address.
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
    /// Opens the listeners that these options require and that aren't open; those in force stay as they are.
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

    /// Puts these options in force, with the listeners that were opened for them.
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
            let keys: Vec<CheckKey> = self.connections.iter().map(|(key, _)| CheckKey(key)).collect();
            keys.into_iter().for_each(|key| self.close(context, key, CheckCloseReason::ListenerDisabled));
        }
        self.options = options;
    }

    /// Registers a listener with the event loop and logs it.
    fn register(&mut self, context: &mut EventLoopContext, mut listener: OpenListener) {
        let token = listener.protocol.source().token();
        if let Err(error) = context.poll.registry().register(&mut listener.socket, token, Interest::READABLE)
        {
            warn!(event = "health-failed", error = %Quoted(error));
            return;
        }
        let at = listener.socket.local_addr().unwrap_or(listener.address);
        info!(event = "health-listening", kind = listener.protocol.as_str(), at = %at);
        self.listeners.push(listener);
    }

    /// Opens the listeners again that were closed for another process.
    pub(crate) fn reopen_listeners(&mut self, context: &mut EventLoopContext) {
        match self.open(self.options.as_ref()) {
            Ok(opened) => {
                let options = self.options.take();
                self.apply_options(context, options, opened);
            }
            Err(error) => warn!(event = "health-failed", error = %Quoted(error)),
        }
    }

    /// Closes the listeners where another process listens too and answers from now on. Connections stay open.
    pub(crate) fn stop_listening(&mut self, context: &mut EventLoopContext) {
        if !self.shares_addresses {
            return;
        }
        self.listeners.iter_mut().for_each(|listener| listener.accept_pending = true);
        self.accept(context);
        self.listeners.drain(..).for_each(|listener| close_listener(context, listener));
    }

    /// Some listener that the options require isn't open.
    pub(crate) fn is_missing_listener(&self) -> bool {
        let wanted = self.options.iter().flat_map(wanted_listeners).count();
        wanted > self.listeners.len()
    }

    /// No connection is accepted before this time.
    pub(crate) fn set_accept_start(&mut self, at: Micros) {
        self.accept_start = at;
    }

    /// A listener has connections to accept.
    pub(crate) fn listener_ready(&mut self, source: Source) {
        let ready = self.listeners.iter_mut().filter(|listener| listener.protocol.source() == source);
        ready.for_each(|listener| listener.accept_pending = true);
    }

    /// Accepts connections of all listeners, a bounded number of each.
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
                    // After other errors, the next connection or `close_inactive` makes it try again.
                    Err(error) => {
                        listener.accept_pending =
                            matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted);
                    }
                }
            }
        }
    }
}

/// Closes a listener's socket.
fn close_listener(context: &mut EventLoopContext, mut listener: OpenListener) {
    // Closing the socket deregisters it as well.
    let _ = context.poll.registry().deregister(&mut listener.socket);
}
