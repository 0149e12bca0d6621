//! The event loop. It feeds input from ready sockets to the state machines of the protocols, handles timers that are
//! due, executes the commands of the core, and writes output. It runs on one thread and reads one clock.

mod admin;
mod admin_calls;
mod background;
mod balancers;
mod checks;
mod clients;
mod commands;
mod connection_limits;
mod discovery_connection;
mod error;
mod event_loop_context;
mod fleet;
mod gossip;
mod graceful_shutdown;
mod ids;
mod listener;
mod pool;
mod process_handover;
mod registration;
mod reload;
mod request_exchange;
mod run_once;
mod sources;
mod start;
mod statement_payload;
mod stream;
#[cfg(test)]
mod test_context;
mod test_hooks;
mod timer_dispatch;
mod timer_events;
mod timers;

use crate::config::Config;
use crate::startup_retry::StartupRetry;
use admin::AdminListener;
use background::BackgroundWork;
use balancers::HealthReporting;
use birchreach::Micros;
use checks::HealthCheckServer;
use clients::Clients;
use discovery_connection::DiscoveryConnection;
use error::EventLoopError;
use event_loop_context::EventLoopContext;
use fleet::FleetMembership;
use gossip::Gossip;
use mio::Events;
use pool::Pool;
use process_handover::ProcessHandover;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::path::PathBuf;
use tracing::info;

/// The maximum number of events that one turn of the loop handles.
const EVENTS_PER_TURN: usize = 1024;
/// The same limit while balancers check this proxy. A check waits for the end of a turn, and each request in the turn
/// takes about 50 us.
const EVENTS_PER_TURN_WITH_CHECKS: usize = 128;
/// The interval of the periodic tasks, such as closing connections that have been idle for too long.
const PERIODIC_TASK_INTERVAL_MICROS: Micros = 250_000;

/// The state of the event loop. Each field owns one subsystem. Calls between subsystems go through the loop.
struct EventLoop {
    context: EventLoopContext,
    clients: Clients,
    pool: Pool,
    discovery: DiscoveryConnection,
    admin: AdminListener,
    checks: HealthCheckServer,
    gossip: Option<Gossip>,
    fleet: Option<FleetMembership>,
    background: Option<Box<BackgroundWork>>,
    health: HealthReporting,
    handover: ProcessHandover,
    config: Config,
    /// The path of the options file, which a reload reads again. `None` if the proxy runs without options.
    options: Option<PathBuf>,
    /// The longest time that a client may wait for a response, over all classes of the current and the previous
    /// configuration.
    longest_client_timeout: Micros,
    /// How often the configuration was read since the last signal to read it.
    reload_tries: u32,
    /// A graceful shutdown has begun.
    stopping: bool,
    /// The shutdown of clients is scheduled. Connections still arrive for a while, and idle clients may send another
    /// request until they are closed.
    client_shutdown_scheduled: bool,
    /// When the process exits at the latest. Meaningful once the shutdown of clients is scheduled.
    exit_by: Micros,
    /// Idle clients were closed. The loop ends when the last client disconnects.
    clients_closed: bool,
}

/// Installs the signal handlers. From now on the loop handles these signals, and they no longer end the process.
pub(crate) fn signals() -> Result<Signals, EventLoopError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(EventLoopError::Signals)
}

/// Runs the event loop until a graceful shutdown is complete.
pub(crate) fn run(
    config: Config,
    options: Option<PathBuf>,
    mut signals: Signals,
    retry: StartupRetry,
) -> Result<(), EventLoopError> {
    let mut event_loop = EventLoop::start(config, options, &mut signals, retry)?;
    let mut events = Events::with_capacity(EVENTS_PER_TURN);
    while !event_loop.is_finished() {
        let capacity = event_loop.events_per_turn();
        if events.capacity() != capacity {
            events = Events::with_capacity(capacity);
        }
        event_loop.run_once(&mut events, &mut signals)?;
    }
    event_loop.handover.announce_finished();
    info!(event = "stopped", open = event_loop.context.core.open_request_count());
    Ok(())
}

impl EventLoop {
    /// Returns whether the graceful shutdown is complete.
    fn is_finished(&self) -> bool {
        self.clients_closed && self.clients.is_empty()
    }

    /// Returns the maximum number of events in the next turn.
    fn events_per_turn(&self) -> usize {
        if self.health.observer.is_some() { EVENTS_PER_TURN_WITH_CHECKS } else { EVENTS_PER_TURN }
    }

    /// Advances gossip after its timer expired or another proxy connected.
    fn advance_gossip(&mut self) {
        if let Some(gossip) = &mut self.gossip {
            gossip.advance(&mut self.context);
            self.apply_gossip_progress();
        }
    }

    /// Must follow each call into gossip. Accepts no clients while the start still waits for the state of other
    /// proxies, and executes the commands that the call added to the core.
    fn apply_gossip_progress(&mut self) {
        let Some(gossip) = &self.gossip else { return };
        self.clients.set_awaiting_peer_state(!gossip.is_startup_complete());
        self.execute_commands();
    }
}
