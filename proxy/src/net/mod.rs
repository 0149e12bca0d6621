//! The loop: sockets that are ready feed the machines, due timers fire, what the core commands is
//! done, and what waits is written. One thread, one clock.

mod admin;
mod admin_calls;
mod background;
mod balancers;
mod checks;
mod clients;
mod commands;
mod connection_limits;
mod database_ids;
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
mod timer_dispatch;
mod timer_events;
mod timers;

use crate::config::Config;
use crate::core::Core;
use crate::discovery::EndpointUpdate;
use crate::observe::shared;
use crate::peer_state::PeerStateObserver;
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
use pool::Pool;
use process_handover::ProcessHandover;
use reload::log_settings_warnings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use sources::Source;
use std::path::PathBuf;
use timer_events::TimerEvent;
use timers::{Clock, Timers};
use tracing::info;

/// What is ready and taken in one turn, at most: a request costs some 50 us, and balancers wait for a turn's end.
const EVENTS: usize = 1024;
const CHECKED_EVENTS: usize = 128;
const SWEEP: Micros = 250_000;
/// What is read of a socket at once.
const SCRATCH_BYTES: usize = 64 << 10;

/// The loop's state: each field owns its part, and the calls between them go through here.
struct EventLoop {
    poll: Poll,
    clock: Clock,
    context: EventLoopContext,
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
    let mut event_loop = EventLoop {
        clock,
        context: EventLoopContext {
            now,
            registry: poll.registry().try_clone().map_err(|e| format!("no poll: {e}"))?,
            timers: Timers::new(),
            core: Core::new(&config.site, config.seed, now),
            scratch: vec![0; SCRATCH_BYTES],
        },
        clients,
        pool: Pool::new(&config.site, for_databases),
        discovery: DiscoveryConnection::new(
            config.discovery,
            known.as_ref().map(|known| known.revision),
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
    let Config { name, discovery, .. } = &event_loop.config;
    let operator = event_loop.admin.address().map(tracing::field::display);
    info!(event = "started", name, %listen, %discovery, operator);
    log_settings_warnings(&event_loop.config);
    event_loop.start_health()?;
    event_loop.start_gossip()?;
    event_loop.start_fleet()?;
    event_loop.start_background();
    if let Some(known) = known {
        event_loop.update_endpoints(EndpointUpdate { complete: true, ..known });
    }
    event_loop.step_gossip();
    if event_loop.handover.process_count() > 1 {
        info!(event = "predecessor-connected");
    }
    event_loop.apply_process_count();
    event_loop.context.timers.set(now + SWEEP, TimerEvent::Sweep);
    event_loop.discovery.start(&mut event_loop.context);
    let mut events = Events::with_capacity(EVENTS);
    while !(event_loop.clients_closed && event_loop.clients.is_empty()) {
        let most = if event_loop.health.watch.is_some() { CHECKED_EVENTS } else { EVENTS };
        if events.capacity() != most {
            events = Events::with_capacity(most);
        }
        event_loop.run_once(&mut events, &mut signals)?;
    }
    info!(event = "stopped", open = event_loop.context.core.open_request_count());
    Ok(())
}

impl EventLoop {
    /// Gossip's timer is due, or another proxy wants to connect.
    fn step_gossip(&mut self) {
        if let Some(gossip) = &mut self.gossip {
            gossip.step(&mut self.context);
            self.after_gossip();
        }
    }

    /// Follows each call of gossip: clients wait while it still learns, and what the core now commands is carried out.
    fn after_gossip(&mut self) {
        let Some(gossip) = &self.gossip else { return };
        self.clients.set_awaiting_peer_state(!gossip.is_startup_complete());
        self.carry_out();
    }

    /// State is requested from and sent to other proxies, where the options say so.
    fn start_gossip(&mut self) -> Result<(), String> {
        let (Some(options), Some(keys)) = (&self.config.options.knowledge, &self.config.keys) else {
            return Ok(());
        };
        // Each process observes for itself: what its predecessor observed reaches it at second hand.
        let mut observer = [0; 8];
        getrandom::fill(&mut observer).map_err(|e| format!("no random numbers: {e}"))?;
        let peer_state = shared(PeerStateObserver::new(u64::from_be_bytes(observer)));
        self.context.core.subscribe(self.context.now, peer_state.clone());
        let state_transfer = StateTransfer::new(
            &self.context.registry,
            options,
            keys.clone(),
            peer_state,
            self.config.seed,
            self.context.now,
        )?;
        self.gossip.get_or_insert_default().set_state_transfer(state_transfer);
        Ok(())
    }
}
