//! The loop: sockets that are ready feed the machines, due timers fire, what the core commands is
//! done, and what waits is written. One thread, one clock.

mod admin;
mod background;
mod balancers;
mod checks;
mod clients;
mod connection_limits;
mod discovery_connection;
mod event_loop_context;
mod fleet;
mod gossip;
mod graceful_shutdown;
mod listener;
mod pool;
mod process_handover;
mod reload;
mod run_once;
mod sources;
mod statement_payload;
mod stream;
mod test_hooks;
mod timer_events;
mod timers;

use crate::config::Config;
use crate::core::Core;
use crate::discovery::Update;
use crate::observe::shared;
use crate::peer_knowledge::PeerKnowledge;
use admin::AdminListener;
use background::Background;
use balancers::Balancers;
use birchreach::Micros;
use checks::Checks;
use clients::Clients;
use connection_limits::{longest_deadline, places, reserve};
use discovery_connection::DiscoveryConnection;
use event_loop_context::EventLoopContext;
use fleet::FleetMembership;
use gossip::{Gossip, StateTransfer};
use mio::{Events, Poll};
pub use pool::CompletedQuery;
use pool::Pool;
use process_handover::ProcessHandover;
use reload::log_settings_warnings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use sources::Source;
use statement_payload::StatementPayload;
use std::path::PathBuf;
pub use timer_events::TimerEvent;
use timers::{Clock, Timers};
use tracing::info;

/// What is ready and taken in one turn, at most: a request costs some 50 us, and balancers wait for a turn's end.
const EVENTS: usize = 1024;
const CHECKED_EVENTS: usize = 128;
const SWEEP: Micros = 250_000;

/// The connections' owners, lent out side by side.
struct Parts<'a> {
    clients: &'a mut Clients,
    pool: &'a mut Pool,
    discovery: &'a mut DiscoveryConnection,
    admin: &'a mut AdminListener,
    checks: &'a mut Checks,
    handover: &'a mut ProcessHandover,
}

struct Proxy {
    poll: Poll,
    clock: Clock,
    now: Micros,
    timers: Timers<TimerEvent>,
    core: Core<StatementPayload>,
    scratch: Vec<u8>,
    clients: Clients,
    pool: Pool,
    discovery: DiscoveryConnection,
    admin: AdminListener,
    checks: Checks,
    gossip: Option<Gossip>,
    fleet: Option<FleetMembership>,
    background: Option<Box<Background>>,
    health: Balancers,
    handover: ProcessHandover,
    config: Config,
    /// The options' file, to be read again.
    options: Option<PathBuf>,
    longest_deadline: Micros,
    stopping: bool,
    listener_closed: bool,
    clients_closed: bool,
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
    let twin = if shared {
        ProcessHandover::connect_or_listen(poll.registry(), listen)
    } else {
        ProcessHandover::default()
    };
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
        discovery: DiscoveryConnection::new(
            config.discovery,
            known.as_ref().map(|known| known.rev),
            &config.site.routing,
            config.seed,
        ),
        admin,
        checks: Checks::new(shared),
        gossip: None,
        fleet: None,
        background: None,
        health: Balancers::default(),
        handover: twin,
        longest_deadline: longest_deadline(&config.site),
        config,
        options,
        stopping: false,
        listener_closed: false,
        clients_closed: false,
        poll,
    };
    let Config { name, discovery, .. } = &proxy.config;
    let operator = proxy.admin.address().map(tracing::field::display);
    info!(event = "started", name, %listen, %discovery, operator);
    log_settings_warnings(&proxy.config);
    proxy.start_health()?;
    proxy.start_gossip()?;
    proxy.start_fleet()?;
    proxy.start_background();
    if let Some(known) = known {
        proxy.members(Update { all: true, ..known });
    }
    proxy.with_gossip(Gossip::step);
    if proxy.handover.process_count() > 1 {
        info!(event = "predecessor-met");
    }
    proxy.apply_process_count();
    proxy.timers.set(now + SWEEP, TimerEvent::Sweep);
    proxy.with(|_, _, agent, context| agent.start(context));
    let mut events = Events::with_capacity(EVENTS);
    while !(proxy.clients_closed && proxy.clients.is_empty()) {
        let most = if proxy.health.watch.is_some() { CHECKED_EVENTS } else { EVENTS };
        if events.capacity() != most {
            events = Events::with_capacity(most);
        }
        proxy.run_once(&mut events, &mut signals)?;
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
            discovery: &mut self.discovery,
            admin: &mut self.admin,
            checks: &mut self.checks,
            handover: &mut self.handover,
        };
        (context, parts)
    }

    fn with<T>(
        &mut self,
        act: impl FnOnce(&mut Clients, &mut Pool, &mut DiscoveryConnection, &mut EventLoopContext) -> T,
    ) -> T {
        let (mut context, parts) = self.lend();
        act(parts.clients, parts.pool, parts.discovery, &mut context)
    }

    fn with_own(
        &mut self,
        act: impl FnOnce(&mut AdminListener, &mut ProcessHandover, &mut EventLoopContext),
    ) {
        let (mut context, parts) = self.lend();
        act(parts.admin, parts.handover, &mut context);
    }

    fn with_gossip(&mut self, act: impl FnOnce(&mut Gossip, &mut EventLoopContext)) {
        let Some(mut gossip) = self.gossip.take() else { return };
        let (mut context, parts) = self.lend();
        act(&mut gossip, &mut context);
        parts.clients.set_awaiting_peer_state(!gossip.ready());
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
        let lessons =
            StateTransfer::new(self.poll.registry(), options, keys, peer_knowledge, seed, self.now)?;
        self.gossip.get_or_insert_default().learn(lessons);
        Ok(())
    }

    fn with_checks(&mut self, act: impl FnOnce(&mut Checks, &mut EventLoopContext)) {
        let (mut context, parts) = self.lend();
        act(parts.checks, &mut context);
    }
}
