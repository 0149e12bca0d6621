//! Balancers' checks: their listeners and callers. Descriptors of their own, and the first place in each turn; callers that
//! say nothing, or read nothing, make room for those who do.
//!
//! It moves bytes between sockets and the machines of the health crate. What is told is the monitor's verdict; this
//! decides only who may stay connected.

mod listeners;
mod serve;

use super::event_loop_context::EventLoopContext;
use super::sources::Source;
use super::timer_events::TimerEvent;
use crate::grpc;
use crate::health::Watch;
use crate::observe::Shared;
use birchreach::Micros;
use birchreach_health::{agent, http};
use birchreach_options::HealthOptions;
use listeners::{Listening, check_listeners};
use mio::Interest;
use mio::net::TcpStream;
use serve::{Serve, say, serve_agent, serve_grpc, serve_http};
use slab::Slab;
use tracing::info;

/// Callers that have more than one turn takes go on so many at a time: one that asks by the thousand and reads nothing
/// makes the turn longer for everybody.
const GO_ON: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Http,
    Agent,
    Grpc,
}

impl Kind {
    fn source(self) -> Source {
        match self {
            Kind::Http => Source::HttpListener,
            Kind::Agent => Source::AgentListener,
            Kind::Grpc => Source::GrpcListener,
        }
    }

    fn word(self) -> &'static str {
        match self {
            Kind::Http => "http",
            Kind::Agent => "agent",
            Kind::Grpc => "grpc",
        }
    }
}

enum Machine {
    Http(http::HttpCheckConnection),
    /// And its reply, once it is made.
    Agent(agent::AgentCheckConnection, Option<Vec<u8>>),
    Grpc(Box<grpc::GrpcCheckConnection>),
}

struct Caller {
    stream: TcpStream,
    kind: Kind,
    machine: Machine,
    serial: u64,
    /// When it last said something new, or took something.
    active: Micros,
}

pub struct Checks {
    /// Whose verdict is told.
    pub watch: Option<Shared<Watch>>,
    options: Option<HealthOptions>,
    listening: Vec<Listening>,
    slots: Slab<Caller>,
    /// Callers with more to read or write than one turn takes.
    unread: Vec<usize>,
    serial: u64,
    /// Nobody is accepted before this time: another process answers until then.
    from: Micros,
    /// Another process of this proxy may listen at the same addresses.
    shared: bool,
}

impl Checks {
    pub fn new(shared: bool) -> Checks {
        Checks {
            watch: None,
            options: None,
            listening: Vec::new(),
            slots: Slab::new(),
            unread: Vec::new(),
            serial: 0,
            from: 0,
            shared,
        }
    }

    /// Something is left to do without any socket telling.
    pub fn pressing(&self, now: Micros) -> bool {
        !self.unread.is_empty() || (now >= self.from && self.listening.iter().any(|l| l.waiting))
    }

    /// Goes on where the last turn stopped.
    pub fn go_on(&mut self, context: &mut EventLoopContext) {
        let rest = self.unread.split_off(self.unread.len().min(GO_ON));
        for key in std::mem::replace(&mut self.unread, rest) {
            self.ready(context, key);
        }
        self.accept(context);
    }

    fn admit(&mut self, context: &mut EventLoopContext, mut stream: TcpStream, kind: Kind) {
        let Some(most) = self.check_listener(kind).map(|check_listener| check_listener.max_connections)
        else {
            return;
        };
        let of_kind = || self.slots.iter().filter(|(_, c)| c.kind == kind);
        if of_kind().count() >= most {
            // The one that has been still for longest makes room.
            let oldest = of_kind().min_by_key(|(_, c)| (c.active, c.serial)).map(|(key, _)| key);
            oldest.into_iter().for_each(|key| self.close(context, key, "shed"));
        }
        let _ = stream.set_nodelay(true);
        let slot = self.slots.vacant_entry();
        let key = slot.key();
        let wanted = Interest::READABLE | Interest::WRITABLE;
        if context.registry.register(&mut stream, Source::Check(key).token(), wanted).is_err() {
            return;
        }
        self.serial += 1;
        let machine = match kind {
            Kind::Http => Machine::Http(http::HttpCheckConnection::default()),
            Kind::Agent => Machine::Agent(agent::AgentCheckConnection::default(), None),
            Kind::Grpc => Machine::Grpc(Box::default()),
        };
        slot.insert(Caller { stream, kind, machine, serial: self.serial, active: context.now });
        if let Some(agent) =
            self.options.as_ref().and_then(|o| o.agent.as_ref()).filter(|_| kind == Kind::Agent)
        {
            context.timers.set(context.now + agent.query_timeout, TimerEvent::CheckTimeout(key, self.serial));
        }
        // What was sent with the connect is there already.
        self.ready(context, key);
    }

    /// A balancer has said nothing for long enough: it asks for the whole.
    pub fn asked(&mut self, context: &mut EventLoopContext, key: usize, serial: u64) {
        let Some(c) = self.slots.get_mut(key).filter(|c| c.serial == serial) else { return };
        if let Machine::Agent(machine, reply @ None) = &mut c.machine
            && let Some(asked) = machine.input_ended()
        {
            *reply = Some(say(context, &asked, self.options.as_ref(), self.watch.as_ref()));
            self.ready(context, key);
        }
    }

    /// The caller's turn: it is read, answered and written as far as that takes it.
    pub fn ready(&mut self, context: &mut EventLoopContext, key: usize) {
        let (options, watch) = (self.options.as_ref(), self.watch.as_ref());
        let Some(c) = self.slots.get_mut(key) else { return };
        let over = match &mut c.machine {
            Machine::Http(_) => serve_http(context, c, watch),
            Machine::Agent(..) => serve_agent(context, c, options, watch),
            Machine::Grpc(_) => serve_grpc(context, c, watch),
        };
        match over {
            Serve::Over(reason) => self.close(context, key, reason),
            Serve::More => self.unread.push(key),
            Serve::Waits => {}
        }
    }

    /// Closes those that stop halfway, say nothing, or read nothing.
    pub fn sweep(&mut self, context: &mut EventLoopContext) {
        self.listening.iter_mut().for_each(|l| l.waiting = true);
        let Some(options) = &self.options else { return };
        let idle = options.http.as_ref().map_or(0, |http| http.idle_timeout);
        let grpc_idle = options.grpc.as_ref().map_or(0, |grpc| grpc.idle_timeout);
        // Watches may be still for long: their peers are asked whether they are there.
        let mut pinged = Vec::new();
        for (key, c) in &mut self.slots {
            if let Machine::Grpc(m) = &mut c.machine
                && m.has_watches()
                && context.now - c.active >= grpc_idle / 2
            {
                m.ping();
                pinged.push(key);
            }
        }
        let silent = |c: &Caller| {
            let check_listener = check_listeners(options)
                .find(|(kind, _)| *kind == c.kind)
                .map_or(0, |(_, check_listener)| check_listener.silence_timeout);
            let (long, reason) = match &c.machine {
                Machine::Http(m)
                    if m.requests_answered() > 0 && !m.has_partial_request() && m.output.is_empty() =>
                {
                    (idle, "idle")
                }
                Machine::Grpc(m)
                    if m.activity() > 0 && (m.is_idle() || m.has_watches()) && !m.has_output() =>
                {
                    (grpc_idle, "idle")
                }
                _ => (check_listener, "silent"),
            };
            (context.now - c.active >= long).then_some(reason)
        };
        let old: Vec<_> = self.slots.iter().filter_map(|(key, c)| Some((key, silent(c)?))).collect();
        old.into_iter().for_each(|(key, reason)| self.close(context, key, reason));
        pinged.into_iter().for_each(|key| self.ready(context, key));
    }

    /// Something is told otherwise from now on: who watches hears of it.
    pub fn changed(&mut self, context: &mut EventLoopContext) {
        let watches = |c: &Caller| matches!(&c.machine, Machine::Grpc(m) if m.has_watches());
        let keys: Vec<usize> = self.slots.iter().filter(|(_, c)| watches(c)).map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.ready(context, key));
    }

    fn close(&mut self, context: &mut EventLoopContext, key: usize, reason: &'static str) {
        let mut c = self.slots.remove(key);
        let _ = context.registry.deregister(&mut c.stream);
        // Checks come by the hundred a second: those that went as they should are not worth the lines of others.
        match reason {
            "answered" | "closed" | "idle" => tracing::debug!(conn = "check", kind = c.kind.word(), reason),
            _ => info!(conn = "check", kind = c.kind.word(), reason),
        }
    }
}
