//! Balancers' checks: their listeners and callers. Descriptors of their own, and the first place in each turn; callers that
//! say nothing, or read nothing, make room for those who do.
//!
//! It moves bytes between sockets and the machines of the health crate. What is told is the monitor's verdict; this
//! decides only who may stay connected.

use super::Due;
use super::pool::Cx;
use super::sources::Source;
use super::stream;
use crate::grpc;
use birchreach::{Micros, ServerId};
use birchreach_health::{agent, http};
use birchreach_options::{Door, Health};
use mio::Interest;
use mio::net::{TcpListener, TcpStream};
use slab::Slab;
use std::net::{Shutdown, SocketAddr};
use tracing::{info, warn};

/// Accepted in one turn of the loop at most, by each listener.
const TURN: usize = 64;
/// What is read of one at once.
const PIECE: usize = 8 << 10;
/// Callers that have more than one turn takes go on so many at a time: one that asks by the thousand and reads nothing
/// makes the turn longer for everybody.
const GO_ON: usize = 16;
/// The queue of connections not yet accepted.
const BACKLOG: i32 = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Http,
    Agent,
    Grpc,
}

impl Kind {
    fn source(self) -> Source {
        match self {
            Kind::Http => Source::HttpDoor,
            Kind::Agent => Source::AgentDoor,
            Kind::Grpc => Source::GrpcDoor,
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
    Http(http::Caller),
    /// And its reply, once it is made.
    Agent(agent::Caller, Option<Vec<u8>>),
    Grpc(Box<grpc::Caller>),
}

struct Caller {
    stream: TcpStream,
    kind: Kind,
    machine: Machine,
    serial: u64,
    /// When it last said something new, or took something.
    active: Micros,
}

struct Listening {
    kind: Kind,
    listener: TcpListener,
    address: SocketAddr,
    /// More may wait to be accepted.
    waiting: bool,
}

/// Listeners opened for options that are not in force yet.
pub struct Opened(Vec<Listening>);

pub struct Checks {
    options: Option<Health>,
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

fn doors(options: &Health) -> impl Iterator<Item = (Kind, &Door)> {
    let http = options.http.as_ref().map(|http| (Kind::Http, &http.door));
    let agent = options.agent.as_ref().map(|agent| (Kind::Agent, &agent.door));
    let grpc = options.grpc.as_ref().map(|grpc| (Kind::Grpc, &grpc.door));
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
    pub fn new(shared: bool) -> Checks {
        Checks {
            options: None,
            listening: Vec::new(),
            slots: Slab::new(),
            unread: Vec::new(),
            serial: 0,
            from: 0,
            shared,
        }
    }

    /// Opens what these options want and is not open; those in force are not touched.
    pub fn open(&self, options: Option<&Health>) -> Result<Opened, String> {
        let mut opened = Vec::new();
        for (kind, door) in options.into_iter().flat_map(doors) {
            if self.listening.iter().any(|l| l.kind == kind && l.address == door.listen) {
                continue;
            }
            let failed = |e| format!("listening for {} checks on {}: {e}", kind.word(), door.listen);
            let listener = listen(door.listen, self.shared).map_err(failed)?;
            opened.push(Listening { kind, listener, address: door.listen, waiting: true });
        }
        Ok(Opened(opened))
    }

    /// These options are in force from now on.
    pub fn take(&mut self, cx: &mut Cx, options: Option<Health>, opened: Opened) {
        let wanted = |l: &Listening| {
            options.iter().flat_map(doors).any(|(kind, door)| kind == l.kind && door.listen == l.address)
        };
        let (stay, mut go): (Vec<_>, Vec<_>) = self.listening.drain(..).partition(wanted);
        self.listening = stay;
        for l in &mut go {
            let _ = cx.registry.deregister(&mut l.listener);
        }
        drop(go);
        for mut l in opened.0 {
            if let Err(e) = cx.registry.register(&mut l.listener, l.kind.source().token(), Interest::READABLE)
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
            keys.into_iter().for_each(|key| self.close(cx, key, "off"));
        }
        self.options = options;
    }

    /// Opens the listeners again that were closed for another process.
    pub fn reopen(&mut self, cx: &mut Cx) {
        match self.open(self.options.as_ref()) {
            Ok(opened) => {
                let options = self.options.take();
                self.take(cx, options, opened);
            }
            Err(e) => warn!(event = "health-failed", error = %crate::log::Quoted(e)),
        }
    }

    /// Another process answers from now on where it listens too; whoever is connected here hears on.
    pub fn stop_listening(&mut self, cx: &mut Cx) {
        if self.shared {
            self.listening.iter_mut().for_each(|l| l.waiting = true);
            self.accept(cx);
            for mut l in self.listening.drain(..) {
                let _ = cx.registry.deregister(&mut l.listener);
            }
        }
    }

    /// Some listener that the options want is not open.
    pub fn lacks(&self) -> bool {
        self.options.as_ref().is_some_and(|o| doors(o).count() > self.listening.len())
    }

    /// Nobody is to be accepted before this time.
    pub fn not_before(&mut self, from: Micros) {
        self.from = from;
    }

    pub fn knock(&mut self, source: Source) {
        self.listening.iter_mut().filter(|l| l.kind.source() == source).for_each(|l| l.waiting = true);
    }

    /// Something is left to do without any socket telling.
    pub fn pressing(&self, now: Micros) -> bool {
        !self.unread.is_empty() || (now >= self.from && self.listening.iter().any(|l| l.waiting))
    }

    /// Goes on where the last turn stopped.
    pub fn go_on(&mut self, cx: &mut Cx) {
        let rest = self.unread.split_off(self.unread.len().min(GO_ON));
        for key in std::mem::replace(&mut self.unread, rest) {
            self.ready(cx, key);
        }
        self.accept(cx);
    }

    fn accept(&mut self, cx: &mut Cx) {
        if cx.now < self.from {
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
                        self.admit(cx, stream, kind);
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

    fn door(&self, kind: Kind) -> Option<&Door> {
        doors(self.options.as_ref()?).find(|(k, _)| *k == kind).map(|(_, door)| door)
    }

    fn admit(&mut self, cx: &mut Cx, mut stream: TcpStream, kind: Kind) {
        let Some(most) = self.door(kind).map(|door| door.callers) else { return };
        let of_kind = || self.slots.iter().filter(|(_, c)| c.kind == kind);
        if of_kind().count() >= most {
            // The one that has been still for longest makes room.
            let oldest = of_kind().min_by_key(|(_, c)| (c.active, c.serial)).map(|(key, _)| key);
            oldest.into_iter().for_each(|key| self.close(cx, key, "shed"));
        }
        let _ = stream.set_nodelay(true);
        let slot = self.slots.vacant_entry();
        let key = slot.key();
        let wanted = Interest::READABLE | Interest::WRITABLE;
        if cx.registry.register(&mut stream, Source::Check(key).token(), wanted).is_err() {
            return;
        }
        self.serial += 1;
        let machine = match kind {
            Kind::Http => Machine::Http(http::Caller::default()),
            Kind::Agent => Machine::Agent(agent::Caller::default(), None),
            Kind::Grpc => Machine::Grpc(Box::default()),
        };
        slot.insert(Caller { stream, kind, machine, serial: self.serial, active: cx.now });
        if let Some(agent) =
            self.options.as_ref().and_then(|o| o.agent.as_ref()).filter(|_| kind == Kind::Agent)
        {
            cx.timers.set(cx.now + agent.ask, Due::Asked(key, self.serial));
        }
        // What was sent with the connect is there already.
        self.ready(cx, key);
    }

    /// A balancer has said nothing for long enough: it asks for the whole.
    pub fn asked(&mut self, cx: &mut Cx, key: usize, serial: u64) {
        let Some(c) = self.slots.get_mut(key).filter(|c| c.serial == serial) else { return };
        if let Machine::Agent(machine, reply @ None) = &mut c.machine
            && let Some(asked) = machine.ended()
        {
            *reply = Some(say(cx, &asked, self.options.as_ref()));
            self.ready(cx, key);
        }
    }

    /// The caller's turn: it is read, answered and written as far as that takes it.
    pub fn ready(&mut self, cx: &mut Cx, key: usize) {
        let options = self.options.as_ref();
        let Some(c) = self.slots.get_mut(key) else { return };
        let over = match &mut c.machine {
            Machine::Http(_) => serve_http(cx, c),
            Machine::Agent(..) => serve_agent(cx, c, options),
            Machine::Grpc(_) => serve_grpc(cx, c),
        };
        match over {
            Serve::Over(reason) => self.close(cx, key, reason),
            Serve::More => self.unread.push(key),
            Serve::Waits => {}
        }
    }

    /// Closes those that stop halfway, say nothing, or read nothing.
    pub fn sweep(&mut self, cx: &mut Cx) {
        self.listening.iter_mut().for_each(|l| l.waiting = true);
        let Some(options) = &self.options else { return };
        let idle = options.http.as_ref().map_or(0, |http| http.idle);
        let grpc_idle = options.grpc.as_ref().map_or(0, |grpc| grpc.idle);
        // Watches may be still for long: their peers are asked whether they are there.
        let mut pinged = Vec::new();
        for (key, c) in &mut self.slots {
            if let Machine::Grpc(m) = &mut c.machine
                && m.watches()
                && cx.now - c.active >= grpc_idle / 2
            {
                m.ping();
                pinged.push(key);
            }
        }
        let silent = |c: &Caller| {
            let door = doors(options).find(|(kind, _)| *kind == c.kind).map_or(0, |(_, door)| door.silent);
            let (long, reason) = match &c.machine {
                Machine::Http(m) if m.calls() > 0 && !m.halfway() && m.out.is_empty() => (idle, "idle"),
                Machine::Grpc(m) if m.events() > 0 && (m.idle() || m.watches()) && !m.has_out() => {
                    (grpc_idle, "idle")
                }
                _ => (door, "silent"),
            };
            (cx.now - c.active >= long).then_some(reason)
        };
        let old: Vec<_> = self.slots.iter().filter_map(|(key, c)| Some((key, silent(c)?))).collect();
        old.into_iter().for_each(|(key, reason)| self.close(cx, key, reason));
        pinged.into_iter().for_each(|key| self.ready(cx, key));
    }

    /// Something is told otherwise from now on: who watches hears of it.
    pub fn changed(&mut self, cx: &mut Cx) {
        let watches = |c: &Caller| matches!(&c.machine, Machine::Grpc(m) if m.watches());
        let keys: Vec<usize> = self.slots.iter().filter(|(_, c)| watches(c)).map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.ready(cx, key));
    }

    fn close(&mut self, cx: &mut Cx, key: usize, reason: &'static str) {
        let mut c = self.slots.remove(key);
        let _ = cx.registry.deregister(&mut c.stream);
        // Checks come by the hundred a second: those that went as they should are not worth the lines of others.
        match reason {
            "answered" | "closed" | "idle" => tracing::debug!(conn = "check", kind = c.kind.word(), reason),
            _ => info!(conn = "check", kind = c.kind.word(), reason),
        }
    }
}

enum Serve {
    Over(&'static str),
    /// More than one turn takes.
    More,
    Waits,
}

fn serve_http(cx: &mut Cx, c: &mut Caller) -> Serve {
    let Machine::Http(machine) = &mut c.machine else { return Serve::Waits };
    let before = (machine.calls(), machine.out.len());
    let read = if machine.hungry() {
        let most = PIECE.min(cx.scratch.len());
        stream::read(&mut c.stream, &mut cx.scratch[..most], |bytes| {
            machine.feed(bytes);
            machine.hungry()
        })
    } else {
        Ok(false)
    };
    let now = cx.now;
    if let Some(watch) = &mut cx.core.watch
        && watch.monitor.next_change() <= now
    {
        watch.monitor.step(now);
    }
    let core = &*cx.core;
    let Some(watch) = &core.watch else { return Serve::Over("off") };
    let all = machine.run(now, watch.monitor.verdict(), &|server| core.name(ServerId(server.0)).to_string());
    let waiting = machine.out.len();
    let written = stream::write_some(&mut c.stream, &machine.out).map(|n| machine.wrote(n));
    // Bytes that make no call whole do not keep a caller: it could go on so for ever.
    if machine.calls() > before.0 || machine.out.len() < waiting {
        c.active = now;
    }
    if machine.over() {
        let _ = c.stream.shutdown(Shutdown::Write);
        return Serve::Over("answered");
    }
    match (read, written) {
        (_, Err(_)) | (Err(stream::Ended::Reset), _) => Serve::Over("reset"),
        (Err(stream::Ended::Closed), _) => {
            Serve::Over(if machine.halfway() { "cut-short" } else { "closed" })
        }
        // The socket tells once it takes more; of what was not read, or not answered yet, nobody tells again.
        (Ok(drained), _) if (drained && all) || !machine.out.is_empty() => Serve::Waits,
        _ => Serve::More,
    }
}

fn serve_grpc(cx: &mut Cx, c: &mut Caller) -> Serve {
    let Machine::Grpc(machine) = &mut c.machine else { return Serve::Waits };
    let before = machine.events();
    let read = if machine.hungry() {
        let most = PIECE.min(cx.scratch.len());
        stream::read(&mut c.stream, &mut cx.scratch[..most], |bytes| {
            machine.feed(bytes);
            machine.hungry()
        })
    } else {
        Ok(false)
    };
    if read == Err(stream::Ended::Reset) {
        return Serve::Over("reset");
    }
    if read.is_err() {
        machine.ended();
    }
    let now = cx.now;
    let Some(watch) = &mut cx.core.watch else { return Serve::Over("off") };
    if watch.monitor.next_change() <= now {
        watch.monitor.step(now);
    }
    let more = machine.run(watch.monitor.verdict());
    let out = machine.take_out();
    let Ok(at) = stream::write_some(&mut c.stream, &out) else { return Serve::Over("reset") };
    machine.put_back(&out[at..]);
    if machine.events() > before {
        c.active = now;
    }
    if machine.over() {
        return Serve::Over("closed");
    }
    // What did not fit into the output before may now.
    let unread = matches!(read, Ok(false)) || more || !out.is_empty();
    if unread && !machine.has_out() { Serve::More } else { Serve::Waits }
}

fn serve_agent(cx: &mut Cx, c: &mut Caller, options: Option<&Health>) -> Serve {
    let Machine::Agent(machine, reply) = &mut c.machine else { return Serve::Waits };
    let mut asked = None;
    let read = stream::read(&mut c.stream, cx.scratch, |bytes| {
        asked = asked.take().or_else(|| machine.feed(bytes));
        asked.is_none()
    });
    if reply.is_none() {
        if read == Err(stream::Ended::Closed) {
            asked = asked.or_else(|| machine.ended());
        }
        *reply = asked.map(|asked| say(cx, &asked, options));
    }
    let Some(bytes) = reply else {
        return if read.is_err() { Serve::Over("reset") } else { Serve::Waits };
    };
    match stream::write_some(&mut c.stream, bytes) {
        Err(_) => Serve::Over("reset"),
        Ok(n) if n < bytes.len() => {
            bytes.drain(..n);
            Serve::Waits
        }
        Ok(_) => {
            let _ = c.stream.shutdown(Shutdown::Write);
            Serve::Over("answered")
        }
    }
}

/// The reply to an agent-check.
fn say(cx: &mut Cx, asked: &agent::Asked, options: Option<&Health>) -> Vec<u8> {
    let Some(watch) = &mut cx.core.watch else { return Vec::new() };
    if watch.monitor.next_change() <= cx.now {
        watch.monitor.step(cx.now);
    }
    let verdict = watch.monitor.verdict();
    let maxconn = options.and_then(|o| o.agent.as_ref()).filter(|a| a.maxconn).map(|_| verdict.room);
    agent::reply(asked, verdict, maxconn).into_bytes()
}
