//! The loop: sockets that are ready feed the machines, due timers fire, what the core commands is
//! done, and what waits is written. One thread, one clock.

mod admin;
mod agent;
mod background;
mod balancers;
mod checks;
mod clients;
mod due;
mod event_loop_context;
mod fleet;
mod gossip;
mod leaving;
mod listener;
mod pause;
mod places;
mod pool;
mod reload;
mod sources;
mod stream;
mod timers;
mod turn;
mod twin;

use crate::config::Config;
use crate::core::Core;
use crate::discovery::Update;
use crate::observe::shared;
use crate::peer_knowledge::PeerKnowledge;
use admin::AdminListener;
use agent::Agent;
use background::Background;
use balancers::Balancers;
use birchreach::Micros;
use checks::Checks;
use clients::Clients;
pub use due::Due;
use event_loop_context::EventLoopContext;
use fleet::Fellows;
use gossip::{Gossip, Lessons};
use mio::{Events, Poll};
use places::{longest_deadline, places, reserve};
pub use pool::Done;
use pool::{Pool, Work};
use reload::tell_doubts;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use sources::Source;
use std::path::PathBuf;
use timers::{Clock, Timers};
use tracing::info;
use twin::Twin;

/// What is ready and taken in one turn, at most: a request costs some 50 us, and balancers wait for a turn's end.
const EVENTS: usize = 1024;
const CHECKED_EVENTS: usize = 128;
const SWEEP: Micros = 250_000;

/// The connections' owners, lent out side by side.
struct Parts<'a> {
    clients: &'a mut Clients,
    pool: &'a mut Pool,
    agent: &'a mut Agent,
    admin: &'a mut AdminListener,
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
    admin: AdminListener,
    checks: Checks,
    gossip: Option<Gossip>,
    fellows: Option<Fellows>,
    background: Option<Box<Background>>,
    health: Balancers,
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

/// Serves until told to stop.
pub fn run(mut config: Config, options: Option<PathBuf>, mut signals: Signals) -> Result<(), String> {
    let poll = Poll::new().map_err(|e| format!("no poll: {e}"))?;
    let watched = poll.registry().register(&mut signals, Source::Signals.token(), mio::Interest::READABLE);
    watched.map_err(|e| format!("watching signals: {e}"))?;
    let clock = Clock::new();
    let now = clock.now();
    let listener = listener::open(config.listen, config.inherited)?;
    let listen = listener.local_addr().map_err(|e| format!("the listener: {e}"))?;
    let admin = AdminListener::new(poll.registry(), config.operator)?;
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
            &config.site.routing,
            config.seed,
        ),
        admin,
        checks: Checks::new(shared),
        gossip: None,
        fellows: None,
        background: None,
        health: Balancers::default(),
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
    let operator = proxy.admin.address().map(tracing::field::display);
    info!(event = "started", name, %listen, %discovery, operator);
    tell_doubts(&proxy.config);
    proxy.start_health()?;
    proxy.start_gossip()?;
    proxy.start_fleet()?;
    proxy.start_background();
    if let Some(known) = known {
        proxy.members(Update { all: true, ..known });
    }
    proxy.with_gossip(Gossip::step);
    if proxy.twin.processes() > 1 {
        info!(event = "predecessor-met");
    }
    proxy.share();
    proxy.timers.set(now + SWEEP, Due::Sweep);
    proxy.with(|_, _, agent, context| agent.start(context));
    let mut events = Events::with_capacity(EVENTS);
    while !(proxy.left && proxy.clients.is_empty()) {
        let most = if proxy.health.watch.is_some() { CHECKED_EVENTS } else { EVENTS };
        if events.capacity() != most {
            events = Events::with_capacity(most);
        }
        proxy.turn(&mut events, &mut signals)?;
    }
    info!(event = "stopped", open = proxy.core.open_request_count());
    Ok(())
}

impl Proxy {
    /// Lends the parts out beside one another.
    fn lend(&mut self) -> (EventLoopContext<'_>, Parts<'_>) {
        let context = EventLoopContext {
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
            admin: &mut self.admin,
            checks: &mut self.checks,
            twin: &mut self.twin,
        };
        (context, parts)
    }

    fn with<T>(
        &mut self,
        act: impl FnOnce(&mut Clients, &mut Pool, &mut Agent, &mut EventLoopContext) -> T,
    ) -> T {
        let (mut context, parts) = self.lend();
        act(parts.clients, parts.pool, parts.agent, &mut context)
    }

    fn with_own(&mut self, act: impl FnOnce(&mut AdminListener, &mut Twin, &mut EventLoopContext)) {
        let (mut context, parts) = self.lend();
        act(parts.admin, parts.twin, &mut context);
    }

    fn with_gossip(&mut self, act: impl FnOnce(&mut Gossip, &mut EventLoopContext)) {
        let Some(mut gossip) = self.gossip.take() else { return };
        let (mut context, parts) = self.lend();
        act(&mut gossip, &mut context);
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
        let peer_knowledge = shared(PeerKnowledge::new(u64::from_be_bytes(observer)));
        self.core.subscribe(self.now, peer_knowledge.clone());
        let (keys, seed) = (keys.clone(), self.config.seed);
        let lessons = Lessons::new(self.poll.registry(), options, keys, peer_knowledge, seed, self.now)?;
        self.gossip.get_or_insert_default().learn(lessons);
        Ok(())
    }

    fn with_checks(&mut self, act: impl FnOnce(&mut Checks, &mut EventLoopContext)) {
        let (mut context, parts) = self.lend();
        act(parts.checks, &mut context);
    }
}
