//! The listeners for balancers' checks: opened and closed with the options, or for another process of this proxy.

use super::super::event_loop_context::EventLoopContext;
use super::super::sources::Source;
use super::{Checks, Kind};
use birchreach::Micros;
use birchreach_options::{CheckListener, HealthOptions};
use mio::Interest;
use mio::net::TcpListener;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Accepted in one turn of the loop at most, by each listener.
const TURN: usize = 64;
/// The queue of connections not yet accepted.
const BACKLOG: i32 = 1024;

pub(super) struct Listening {
    pub(super) kind: Kind,
    pub(super) listener: TcpListener,
    pub(super) address: SocketAddr,
    /// More may wait to be accepted.
    pub(super) waiting: bool,
}

/// Listeners opened for options that are not in force yet.
pub struct Opened(Vec<Listening>);

pub(super) fn check_listeners(options: &HealthOptions) -> impl Iterator<Item = (Kind, &CheckListener)> {
    let http = options.http.as_ref().map(|http| (Kind::Http, &http.listener));
    let agent = options.agent.as_ref().map(|agent| (Kind::Agent, &agent.listener));
    let grpc = options.grpc.as_ref().map(|grpc| (Kind::Grpc, &grpc.listener));
    http.into_iter().chain(agent).chain(grpc)
}

fn listen(address: SocketAddr, shared: bool) -> std::io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from_std(socket.into()))
}

impl Checks {
    /// Opens what these options want and is not open; those in force are not touched.
    pub fn open(&self, options: Option<&HealthOptions>) -> Result<Opened, String> {
        let mut opened = Vec::new();
        for (kind, check_listener) in options.into_iter().flat_map(check_listeners) {
            if self.listening.iter().any(|l| l.kind == kind && l.address == check_listener.address) {
                continue;
            }
            let failed =
                |e| format!("listening for {} checks on {}: {e}", kind.word(), check_listener.address);
            let listener = listen(check_listener.address, self.shared).map_err(failed)?;
            opened.push(Listening { kind, listener, address: check_listener.address, waiting: true });
        }
        Ok(Opened(opened))
    }

    /// These options are in force from now on.
    pub fn take(&mut self, context: &mut EventLoopContext, options: Option<HealthOptions>, opened: Opened) {
        let wanted = |l: &Listening| {
            options
                .iter()
                .flat_map(check_listeners)
                .any(|(kind, check_listener)| kind == l.kind && check_listener.address == l.address)
        };
        let (stay, mut go): (Vec<_>, Vec<_>) = self.listening.drain(..).partition(wanted);
        self.listening = stay;
        for l in &mut go {
            let _ = context.registry.deregister(&mut l.listener);
        }
        drop(go);
        for mut l in opened.0 {
            if let Err(e) =
                context.registry.register(&mut l.listener, l.kind.source().token(), Interest::READABLE)
            {
                warn!(event = "health-failed", error = %crate::log::Quoted(e));
                continue;
            }
            let at = l.listener.local_addr().unwrap_or(l.address);
            info!(event = "health-listening", kind = l.kind.word(), at = %at);
            self.listening.push(l);
        }
        if options.is_none() {
            let keys: Vec<usize> = self.slots.iter().map(|(key, _)| key).collect();
            keys.into_iter().for_each(|key| self.close(context, key, "off"));
        }
        self.options = options;
    }

    /// Opens the listeners again that were closed for another process.
    pub fn reopen(&mut self, context: &mut EventLoopContext) {
        match self.open(self.options.as_ref()) {
            Ok(opened) => {
                let options = self.options.take();
                self.take(context, options, opened);
            }
            Err(e) => warn!(event = "health-failed", error = %crate::log::Quoted(e)),
        }
    }

    /// Another process answers from now on where it listens too; whoever is connected here hears on.
    pub fn stop_listening(&mut self, context: &mut EventLoopContext) {
        if self.shared {
            self.listening.iter_mut().for_each(|l| l.waiting = true);
            self.accept(context);
            for mut l in self.listening.drain(..) {
                let _ = context.registry.deregister(&mut l.listener);
            }
        }
    }

    /// Some listener that the options want is not open.
    pub fn lacks(&self) -> bool {
        self.options.as_ref().is_some_and(|o| check_listeners(o).count() > self.listening.len())
    }

    /// Nobody is to be accepted before this time.
    pub fn not_before(&mut self, from: Micros) {
        self.from = from;
    }

    pub fn accept_ready(&mut self, source: Source) {
        self.listening.iter_mut().filter(|l| l.kind.source() == source).for_each(|l| l.waiting = true);
    }

    pub(super) fn accept(&mut self, context: &mut EventLoopContext) {
        if context.now < self.from {
            return;
        }
        for at in 0..self.listening.len() {
            for _ in 0..TURN {
                let l = &mut self.listening[at];
                if !l.waiting {
                    break;
                }
                match l.listener.accept() {
                    Ok((stream, _)) => {
                        let kind = l.kind;
                        self.admit(context, stream, kind);
                    }
                    Err(e) => {
                        use std::io::ErrorKind::{ConnectionAborted, Interrupted};
                        // Those who wait are told of again with the next who comes, and looked for by the sweep.
                        l.waiting = matches!(e.kind(), ConnectionAborted | Interrupted);
                    }
                }
            }
        }
    }

    pub(super) fn check_listener(&self, kind: Kind) -> Option<&CheckListener> {
        check_listeners(self.options.as_ref()?)
            .find(|(k, _)| *k == kind)
            .map(|(_, check_listener)| check_listener)
    }
}
