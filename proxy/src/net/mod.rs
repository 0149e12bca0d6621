//! The loop: sockets that are ready feed the machines, due timers fire, what the core commands is
//! done, and what waits is written. One thread, one clock.

mod agent;
mod clients;
mod door;
mod listener;
mod pool;
mod stream;
mod timers;
mod twin;

use crate::config::{self, Config};
use crate::core::{Attempt, Command, Core, Line};
use crate::discovery::Update;
use crate::log::Quoted;
use crate::operator::Call;
use agent::Agent;
use birchreach::Micros;
use birchreach_settings::Site;
use clients::Clients;
use door::Door;
use mio::{Events, Poll, Token};
use pool::{Cx, Pool, Work};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::io::ErrorKind;
use std::path::PathBuf;
use timers::{Clock, Timers};
use tracing::{info, warn};
use twin::Twin;

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const AGENT: Token = Token(2);
const DOOR: Token = Token(3);
/// Where the next process meets this one, and the links to the one before and the one after.
const HEIRS: Token = Token(4);
const ELDER: Token = Token(5);
const HEIR: Token = Token(6);
/// Clients, databases and operators take turns behind these: place k of a slab has token first + k * STEP.
const CLIENTS: usize = 7;
const BACKENDS: usize = 8;
const CALLERS: usize = 9;
const STEP: usize = 3;

/// What a timer was set for.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Module(u32),
    Attempt(Attempt),
    Connect(usize, u64),
    Probe(usize, u64),
    Rested(usize, u64),
    Accept,
    AgentCall(u64),
    AgentSilent(u64),
    Sweep,
    Leave,
    Exit,
}

/// Descriptors kept for the rest: standard streams, poll, signals, listeners, discovery, operators.
const OWN_SOCKETS: usize = 16 + door::MOST;
/// Fewer would serve nobody; the own ones are seldom all in use.
const LEAST_PLACES: usize = 8;
const SWEEP: Micros = 250_000;
/// After SIGTERM connections still arrive for a while; they are served. Then idle clients are closed.
const LINGER: Micros = 800_000;
/// Where another process has the listener too, nobody new arrives here: idle clients have this time to ask once
/// more, for an answer and the end behind it cross with no request.
const HANDOVER: Micros = 600_000;
/// Beyond the longest deadline, clients have gone: nothing more is owed to anyone.
const LAST_CALL: Micros = 1_500_000;

/// How many descriptors clients and databases of this process may hold: all but its own; half of that while
/// another process is there; and while that one is leaving, all but what it still holds.
fn places(sockets: usize, twin: &Twin) -> (usize, usize) {
    let processes = twin.processes() as usize;
    let free = sockets.saturating_sub(OWN_SOCKETS * processes);
    let free = twin.left_over().map_or(free / processes, |held| free.saturating_sub(held)).max(LEAST_PLACES);
    (free - free / 2, free / 2)
}

fn longest_deadline(site: &Site) -> Micros {
    site.module.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
}

struct Proxy {
    poll: Poll,
    clock: Clock,
    now: Micros,
    timers: Timers<Due>,
    core: Core<Work>,
    scratch: Vec<u8>,
    clients: Clients,
    pool: Pool,
    agent: Agent,
    door: Door,
    twin: Twin,
    config: Config,
    /// The options' file, to be read again.
    options: Option<PathBuf>,
    longest_deadline: Micros,
    stopping: bool,
    left: bool,
}

/// From here on signals wait for the loop instead of ending the process.
pub fn signals() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("no signals: {e}"))
}

/// Serves until told to stop.
pub fn run(mut config: Config, options: Option<PathBuf>, mut signals: Signals) -> Result<(), String> {
    let poll = Poll::new().map_err(|e| format!("no poll: {e}"))?;
    let watched = poll.registry().register(&mut signals, SIGNALS, mio::Interest::READABLE);
    watched.map_err(|e| format!("watching signals: {e}"))?;
    let clock = Clock::new();
    let now = clock.now();
    let listener = listener::open(config.listen, config.inherited)?;
    let listen = listener.local_addr().map_err(|e| format!("the listener: {e}"))?;
    let door = Door::new(poll.registry(), config.operator)?;
    // Only one that shares its listener can have another process beside it.
    let shared = config.inherited.is_some();
    let twin = if shared { Twin::meet(poll.registry(), listen) } else { Twin::default() };
    let (for_clients, for_databases) = places(config.sockets, &twin);
    let clients = Clients::new(poll.registry(), listener, for_clients)?;
    let known = config.known.take();
    let mut proxy = Proxy {
        clock,
        now,
        timers: Timers::new(),
        core: Core::new(&config.site, config.seed, now),
        scratch: vec![0; 64 << 10],
        clients,
        pool: Pool::new(&config.site, for_databases),
        agent: Agent::new(
            config.discovery,
            known.as_ref().map(|known| known.rev),
            config.site.module.routers,
            config.seed,
        ),
        door,
        twin,
        longest_deadline: longest_deadline(&config.site),
        config,
        options,
        stopping: false,
        left: false,
        poll,
    };
    let Config { name, discovery, .. } = &proxy.config;
    let operator = proxy.door.address().map(tracing::field::display);
    info!(event = "started", name, %listen, %discovery, operator);
    if let Some(known) = known {
        proxy.members(Update { all: true, ..known });
    }
    if proxy.twin.processes() > 1 {
        info!(event = "elder-met");
    }
    proxy.share();
    proxy.timers.set(now + SWEEP, Due::Sweep);
    proxy.with(|_, _, agent, cx| agent.start(cx));
    let mut events = Events::with_capacity(1024);
    while !(proxy.left && proxy.clients.is_empty()) {
        proxy.turn(&mut events, &mut signals)?;
    }
    info!(event = "stopped", open = proxy.core.open_requests());
    Ok(())
}

impl Proxy {
    /// Lends the parts out beside one another.
    fn with<T>(&mut self, act: impl FnOnce(&mut Clients, &mut Pool, &mut Agent, &mut Cx) -> T) -> T {
        let mut cx = Cx {
            now: self.now,
            registry: self.poll.registry(),
            timers: &mut self.timers,
            core: &mut self.core,
            scratch: &mut self.scratch,
        };
        act(&mut self.clients, &mut self.pool, &mut self.agent, &mut cx)
    }

    fn turn(&mut self, events: &mut Events, signals: &mut Signals) -> Result<(), String> {
        let wait = if self.clients.pressing() || self.door.pressing() {
            Some(std::time::Duration::ZERO)
        } else {
            self.timers.wait(self.clock.now())
        };
        match self.poll.poll(events, wait) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(format!("polling: {e}")),
            _ => {}
        }
        self.now = self.clock.now();
        // Operators before all else, however many others are ready.
        for event in events.iter() {
            match event.token() {
                DOOR => self.door.knock(),
                Token(t) if t >= CALLERS && t % STEP == CALLERS % STEP => self.operator((t - CALLERS) / STEP),
                _ => {}
            }
        }
        self.with_own(|door, _, cx| door.accept(cx));
        for event in events.iter() {
            match event.token() {
                DOOR => {}
                HEIRS | ELDER | HEIR => self.meet(event.token()),
                Token(t) if t >= CALLERS && t % STEP == CALLERS % STEP => {}
                LISTENER => self.clients.knock(),
                SIGNALS => {
                    for signal in signals.pending() {
                        match signal {
                            SIGHUP => self.reload(),
                            _ => self.stop(),
                        }
                    }
                }
                AGENT => {
                    if let Some(update) = self.with(|_, _, agent, cx| agent.ready(cx)) {
                        self.members(update);
                    }
                }
                Token(t) if t % STEP == CLIENTS % STEP => {
                    self.with(|clients, _, _, cx| clients.ready(cx, (t - CLIENTS) / STEP));
                }
                Token(t) => self.with(|_, pool, _, cx| pool.ready(cx, (t - BACKENDS) / STEP)),
            }
            self.carry_out();
        }
        self.with(|clients, pool, _, cx| {
            clients.go_on(cx);
            if pool.starved() {
                clients.make_room(cx);
            }
        });
        self.carry_out();
        self.now = self.clock.now();
        while let Some(due) = self.timers.due(self.now) {
            self.fire(due);
            self.carry_out();
        }
        Ok(())
    }

    fn with_own(&mut self, act: impl FnOnce(&mut Door, &mut Twin, &mut Cx)) {
        let mut cx = Cx {
            now: self.now,
            registry: self.poll.registry(),
            timers: &mut self.timers,
            core: &mut self.core,
            scratch: &mut self.scratch,
        };
        act(&mut self.door, &mut self.twin, &mut cx);
    }

    /// Another process of this proxy came, spoke or went.
    fn meet(&mut self, token: Token) {
        self.with_own(|_, twin, cx| match token {
            HEIRS => twin.accept(cx),
            link => twin.ready(cx, link),
        });
        self.share();
    }

    /// What this process may do beside others.
    fn share(&mut self) {
        let (for_clients, for_databases) = places(self.config.sockets, &self.twin);
        let replaced = self.twin.replaced();
        self.core.share(self.now, self.twin.processes());
        let stopping = self.stopping;
        self.with(|clients, pool, _, cx| {
            pool.limit(cx, for_databases);
            clients.limit(cx, for_clients);
            if !stopping {
                clients.give_way(replaced);
            }
        });
    }

    /// An operator's connection is ready.
    fn operator(&mut self, key: usize) {
        let stopping = self.stopping;
        self.with_own(|door, _, cx| {
            let Some(call) = door.ready(cx, key) else { return };
            let figures = cx.core.stats.lines(cx.core.gauges(cx.now));
            if let Some(caller) = door.caller(key) {
                match call {
                    Call::Status if stopping => caller.no("stopping"),
                    Call::Status => caller.yes("it takes clients"),
                    Call::Stats => caller.figures(&figures),
                }
            }
            door.write(cx, key);
        });
    }

    fn fire(&mut self, due: Due) {
        if let Due::Module(id) = due {
            return self.core.timer(self.now, id);
        }
        self.with(|clients, pool, agent, cx| match due {
            Due::Module(_) | Due::Leave | Due::Exit => {}
            Due::Attempt(attempt) => pool.overdue(cx, attempt),
            Due::Connect(key, serial) => pool.connect_overdue(cx, key, serial),
            Due::Probe(key, turn) => pool.probe_overdue(cx, key, turn),
            Due::Rested(key, serial) => pool.rested(cx, key, serial),
            Due::Accept => clients.accept_again(),
            Due::AgentCall(turn) => agent.call_again(cx, turn),
            Due::AgentSilent(turn) => agent.silent(cx, turn),
            Due::Sweep => {
                clients.sweep(cx);
                pool.sweep(cx);
                cx.timers.set(cx.now + SWEEP, Due::Sweep);
            }
        });
        match due {
            Due::Sweep => {
                let (stopping, held) = (self.stopping, self.clients.len() + self.pool.len());
                self.with_own(|door, twin, cx| {
                    door.sweep(cx);
                    if stopping {
                        twin.leaving(cx, held);
                    }
                });
            }
            Due::Leave => {
                self.with(|clients, _, _, cx| clients.leave(cx));
                self.left = true;
            }
            Due::Exit => {
                info!(event = "stopped", open = self.core.open_requests());
                std::process::exit(0);
            }
            _ => {}
        }
    }

    /// Does what the core commands; what comes of it may bring more.
    fn carry_out(&mut self) {
        loop {
            let Some(command) = self.core.next() else {
                // Clients that have taken what there was of a long value get more of it.
                let Some(attempt) = self.clients.thirsty() else { return };
                self.with(|_, pool, _, cx| pool.more(cx, attempt));
                continue;
            };
            self.with(|clients, pool, _, cx| match command {
                Command::Start { attempt, server, work, until } => {
                    pool.start(cx, attempt, server, work, until)
                }
                Command::Stop { attempt } => pool.stop(cx, attempt),
                Command::Probe { server } => pool.probe(cx, server),
                Command::Answer { client, request, answer } => clients.answer(cx, client, request, &answer),
                Command::Begin { client, request, attempt, length } => {
                    clients.begin(cx, client, request, attempt, length);
                }
                Command::Piece { client, request, bytes } => clients.piece(cx, client, request, &bytes),
                Command::Break { client, request } => clients.broken(cx, client, request),
                Command::Wake { id, at } => cx.timers.set(at, Due::Module(id)),
                Command::Log(Line::Module(note)) => info!(event = "module", note = %Quoted(note)),
                Command::Log(Line::Server { number, uid, endpoint }) => {
                    info!(event = "server", number, uid, endpoint);
                }
            });
        }
    }

    fn members(&mut self, update: Update) {
        info!(event = "list", rev = update.rev, all = update.all, lines = update.targets.len());
        let moved = self.core.members(self.now, update);
        self.with(|_, pool, _, cx| moved.into_iter().for_each(|server| pool.moved(cx, server)));
        self.carry_out();
    }

    /// Reads the configuration again, whole; of one that is bad nothing is taken. Discovery's address,
    /// settings and limits change at once, in all places; the rest with a restart.
    fn reload(&mut self) {
        let new = match config::load(config::environment, self.options.as_deref())
            .and_then(|new| self.config.succeeds(new))
        {
            Ok(new) => new,
            Err(message) => {
                self.core.stats.load_errors += 1;
                return warn!(event = "reload-failed", error = %Quoted(message));
            }
        };
        self.core.stats.loads += 1;
        let rest = self.config.differs(&new).join(",");
        let classes = new.site.class_names.join(",");
        info!(event = "reloaded", discovery = %new.discovery, classes, "needs-restart" = rest);
        // Requests that are open keep the deadlines that they came with.
        self.longest_deadline = longest_deadline(&new.site).max(longest_deadline(&self.config.site));
        let (for_clients, for_databases) = places(new.sockets, &self.twin);
        self.core.settings(self.now, &new.site);
        self.with(|clients, pool, agent, cx| {
            pool.settings(&new.site);
            pool.limit(cx, for_databases);
            clients.limit(cx, for_clients);
            agent.moved(cx, new.discovery);
        });
        let Config { name, listen, operator, inherited, .. } = &self.config;
        let (name, listen, operator, inherited) = (name.clone(), *listen, *operator, *inherited);
        self.config = Config { name, listen, operator, inherited, ..new };
        self.carry_out();
    }

    fn stop(&mut self) {
        if !std::mem::replace(&mut self.stopping, true) {
            info!(event = "stopping", open = self.core.open_requests());
            let linger = if self.config.inherited.is_some() {
                self.with(|clients, _, _, cx| clients.hand_over(cx));
                HANDOVER
            } else {
                LINGER
            };
            self.timers.set(self.now + linger, Due::Leave);
            self.timers.set(self.now + linger + self.longest_deadline + LAST_CALL, Due::Exit);
        }
    }
}
