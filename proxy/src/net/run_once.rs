//! One turn of the event loop. It waits for events, serves operators and balancers first, and serves all other sources
//! in the order of their events. Then it continues unfinished work and handles timers that are due.

use super::EventLoop;
use super::error::EventLoopError;
use super::ids::LinkKey;
use super::sources::Source;
use super::test_hooks::{self, StopPoint};
use crate::log::Quoted;
use crate::system_error::SystemErrorClass;
use birchreach::Micros;
use mio::Events;
use mio::event::Event;
use signal_hook::consts::SIGHUP;
use signal_hook_mio::v1_0::Signals;
use std::io::Error;
use std::time::Duration;
use tracing::warn;

/// The pause after a poll that failed, so that the loop is not busy until the error has passed.
const FAILED_POLL_PAUSE: Duration = Duration::from_millis(1);

/// A poll that takes less time has found its events and not waited for them.
const MIN_WAIT_MICROS: Micros = 20;

/// Waits a moment after a poll that failed, unless a signal interrupted it. Fails if the error does not pass by itself.
fn wait_after_failed_poll(error: Error) -> Result<(), EventLoopError> {
    match SystemErrorClass::of(&error) {
        SystemErrorClass::Interrupted => Ok(()),
        SystemErrorClass::Final => Err(EventLoopError::Poll(error)),
        SystemErrorClass::NoDescriptor | SystemErrorClass::Passing => {
            warn!(event = "poll-failed", error = %Quoted(error));
            std::thread::sleep(FAILED_POLL_PAUSE);
            Ok(())
        }
    }
}

impl EventLoop {
    /// Waits for events or the next timer, and handles all that are due.
    pub(super) fn run_once(
        &mut self,
        events: &mut Events,
        signals: &mut Signals,
    ) -> Result<(), EventLoopError> {
        self.wait_for_events(events)?;
        self.clients.poll_returned();
        self.serve_priority_sources(events);
        for event in events.iter() {
            let source = Source::from_token(event.token());
            if !source.has_priority() {
                self.handle_event(source, event, signals);
            }
            self.execute_commands();
        }
        self.context.memory.check();
        self.continue_connections();
        self.handle_due_timers();
        if self.pool.has_completed_queries() {
            self.run_background();
        }
        self.update_health();
        Ok(())
    }

    /// Waits for events until the next timer is due, and reads the clock. Does not wait if there is unfinished work.
    fn wait_for_events(&mut self, events: &mut Events) -> Result<(), EventLoopError> {
        let waiting_since = self.context.clock.now();
        let has_work = self.has_unfinished_work(waiting_since);
        let timeout =
            if has_work { Some(Duration::ZERO) } else { self.context.timers.time_until_next(waiting_since) };
        if let Err(error) = self.context.poll.poll(events, timeout) {
            wait_after_failed_poll(error)?;
        }
        self.context.now = self.context.clock.now();
        self.context.waited_for_events = self.context.now - waiting_since >= MIN_WAIT_MICROS;
        self.health.idle_time += if has_work { 0 } else { self.context.now - waiting_since };
        Ok(())
    }

    /// Returns whether work is left over from the last turn. The poll does not report such work again.
    fn has_unfinished_work(&self, now: Micros) -> bool {
        self.clients.has_pending_work(&self.context.memory)
            || self.pool.can_continue_deferred_replies(&self.context.memory)
            || self.admin.has_pending_work()
            || self.checks.has_pending_work(now)
    }

    /// Serves the sources that have priority: operators and balancers.
    fn serve_priority_sources(&mut self, events: &Events) {
        for event in events.iter() {
            match Source::from_token(event.token()) {
                Source::AdminListener => self.admin.accept_ready(),
                Source::Admin(key) => self.handle_admin(key),
                source @ (Source::HttpListener | Source::AgentListener | Source::GrpcListener) => {
                    self.checks.listener_ready(source);
                }
                Source::Check(key) => self.checks.serve(&mut self.context, key),
                source @ (Source::HandoverListener | Source::Predecessor | Source::Successor) => {
                    self.handle_handover(source);
                }
                _ => {}
            }
        }
        self.admin.accept(&mut self.context);
        self.checks.continue_work(&mut self.context);
    }

    /// Serves a source that has no priority.
    fn handle_event(&mut self, source: Source, event: &Event, signals: &mut Signals) {
        match source {
            Source::ClientListener => self.clients.listener_ready(),
            Source::Signals => self.handle_signals(signals),
            Source::Discovery => self.handle_discovery(),
            Source::Fleet => self.handle_fleet(),
            Source::GossipListener | Source::MembershipListener => self.accept_links(source),
            Source::Gossip(key) => self.handle_link(key),
            Source::Client(key) => {
                test_hooks::stop_process_at(StopPoint::ClientReady);
                if event.is_read_closed() || event.is_error() {
                    self.clients.peer_closed(key);
                }
                self.clients.handle_ready(&mut self.context, key);
            }
            Source::Database(key) => self.pool.handle_ready(&mut self.context, key),
            // `serve_priority_sources` has served these sources.
            Source::AdminListener
            | Source::Admin(_)
            | Source::HttpListener
            | Source::AgentListener
            | Source::GrpcListener
            | Source::Check(_)
            | Source::HandoverListener
            | Source::Predecessor
            | Source::Successor => {}
        }
    }

    /// Serves the listener for the next process, or the link to another process of this proxy.
    pub(super) fn handle_handover(&mut self, source: Source) {
        match source {
            Source::Predecessor => self.handover.predecessor_ready(&mut self.context),
            Source::Successor => self.handover.successor_ready(&mut self.context),
            _ => self.handover.accept(&mut self.context),
        }
        self.apply_handover_state();
    }

    /// Accepts links of other proxies after the listener became ready.
    fn accept_links(&mut self, listener: Source) {
        if let Some(gossip) = &mut self.gossip {
            gossip.accept_ready(listener);
            self.advance_gossip();
        }
    }

    /// Reads and writes a link to another proxy after it became ready.
    fn handle_link(&mut self, key: LinkKey) {
        if let Some(gossip) = &mut self.gossip {
            gossip.process_link(&mut self.context, key);
            self.apply_gossip_progress();
        }
    }

    /// Handles pending signals. SIGHUP reloads the configuration. The other signals begin a graceful shutdown.
    fn handle_signals(&mut self, signals: &mut Signals) {
        for signal in signals.pending() {
            match signal {
                SIGHUP => self.reload(),
                _ => self.begin_shutdown(),
            }
        }
    }

    /// Reads the connection to discovery, and applies an update of the endpoint list if one has arrived.
    fn handle_discovery(&mut self) {
        if let Some(update) = self.discovery.handle_ready(&mut self.context) {
            self.update_endpoints(update);
        }
    }

    /// Applies the state of the handover after another process of this proxy connected, sent a message or disconnected.
    pub(super) fn apply_handover_state(&mut self) {
        self.apply_process_count();
        self.share_request_ids();
        self.clients.set_awaiting_predecessor(self.handover.awaits_predecessor());
        self.take_over_from_predecessor();
        if let Some(fleet) = &mut self.fleet {
            fleet.set_replaced(&self.context, self.handover.is_replaced());
            self.apply_fleet_changes();
        }
        self.negotiate_handover();
    }

    /// Receives the datagrams of the fleet and applies the changes of membership.
    fn handle_fleet(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.receive_datagrams(self.context.now);
            self.apply_fleet_changes();
        }
    }

    /// Continues the work that was left over for clients. Sheds idle clients if the system had no free descriptor for a
    /// connection to a database or to discovery.
    fn continue_connections(&mut self) {
        self.clients.continue_pending_work(&mut self.context);
        self.pool.continue_deferred_replies(&mut self.context);
        if self.pool.take_descriptors_exhausted() {
            self.clients.shed_to_free_descriptor(&mut self.context);
        }
        if self.discovery.take_descriptors_exhausted() {
            self.clients.shed_to_free_descriptor(&mut self.context);
        }
        self.execute_commands();
    }

    /// Reads the clock again after the events, and handles the timers that are due.
    fn handle_due_timers(&mut self) {
        self.context.now = self.context.clock.now();
        while let Some(due) = self.context.timers.pop_due(self.context.now) {
            self.handle_timer(due);
            self.execute_commands();
        }
    }
}
