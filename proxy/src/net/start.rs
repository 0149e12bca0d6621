//! Starts the event loop. Opens its listeners and connections, and starts each subsystem that the options enable.

use super::admin::AdminListener;
use super::balancers::HealthReporting;
use super::checks::HealthCheckServer;
use super::clients::{self, Clients};
use super::connection_limits::ConnectionLimits;
use super::discovery_connection::DiscoveryConnection;
use super::error::{EventLoopError, RegisteredSource};
use super::event_loop_context::EventLoopContext;
use super::gossip::StateTransfer;
use super::pool::Pool;
use super::process_handover::ProcessHandover;
use super::reload::{log_settings_warnings, longest_client_timeout};
use super::sources::Source;
use super::timer_events::TimerEvent;
use super::timers::{Clock, Timers};
use super::{EventLoop, PERIODIC_TASK_INTERVAL_MICROS, listener, registration};
use crate::config::Config;
use crate::core::Core;
use crate::discovery::EndpointUpdate;
use crate::memory::MemoryBudget;
use crate::observe::shared;
use crate::peer_state::PeerStateObserver;
use crate::startup_retry::StartupRetry;
use birchreach::Micros;
use mio::{Interest, Poll, Registry};
use signal_hook_mio::v1_0::Signals;
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing::info;

/// The maximum number of bytes that one read takes from a socket.
const SCRATCH_BYTES: usize = 64 << 10;

/// How long a process that replaces another one waits for the report of what that one knows, which earlier releases do
/// not send. Meanwhile the predecessor accepts clients.
const PREDECESSOR_WAIT_MICROS: Micros = 1_000_000;

/// Connects to the predecessor of this process, if there is one, and listens for a successor. Does neither if this proxy
/// does not share its listener.
fn open_handover(
    poll: &Poll,
    address: SocketAddr,
    shared_listener: bool,
    retry: StartupRetry,
) -> ProcessHandover {
    if shared_listener {
        ProcessHandover::connect_and_listen(poll.registry(), address, retry)
    } else {
        ProcessHandover::default()
    }
}

/// Registers the source of signals with the poll.
fn register_signals(registry: &Registry, signals: &mut Signals) -> Result<(), EventLoopError> {
    let registered =
        registration::register_once(registry, signals, Source::Signals.token(), Interest::READABLE);
    registered.map_err(|error| EventLoopError::Register { source: RegisteredSource::Signals, error })
}

impl EventLoop {
    /// Creates the poll, opens the listeners, and starts the subsystems. Fails if a listener or an event source cannot
    /// be opened.
    pub(super) fn start(
        mut config: Config,
        options: Option<PathBuf>,
        signals: &mut Signals,
        retry: StartupRetry,
    ) -> Result<EventLoop, EventLoopError> {
        let poll = retry.run("poll", || Poll::new().map_err(EventLoopError::OpenPoll))?;
        retry.run("signals", || register_signals(poll.registry(), signals))?;
        let listener = listener::open(config.listen_address, config.inherited_descriptor, retry)?;
        let address = retry
            .run("listener-address", || listener.local_addr().map_err(EventLoopError::ListenerAddress))?;
        let known_endpoints = config.known_endpoints.take();
        let known_revision = known_endpoints.as_ref().map(|update| update.revision);
        let mut event_loop =
            EventLoop::open(poll, listener, address, known_revision, config, options, retry)?;
        event_loop.log_started(address);
        event_loop.start_subsystems(known_endpoints, retry)?;
        Ok(event_loop)
    }

    /// Opens the listener for operators, and creates the subsystems that always exist.
    fn open(
        poll: Poll,
        mut listener: mio::net::TcpListener,
        address: SocketAddr,
        known_revision: Option<u64>,
        config: Config,
        options: Option<PathBuf>,
        retry: StartupRetry,
    ) -> Result<EventLoop, EventLoopError> {
        let clock = Clock::new();
        let now = clock.now();
        let admin = retry.run("operators", || AdminListener::new(poll.registry(), config.admin_address))?;
        retry.run("clients", || clients::register_listener(poll.registry(), &mut listener))?;
        // Only a proxy that shares its listener can run as two processes.
        let shared_listener = config.inherited_descriptor.is_some();
        let mut handover = open_handover(&poll, address, shared_listener, retry);
        let longest_client_timeout = longest_client_timeout(&config.deployment);
        handover.set_longest_client_timeout(longest_client_timeout);
        let limits = ConnectionLimits::new(&config, &handover);
        let scratch = vec![0; SCRATCH_BYTES];
        let memory = MemoryBudget::new(config.memory_limit, limits.counts());
        let core = Core::new(&config.deployment, config.seed, now);
        let (settings, seed) = (&config.deployment.routing, config.seed);
        let clients = Clients::new(listener, limits.clients);
        Ok(EventLoop {
            context: EventLoopContext {
                clock,
                now,
                waited_for_events: false,
                poll,
                timers: Timers::new(),
                core,
                memory,
                scratch,
            },
            clients,
            pool: Pool::new(&config.deployment, limits.databases),
            discovery: DiscoveryConnection::new(config.discovery_address, known_revision, settings, seed),
            admin,
            checks: HealthCheckServer::new(shared_listener),
            gossip: None,
            fleet: None,
            background: None,
            health: HealthReporting::default(),
            handover,
            longest_client_timeout,
            config,
            options,
            reload_tries: 0,
            stopping: false,
            client_shutdown_scheduled: false,
            exit_by: 0,
            clients_closed: false,
        })
    }

    /// Logs the addresses of this process, and the warnings about the settings.
    fn log_started(&self, address: SocketAddr) {
        let Config { name, discovery_address, .. } = &self.config;
        let operator = self.admin.address().map(tracing::field::display);
        info!(event = "started", name, listen = %address, discovery = %discovery_address, operator);
        log_settings_warnings(&self.config);
    }

    /// Starts the subsystems, including those that the options enable. Applies the endpoint list that is already known.
    fn start_subsystems(
        &mut self,
        known_endpoints: Option<EndpointUpdate>,
        retry: StartupRetry,
    ) -> Result<(), EventLoopError> {
        let started_at = self.context.now;
        retry.run("health-checks", || self.start_health())?;
        retry.run("peer-state", || self.start_gossip())?;
        retry.run("fleet", || self.start_fleet())?;
        self.configure_background();
        if let Some(update) = known_endpoints {
            self.update_endpoints(EndpointUpdate { complete: true, ..update });
        }
        self.advance_gossip();
        if self.handover.process_count() > 1 {
            info!(event = "predecessor-connected");
        }
        self.apply_process_count();
        self.handover.announce_session_writes(&mut self.context);
        self.clients.set_write_admission(self.handover.write_admission(started_at));
        if self.handover.awaits_predecessor() {
            self.clients.set_awaiting_predecessor(true);
            self.context.timers.set(started_at + PREDECESSOR_WAIT_MICROS, TimerEvent::PredecessorWaitEnded);
        }
        self.context.timers.set(started_at + PERIODIC_TASK_INTERVAL_MICROS, TimerEvent::PeriodicTasks);
        self.discovery.start(&mut self.context);
        Ok(())
    }

    /// Starts the state transfer between this proxy and other proxies, if the options enable it.
    fn start_gossip(&mut self) -> Result<(), EventLoopError> {
        let (Some(options), Some(keys)) = (&self.config.options.peer_state, &self.config.gossip_keys) else {
            return Ok(());
        };
        // Each process has its own observer id, so that observations of its predecessor count as those of another
        // observer.
        let mut observer = [0; 8];
        getrandom::fill(&mut observer)?;
        let peer_state = shared(PeerStateObserver::new(u64::from_be_bytes(observer)));
        let state_transfer = StateTransfer::new(
            self.context.poll.registry(),
            options,
            keys.clone(),
            peer_state.clone(),
            self.config.seed,
            self.context.now,
        )?;
        self.context.core.subscribe(self.context.now, peer_state);
        self.gossip.get_or_insert_default().set_state_transfer(state_transfer);
        Ok(())
    }
}
