//! The event loop: sockets that are ready feed the protocols' state machines, timers that are due are handled, the core's commands
//! are carried out, and output is written. One thread, one clock.

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
mod reload;
mod run_once;
mod sources;
mod start;
mod statement_payload;
mod stream;
mod test_hooks;
mod timer_dispatch;
mod timer_events;
mod timers;

use crate::config::Config;
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
use timers::Clock;
use tracing::info;

/// The most events in one turn.
const EVENTS_PER_TURN: usize = 1024;
/// The same where balancers check this proxy. They wait for the end of a turn, and a request takes about 50 us.
const EVENTS_PER_TURN_WITH_CHECKS: usize = 128;
/// How often connections are checked for those that have been idle for too long.
const SWEEP_INTERVAL_MICROS: Micros = 250_000;

/// The loop's state. Each field owns its part; calls between the parts go through here.
struct EventLoop {
    clock: Clock,
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
    /// The file of the options, which is read again at a reload.
    options: Option<PathBuf>,
    /// The longest time that a client may wait for a response.
    longest_client_timeout: Micros,
    /// A graceful shutdown has begun.
    stopping: bool,
    /// Connections still arrive for a while, and idle clients may send another request until they are closed.
    listener_closed: bool,
    /// Idle clients were closed: the loop ends with the last client.
    clients_closed: bool,
}

/// Catches signals: from here on they are handled by the loop instead of ending the process.
pub(crate) fn signals() -> Result<Signals, EventLoopError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(EventLoopError::Signals)
}

/// Serves until a graceful shutdown is complete.
pub(crate) fn run(
    config: Config,
    options: Option<PathBuf>,
    mut signals: Signals,
) -> Result<(), EventLoopError> {
    let mut event_loop = EventLoop::start(config, options, &mut signals)?;
    let mut events = Events::with_capacity(EVENTS_PER_TURN);
    while !event_loop.is_finished() {
        let capacity = event_loop.events_per_turn();
        if events.capacity() != capacity {
            events = Events::with_capacity(capacity);
        }
        event_loop.run_once(&mut events, &mut signals)?;
    }
    info!(event = "stopped", open = event_loop.context.core.open_request_count());
    Ok(())
}

impl EventLoop {
    /// Whether the graceful shutdown is complete.
    fn is_finished(&self) -> bool {
        self.clients_closed && self.clients.is_empty()
    }

    /// The most events in the next turn.
    fn events_per_turn(&self) -> usize {
        if self.health.observer.is_some() { EVENTS_PER_TURN_WITH_CHECKS } else { EVENTS_PER_TURN }
    }

    /// Gossip's timer is due, or another proxy connects.
    fn advance_gossip(&mut self) {
        if let Some(gossip) = &mut self.gossip {
            gossip.advance(&mut self.context);
            self.apply_gossip_progress();
        }
    }

    /// Follows each call of gossip: no client is accepted while the start still waits for peers' state, and what the core now
    /// commands is carried out.
    fn apply_gossip_progress(&mut self) {
        let Some(gossip) = &self.gossip else { return };
        self.clients.set_awaiting_peer_state(!gossip.is_startup_complete());
        self.execute_commands();
    }
}
