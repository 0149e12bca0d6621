//! The admin listener: its listener and callers. It has descriptors of its own, and silent callers make
//! room for those who speak.

use super::event_loop_context::EventLoopContext;
use super::sources::Source;
use super::stream;
use crate::admin_protocol::{Call, Caller};
use birchreach::Micros;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};
use slab::Slab;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr};
use tracing::info;

/// Callers at once; one more, and the one that has been there longest goes.
pub const MOST: usize = 8;
/// A caller that finishes no call is sent away after this time.
const SILENT: Micros = 5_000_000;
/// Accepted in one turn of the loop at most, and what is read of one caller.
const TURN: usize = 16;
const READ_TURN: usize = 64 << 10;

/// What subsystems have to tell; nothing of those that are off.
#[derive(Default)]
pub struct AdminReports {
    pub fleet: Option<String>,
    pub hot: Option<String>,
    pub split: Option<String>,
    pub metrics: Option<String>,
}

struct Open {
    stream: TcpStream,
    machine: Caller,
    since: Micros,
}

pub struct AdminListener {
    listener: Option<TcpListener>,
    slots: Slab<Open>,
    waiting: bool,
}

impl AdminListener {
    /// Without an address there is no listener.
    pub fn new(registry: &Registry, address: Option<SocketAddr>) -> Result<AdminListener, String> {
        let mut admin = AdminListener { listener: None, slots: Slab::new(), waiting: false };
        if let Some(address) = address {
            let bound = TcpListener::bind(address);
            let mut listener = bound.map_err(|e| format!("listening for operators on {address}: {e}"))?;
            let registered = registry.register(&mut listener, Source::Admin.token(), Interest::READABLE);
            registered.map_err(|e| format!("watching {address}: {e}"))?;
            admin.listener = Some(listener);
        }
        Ok(admin)
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    pub fn accept_ready(&mut self) {
        self.waiting = true;
    }

    /// More may wait than one turn takes.
    pub fn pressing(&self) -> bool {
        self.waiting
    }

    pub fn accept(&mut self, context: &mut EventLoopContext) {
        for _ in 0..TURN {
            let Some(listener) = self.listener.as_ref().filter(|_| self.waiting) else { return };
            match listener.accept() {
                Ok((mut stream, _)) => {
                    if self.slots.len() >= MOST {
                        let oldest = self.slots.iter().min_by_key(|(_, c)| c.since).map(|(k, _)| k);
                        oldest.into_iter().for_each(|key| self.close(context, key, "shed"));
                    }
                    let slot = self.slots.vacant_entry();
                    let token = Source::Operator(slot.key()).token();
                    let wanted = Interest::READABLE | Interest::WRITABLE;
                    if context.registry.register(&mut stream, token, wanted).is_ok() {
                        slot.insert(Open { stream, machine: Caller::default(), since: context.now });
                    }
                }
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                // Those who wait are told of again with the next who comes, and looked for by the sweep.
                Err(_) => self.waiting = false,
            }
        }
    }

    /// Reads what a caller says; its call is the loop's to answer.
    pub fn ready(&mut self, context: &mut EventLoopContext, key: usize) -> Option<Call> {
        let c = self.slots.get_mut(key)?;
        let (machine, mut call, mut read) = (&mut c.machine, None, 0);
        let drained = stream::read(&mut c.stream, &mut context.scratch, |bytes| {
            read += bytes.len();
            call = call.or_else(|| machine.feed(bytes));
            read < READ_TURN
        });
        if drained == Err(stream::Ended::Reset) {
            self.close(context, key, "reset");
            return None;
        }
        if drained.is_err() && call.is_none() {
            call = c.machine.ended();
            if call.is_none() && !c.machine.done() {
                self.close(context, key, "closed");
                return None;
            }
        }
        if call.is_none() {
            self.write(context, key);
        }
        call
    }

    /// The caller's machine, for the reply; `write` sends it.
    pub fn caller(&mut self, key: usize) -> Option<&mut Caller> {
        self.slots.get_mut(key).map(|c| &mut c.machine)
    }

    /// Writes what is to be said, and ends once all of it has gone.
    pub fn write(&mut self, context: &mut EventLoopContext, key: usize) {
        let Some(c) = self.slots.get_mut(key).filter(|c| c.machine.done()) else { return };
        match stream::write(&mut c.stream, &mut c.machine.out) {
            Ok(false) => {}
            Ok(true) => {
                let _ = c.stream.shutdown(Shutdown::Write);
                self.close(context, key, "answered");
            }
            Err(_) => self.close(context, key, "reset"),
        }
    }

    pub fn sweep(&mut self, context: &mut EventLoopContext) {
        self.waiting = self.listener.is_some();
        let silent = self.slots.iter().filter(|(_, c)| context.now - c.since >= SILENT);
        for key in silent.map(|(k, _)| k).collect::<Vec<_>>() {
            self.close(context, key, "unresponsive");
        }
    }

    fn close(&mut self, context: &mut EventLoopContext, key: usize, reason: &str) {
        let mut c = self.slots.remove(key);
        let _ = context.registry.deregister(&mut c.stream);
        info!(conn = "operator", reason);
    }
}
