//! The loop: sockets that are ready feed the machines, due timers fire, what the core commands is
//! done, and what waits is written. One thread, one clock.

mod agent;
mod checks;
mod clients;
mod door;
mod gossip;
mod listener;
mod pool;
mod sources;
mod stream;
mod timers;
mod twin;

use crate::config::{self, Config};
use crate::core::{Attempt, Command, Core, Line};
use crate::discovery::{Pace, Update};
use crate::health::{self, Watch};
use crate::log::Quoted;
use crate::lore::Lore;
use crate::operator::Call;
use agent::Agent;
use birchreach::{Micros, ServerId};
use birchreach_health::{Change, Fact};
use birchreach_settings::Site;
use checks::Checks;
use clients::Clients;
use door::Door;
use gossip::Gossip;
use mio::{Events, Poll};
use pool::{Cx, Pool, Work};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use sources::Source;
use std::io::ErrorKind;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};
use timers::{Clock, Timers};
use tracing::{info, warn};
use twin::Twin;

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
    /// A balancer has had its time to ask for something.
    Asked(usize, u64),
    /// What balancers are told may change; and the load is to be told.
    Health,
    HealthTick,
    /// This process yields to the next; this one may listen for checks, for the one before has yielded.
    Yield,
    Checks,
    /// Another proxy is to be asked, or has had its time; more may be told to one that asks.
    Gossip,
    GossipSend(usize, u64),
    /// Draining has been told for long enough.
    Depart,
    Leave,
    Exit,
}

/// Descriptors kept for the rest: standard streams, poll, signals, listeners, discovery, operators.
const OWN_SOCKETS: usize = 16 + door::MOST;
/// Fewer would serve nobody; the own ones are seldom all in use.
const LEAST_PLACES: usize = 8;
/// Doubts about one configuration that the log is told of; `check` prints all.
const DOUBTS_TOLD: usize = 20;
/// What is ready and taken in one turn, at most: a request costs some 50 us, and balancers wait for a turn's end.
const EVENTS: usize = 1024;
const CHECKED_EVENTS: usize = 128;
const SWEEP: Micros = 250_000;
/// After SIGTERM connections still arrive for so long at the most; they are served.
const NEWCOMERS: Micros = 400_000;
/// What is taken later may not have its whole deadline before SIGKILL: that comes the longest deadline and this after
/// SIGTERM, or later.
const LAST_TAKEN: Micros = 700_000;
/// Idle clients are closed then, well after the one and well before the other.
const LINGER: Micros = NEWCOMERS + (LAST_TAKEN - NEWCOMERS) / 2;
/// Where another process has the listener too, nobody new arrives here: idle clients have this time to ask once
/// more, for an answer and the end behind it cross with no request.
const HANDOVER: Micros = 600_000;
/// Balancers that look in at the clients' door, and ask nothing, hold no place of a client's: so many.
const GUESTS: usize = 16;
/// How often the monitor is told of the load.
const HEALTH_TICK: Micros = 250_000;
/// One process yields to the next so long after it said so: the word has arrived by then, and both act at one instant.
const YIELD: Micros = 20_000;
/// One that replaces another waits so long for that word; an older program does not say it.
const NO_WORD: Micros = 1_000_000;
/// It listens for checks a little before it answers them, so that nobody finds the address closed.
const EARLY: Micros = 10_000;
/// Beyond the longest deadline, clients have gone: nothing more is owed to anyone.
const LAST_CALL: Micros = 1_500_000;

/// How many descriptors clients and databases of this process may hold: all but its own; half of that while
/// another process is there; and while that one is leaving, all but what it still holds.
fn places(sockets: usize, checks: usize, twin: &Twin) -> (usize, usize) {
    let processes = twin.processes() as usize;
    let free = sockets.saturating_sub((OWN_SOCKETS + checks) * processes);
    let free = twin.left_over().map_or(free / processes, |held| free.saturating_sub(held)).max(LEAST_PLACES);
    (free - free / 2, free / 2)
}

/// Descriptors kept for balancers: their checks, and those that look in at the clients' door.
fn reserve(config: &Config) -> usize {
    let gossip = if config.options.knowledge.is_some() { gossip::MOST + 1 } else { 0 };
    config.options.descriptors() + guests(config) + gossip
}

fn guests(config: &Config) -> usize {
    if config.options.health.is_some() { GUESTS } else { 0 }
}

fn longest_deadline(site: &Site) -> Micros {
    site.module.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
}

/// What balancers are told, as far as the loop has to do with it.
#[derive(Default)]
struct HealthTimes {
    /// When the timer that is set goes off, if one is.
    timer: Option<Micros>,
    ticking: bool,
    ticked: Micros,
    /// How long the loop has slept since.
    slept: Micros,
    /// This process has told the next when it yields; it was told when the one before does.
    yielding: bool,
    ready_at: Micros,
    yields_heard: bool,
}

/// The connections' owners, lent out side by side.
struct Parts<'a> {
    clients: &'a mut Clients,
    pool: &'a mut Pool,
    agent: &'a mut Agent,
    door: &'a mut Door,
    checks: &'a mut Checks,
    twin: &'a mut Twin,
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
    checks: Checks,
    gossip: Option<Gossip>,
    health: HealthTimes,
    twin: Twin,
    config: Config,
    /// The options' file, to be read again.
    options: Option<PathBuf>,
    longest_deadline: Micros,
    stopping: bool,
    departed: bool,
    left: bool,
}

/// From here on signals wait for the loop instead of ending the process.
pub fn signals() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("no signals: {e}"))
}

/// What the settings are likely not to mean, a line each.
fn tell_doubts(config: &Config) {
    for doubt in config.doubts.iter().take(DOUBTS_TOLD) {
        warn!(event = "settings-doubt", about = %Quoted(doubt));
    }
}

/// Serves until told to stop.
pub fn run(mut config: Config, options: Option<PathBuf>, mut signals: Signals) -> Result<(), String> {
    let poll = Poll::new().map_err(|e| format!("no poll: {e}"))?;
    let watched = poll.registry().register(&mut signals, Source::Signals.token(), mio::Interest::READABLE);
    watched.map_err(|e| format!("watching signals: {e}"))?;
    let clock = Clock::new();
    let now = clock.now();
    let listener = listener::open(config.listen, config.inherited)?;
    let listen = listener.local_addr().map_err(|e| format!("the listener: {e}"))?;
    let door = Door::new(poll.registry(), config.operator)?;
    // Only one that shares its listener can have another process beside it.
    let shared = config.inherited.is_some();
    let twin = if shared { Twin::meet(poll.registry(), listen) } else { Twin::default() };
    let reserve = reserve(&config);
    let (for_clients, for_databases) = places(config.sockets, reserve, &twin);
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
            Pace::new(config.site.module.routers, config.site.module.drain_grace, config.seed),
        ),
        door,
        checks: Checks::new(shared),
        gossip: None,
        health: HealthTimes::default(),
        twin,
        longest_deadline: longest_deadline(&config.site),
        config,
        options,
        stopping: false,
        departed: false,
        left: false,
        poll,
    };
    let Config { name, discovery, .. } = &proxy.config;
    let operator = proxy.door.address().map(tracing::field::display);
    info!(event = "started", name, %listen, %discovery, operator);
    tell_doubts(&proxy.config);
    proxy.start_health()?;
    proxy.start_gossip()?;
    if let Some(known) = known {
        proxy.members(Update { all: true, ..known });
    }
    proxy.with_gossip(Gossip::step);
    if proxy.twin.processes() > 1 {
        info!(event = "elder-met");
    }
    proxy.share();
    proxy.timers.set(now + SWEEP, Due::Sweep);
    proxy.with(|_, _, agent, cx| agent.start(cx));
    let mut events = Events::with_capacity(EVENTS);
    while !(proxy.left && proxy.clients.is_empty()) {
        let most = if proxy.core.watch.is_some() { CHECKED_EVENTS } else { EVENTS };
        if events.capacity() != most {
            events = Events::with_capacity(most);
        }
        proxy.turn(&mut events, &mut signals)?;
    }
    info!(event = "stopped", open = proxy.core.open_requests());
    Ok(())
}

impl Proxy {
    /// Lends the parts out beside one another.
    fn lend(&mut self) -> (Cx<'_>, Parts<'_>) {
        let cx = Cx {
            now: self.now,
            registry: self.poll.registry(),
            timers: &mut self.timers,
            core: &mut self.core,
            scratch: &mut self.scratch,
        };
        let parts = Parts {
            clients: &mut self.clients,
            pool: &mut self.pool,
            agent: &mut self.agent,
            door: &mut self.door,
            checks: &mut self.checks,
            twin: &mut self.twin,
        };
        (cx, parts)
    }

    fn with<T>(&mut self, act: impl FnOnce(&mut Clients, &mut Pool, &mut Agent, &mut Cx) -> T) -> T {
        let (mut cx, parts) = self.lend();
        act(parts.clients, parts.pool, parts.agent, &mut cx)
    }

    fn with_own(&mut self, act: impl FnOnce(&mut Door, &mut Twin, &mut Cx)) {
        let (mut cx, parts) = self.lend();
        act(parts.door, parts.twin, &mut cx);
    }

    fn with_gossip(&mut self, act: impl FnOnce(&mut Gossip, &mut Cx)) {
        let Some(mut gossip) = self.gossip.take() else { return };
        let (mut cx, parts) = self.lend();
        act(&mut gossip, &mut cx);
        parts.clients.learning(!gossip.ready());
        self.gossip = Some(gossip);
        self.carry_out();
    }

    /// Knowledge is asked for and told, where the options say so.
    fn start_gossip(&mut self) -> Result<(), String> {
        let (Some(options), Some(keys)) = (&self.config.options.knowledge, &self.config.keys) else {
            return Ok(());
        };
        // Each process is an observer of its own: what the one before told is hearsay.
        let mut observer = [0; 8];
        getrandom::fill(&mut observer).map_err(|e| format!("no random numbers: {e}"))?;
        self.core.learn(Lore::new(u64::from_be_bytes(observer)));
        let gossip = Gossip::new(self.poll.registry(), options, keys.clone(), self.config.seed, self.now)?;
        self.gossip = Some(gossip);
        Ok(())
    }

    fn with_checks(&mut self, act: impl FnOnce(&mut Checks, &mut Cx)) {
        let (mut cx, parts) = self.lend();
        act(parts.checks, &mut cx);
    }

    fn turn(&mut self, events: &mut Events, signals: &mut Signals) -> Result<(), String> {
        let asleep = self.clock.now();
        let pressing = self.clients.pressing() || self.door.pressing() || self.checks.pressing(asleep);
        let wait = if pressing { Some(std::time::Duration::ZERO) } else { self.timers.wait(asleep) };
        match self.poll.poll(events, wait) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(format!("polling: {e}")),
            _ => {}
        }
        self.now = self.clock.now();
        self.health.slept += if pressing { 0 } else { self.now - asleep };
        for event in events.iter() {
            match Source::of(event.token()) {
                Source::Door => self.door.knock(),
                Source::Operator(key) => self.operator(key),
                source @ (Source::HttpDoor | Source::AgentDoor | Source::GrpcDoor) => {
                    self.checks.knock(source)
                }
                Source::Check(key) => self.with_checks(|checks, cx| checks.ready(cx, key)),
                _ => {}
            }
        }
        self.with_own(|door, _, cx| door.accept(cx));
        self.with_checks(Checks::go_on);
        for event in events.iter() {
            match Source::of(event.token()) {
                source if source.first() => {}
                source @ (Source::Heirs | Source::Elder | Source::Heir) => self.meet(source),
                Source::Listener => self.clients.knock(),
                Source::Signals => {
                    for signal in signals.pending() {
                        match signal {
                            SIGHUP => self.reload(),
                            _ => self.stop(),
                        }
                    }
                }
                Source::Discovery => {
                    if let Some(update) = self.with(|_, _, agent, cx| agent.ready(cx)) {
                        self.members(update);
                    }
                }
                Source::GossipDoor => self.with_gossip(|gossip, cx| {
                    gossip.knock();
                    gossip.step(cx);
                }),
                Source::Gossip(key) => self.with_gossip(|gossip, cx| gossip.ready_link(cx, key)),
                Source::Client(key) => self.with(|clients, _, _, cx| clients.ready(cx, key)),
                Source::Database(key) => self.with(|_, pool, _, cx| pool.ready(cx, key)),
                _ => {}
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
        self.look_at_health();
        Ok(())
    }

    /// Another process of this proxy came, spoke or went.
    fn meet(&mut self, source: Source) {
        self.with_own(|_, twin, cx| match source {
            Source::Heirs => twin.accept(cx),
            link => twin.ready(cx, link),
        });
        self.share();
        self.agree();
    }

    /// What this process may do beside others.
    fn share(&mut self) {
        let (for_clients, for_databases) = self.places();
        let replaced = self.twin.replaced();
        self.core.share(self.now, self.twin.processes());
        let (stopping, guests) = (self.stopping, guests(&self.config));
        self.with(|clients, pool, _, cx| {
            pool.limit(cx, for_databases);
            clients.host(guests);
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
                    Call::Maintenance(on) => match &mut cx.core.watch {
                        // Without balancers there is nothing to be taken out of.
                        None => caller.unknown(),
                        Some(watch) => {
                            watch.monitor.fact(cx.now, Fact::Maintenance(on));
                            caller.yes(if on {
                                "balancers are told maintenance"
                            } else {
                                "maintenance is over"
                            });
                        }
                    },
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
            Due::Module(_) | Due::Leave | Due::Exit | Due::Depart => {}
            Due::Asked(..) | Due::Health | Due::HealthTick | Due::Yield | Due::Checks => {}
            Due::Gossip | Due::GossipSend(..) => {}
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
                let (_, for_databases) = self.places();
                let pressure = self.core.attempts_out() as f64 / for_databases.max(1) as f64;
                self.with_gossip(|gossip, _| gossip.pressed(pressure));
                self.with_checks(Checks::sweep);
                if self.checks.lacks() && !self.health.yielding && self.now >= self.health.ready_at - EARLY {
                    self.with_checks(Checks::reopen);
                }
            }
            Due::Asked(key, serial) => self.with_checks(|checks, cx| checks.asked(cx, key, serial)),
            // The look at the end of the turn does the rest.
            Due::Health => self.health.timer = self.health.timer.filter(|at| *at > self.now),
            Due::HealthTick => self.tell_load(),
            Due::Yield if self.health.yielding => self.with_checks(Checks::stop_listening),
            Due::Checks if self.checks.lacks() => self.with_checks(Checks::reopen),
            Due::Gossip => self.with_gossip(Gossip::step),
            Due::GossipSend(key, serial) => self.with_gossip(|gossip, cx| gossip.go_on(cx, key, serial)),
            Due::Depart => self.depart(),
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
        let mut new = match config::load(config::environment, self.options.as_deref())
            .and_then(|new| self.config.succeeds(new))
        {
            Ok(new) => new,
            Err(message) => {
                self.core.stats.load_errors += 1;
                return warn!(event = "reload-failed", error = %Quoted(message));
            }
        };
        let opened = match self.checks.open(new.options.health.as_ref()) {
            Ok(opened) => opened,
            Err(message) => {
                self.core.stats.load_errors += 1;
                return warn!(event = "reload-failed", error = %Quoted(message));
            }
        };
        self.core.stats.loads += 1;
        let rest = self.config.differs(&new).join(",");
        // Links among proxies wait for a restart, and count as they are until then.
        (new.options.knowledge, new.keys) = (self.config.options.knowledge.clone(), self.config.keys.clone());
        let classes = new.site.class_names.join(",");
        info!(event = "reloaded", discovery = %new.discovery, classes, "needs-restart" = rest);
        tell_doubts(&new);
        // Requests that are open keep the deadlines that they came with.
        self.longest_deadline = longest_deadline(&new.site).max(longest_deadline(&self.config.site));
        let reserve = reserve(&new);
        let (for_clients, for_databases) = places(new.sockets, reserve, &self.twin);
        self.core.settings(self.now, &new.site);
        self.with(|clients, pool, agent, cx| {
            pool.settings(&new.site);
            pool.limit(cx, for_databases);
            clients.host(guests(&new));
            clients.limit(cx, for_clients);
            agent.moved(cx, new.discovery);
        });
        let Config { name, listen, operator, inherited, .. } = &self.config;
        let (name, listen, operator, inherited) = (name.clone(), *listen, *operator, *inherited);
        self.config = Config { name, listen, operator, inherited, ..new };
        self.watch();
        let health = self.config.options.health.clone();
        self.with_checks(|checks, cx| checks.take(cx, health, opened));
        self.carry_out();
    }

    /// Told to stop. Where balancers are told of it, they have a while to go elsewhere first; told again, it leaves.
    fn stop(&mut self) {
        if !std::mem::replace(&mut self.stopping, true) {
            info!(event = "stopping", open = self.core.open_requests());
            if let Some(watch) = &mut self.core.watch {
                watch.monitor.fact(self.now, Fact::Stopping);
            }
            let lead = self.config.options.health.as_ref().map_or(0, |health| health.lead);
            if lead > 0 && !self.twin.replaced() {
                return self.timers.set(self.now + lead, Due::Depart);
            }
        }
        self.depart();
    }

    fn depart(&mut self) {
        if !std::mem::replace(&mut self.departed, true) {
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

    fn places(&self) -> (usize, usize) {
        let reserve = reserve(&self.config);
        places(self.config.sockets, reserve, &self.twin)
    }

    /// Balancers are told, where the options say so.
    fn start_health(&mut self) -> Result<(), String> {
        self.watch();
        let health = self.config.options.health.clone();
        let elder = self.twin.has_elder();
        // The one that this process replaces answers until it yields.
        let opened = self.checks.open(if elder { None } else { health.as_ref() })?;
        self.with_checks(|checks, cx| checks.take(cx, health, opened));
        if elder {
            self.ready_from(self.now + NO_WORD);
        }
        Ok(())
    }

    /// Has a monitor with the settings that are in force, or none.
    fn watch(&mut self) {
        let Some(options) = &self.config.options.health else {
            self.core.watch = None;
            return;
        };
        let settings = health::settings(options, &self.config.site, self.config.seed);
        if options.settings.probes.is_some() && settings.probes.is_none() {
            warn!(event = "health-probes-off", reason = "the settings do not allow probes");
        }
        let timeout = settings.probes.as_ref().map_or(0, |probes| probes.timeout);
        self.pool.check_timeout(timeout);
        match &mut self.core.watch {
            Some(watch) => watch.monitor.settings(self.now, settings),
            None => self.core.watch(self.now, Watch::new(settings, self.now)),
        }
        if !std::mem::replace(&mut self.health.ticking, true) {
            (self.health.ticked, self.health.slept) = (self.now, 0);
            self.timers.set(self.now + HEALTH_TICK, Due::HealthTick);
        }
    }

    /// This process is not to be called ready before then.
    fn ready_from(&mut self, at: Micros) {
        self.health.ready_at = at;
        if let Some(watch) = &mut self.core.watch {
            watch.monitor.fact(self.now, Fact::ReadyAt(at));
        }
        self.checks.not_before(at);
        self.timers.set(at - EARLY, Due::Checks);
    }

    /// One process of this proxy yields to the next at an instant that both know, so that balancers never find both
    /// down, nor both up for new work.
    fn agree(&mut self) {
        if self.core.watch.is_none() {
            return;
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix = i64::try_from(unix.as_micros()).unwrap_or(i64::MAX);
        let replaced = self.twin.replaced();
        if replaced != self.health.yielding {
            self.health.yielding = replaced;
            let at = replaced.then_some(self.now + YIELD);
            if let Some(watch) = &mut self.core.watch {
                watch.monitor.fact(self.now, Fact::YieldAt(at));
            }
            match at {
                Some(at) => {
                    self.with_own(|_, twin, cx| twin.yields(cx, unix + YIELD));
                    self.timers.set(at, Due::Yield);
                }
                None => self.with_checks(Checks::reopen),
            }
        }
        if self.health.ready_at > self.now && !self.health.yields_heard {
            let left = match self.twin.elder_yields() {
                Some(at) => (at - unix).clamp(0, NO_WORD),
                None if self.twin.has_elder() => return,
                None => 0,
            };
            self.health.yields_heard = true;
            self.ready_from(self.now + left);
        }
    }

    /// What this process has to carry: the share of the time that its loop did not sleep, and of the descriptors for
    /// databases that have something out.
    fn tell_load(&mut self) {
        if self.core.watch.is_none() {
            self.health.ticking = false;
            return;
        }
        let span = (self.now - self.health.ticked).max(1);
        let busy = 1.0 - self.health.slept as f64 / span as f64;
        (self.health.ticked, self.health.slept) = (self.now, 0);
        let (for_clients, for_databases) = self.places();
        let out = self.core.attempts_out() as f64 / for_databases.max(1) as f64;
        let held = self.core.look_at_held(self.now);
        let in_progress = self.core.open_requests();
        if let Some(watch) = &mut self.core.watch {
            let pressure = busy.max(out);
            watch.monitor.fact(self.now, Fact::Load { pressure, in_progress, held, room: for_clients });
        }
        self.timers.set(self.now + HEALTH_TICK, Due::HealthTick);
    }

    /// Looks at what balancers are told, if it may have changed; sends the probes that are due.
    fn look_at_health(&mut self) {
        let Some(watch) = &mut self.core.watch else { return };
        if watch.monitor.next_change() <= self.now {
            watch.monitor.step(self.now);
        }
        let next = watch.monitor.next_change();
        let changes = watch.monitor.changes();
        let probes = watch.monitor.probes();
        let changed = !changes.is_empty();
        for change in changes {
            match change {
                Change::State { from, to, reason } => {
                    info!(event = "health", state = to.word(), was = from.word(), reason = reason.word());
                }
                Change::Claim { group, kind, able, reason } => {
                    let (kind, reason) = (kind.word(), reason.word());
                    info!(event = "health-claim", group = group.0, kind, able, reason);
                }
            }
        }
        if changed {
            self.with_checks(Checks::changed);
        }
        if self.health.timer.is_none_or(|at| next < at) {
            self.health.timer = Some(next);
            self.timers.set(next, Due::Health);
        }
        if !probes.is_empty() {
            self.with(|_, pool, _, cx| probes.iter().for_each(|s| pool.check(cx, ServerId(s.0))));
            self.carry_out();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Whoever arrives is taken, and whatever is taken has its whole deadline before the process may be killed, with a
    /// tenth of a second to spare for a loop that shares its core.
    #[test]
    fn what_is_taken_after_sigterm_has_its_deadline_before_the_kill() {
        let spare = 100_000;
        assert!((NEWCOMERS + spare..=LAST_TAKEN - spare).contains(&LINGER), "{LINGER}");
        // With the listener handed over nobody arrives here: only the kill bounds that.
        assert!((0..=LAST_TAKEN - spare).contains(&HANDOVER), "{HANDOVER}");
    }
}
