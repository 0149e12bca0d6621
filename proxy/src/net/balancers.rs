//! Health reporting in the event loop: the monitor's timers and probes, the load reports, and the time at which one
//! process of this proxy hands over to the next.

use super::EventLoop;
use super::error::EventLoopError;
use super::timer_events::TimerEvent;
use crate::health::{self, HealthObserver, HealthUpdate};
use crate::observe::{Observer, Shared, shared};
use birchreach::Micros;
use birchreach_health::{Change, HealthEvent};
use std::cell::RefCell;
use std::rc::Rc;
use tracing::{info, warn};

/// The interval between load reports to the monitor.
const LOAD_INTERVAL_MICROS: Micros = 250_000;
/// The time between the announcement of a handover and the handover itself. The announcement arrives within it, so that
/// both processes act at the same time even if one of them is delayed by 150 ms.
const HANDOVER_DELAY_MICROS: Micros = 300_000;
/// A process that replaces another one waits this long for the announcement, which earlier releases do not send.
const ANNOUNCEMENT_TIMEOUT_MICROS: Micros = 1_000_000;
/// A process that replaces another one opens its check listeners this long before it answers checks. No balancer then
/// finds the address closed, even if the process is delayed by 150 ms.
const LISTEN_LEAD_TIME_MICROS: Micros = 250_000;
/// The ready time of a process that does not know yet when it takes over.
const UNKNOWN_READY_TIME: Micros = Micros::MAX / 4;

/// The state of health reporting in the event loop.
#[derive(Default)]
pub(super) struct HealthReporting {
    /// Holds the verdict, and is subscribed to the core's events. `None` if the options have no health element.
    pub observer: Option<Shared<HealthObserver>>,
    /// The time for which the timer for the monitor's next update is set. `None` if it is not set.
    pub update_timer: Option<Micros>,
    load_timer_set: bool,
    load_reported_at: Micros,
    /// How long the event loop has slept since the last load report.
    pub idle_time: Micros,
    /// Whether this process has announced its handover to the next one.
    pub handing_over: bool,
    /// This process is not ready before this time.
    ready_at: Micros,
    /// Whether it is known when the predecessor hands over.
    handover_time_known: bool,
}

impl EventLoop {
    /// Starts health reporting, if the options have a health element.
    pub(super) fn start_health(&mut self) -> Result<(), EventLoopError> {
        self.configure_health();
        let options = self.config.options.health.clone();
        let has_predecessor = self.handover.has_predecessor();
        // The predecessor answers balancers until the handover.
        let opened = self.checks.open(if has_predecessor { None } else { options.as_ref() })?;
        self.checks.apply_options(&mut self.context, options, opened);
        if has_predecessor {
            self.set_ready_at(UNKNOWN_READY_TIME);
        }
        Ok(())
    }

    /// Announces to the predecessor, if there is one, that this process serves, once this process has an endpoint list and
    /// knows what the predecessor knows. The predecessor then hands over its clients and balancers.
    pub(super) fn take_over_from_predecessor(&mut self) {
        if self.handover.awaits_predecessor() || !self.context.core.lists_servers() {
            return;
        }
        if self.handover.announce_serving(&mut self.context) {
            self.set_ready_at(self.context.now + ANNOUNCEMENT_TIMEOUT_MICROS);
            self.apply_handover_state();
        }
    }

    /// Starts, reconfigures or stops the monitor according to the current configuration.
    pub(super) fn configure_health(&mut self) {
        let Some(options) = &self.config.options.health else {
            if let Some(observer) = self.health.observer.take() {
                self.context.core.unsubscribe(&(observer as Rc<RefCell<dyn Observer>>));
            }
            self.checks.observer = None;
            return;
        };
        let now = self.context.now;
        let settings = health::monitor_settings(options, &self.config.deployment, self.config.seed);
        if options.settings.probes.is_some() && settings.probes.is_none() {
            warn!(event = "health-probes-off", reason = "the settings do not allow probes");
        }
        let probe_timeout = settings.probes.as_ref().map_or(0, |probes| probes.timeout);
        self.pool.set_monitor_check_timeout(probe_timeout);
        match &self.health.observer {
            Some(observer) => observer.borrow_mut().monitor.apply_settings(now, settings),
            None => {
                let observer = shared(HealthObserver::new(settings, now));
                self.context.core.subscribe(now, observer.clone());
                self.checks.observer = Some(observer.clone());
                self.health.observer = Some(observer);
            }
        }
        if !std::mem::replace(&mut self.health.load_timer_set, true) {
            self.health.load_reported_at = now;
            self.health.idle_time = 0;
            self.context.timers.set(now + LOAD_INTERVAL_MICROS, TimerEvent::HealthLoadReport);
        }
    }

    /// Sets the time from which this process is ready, and the timer that opens its check listeners shortly before.
    fn set_ready_at(&mut self, at: Micros) {
        self.health.ready_at = at;
        self.record_health_event(HealthEvent::ReadyAt(at));
        self.checks.set_accept_start(at);
        self.context.timers.set(at - LISTEN_LEAD_TIME_MICROS, TimerEvent::OpenCheckListeners);
    }

    /// Agrees with the other process of this proxy on the time of the handover, so that balancers never find both
    /// processes unavailable or both available.
    pub(super) fn negotiate_handover(&mut self) {
        if self.health.observer.is_some() {
            self.announce_handover();
        }
        self.update_ready_time();
    }

    /// Announces the handover to a process that replaces this one. Revokes the handover if that process has
    /// disconnected.
    fn announce_handover(&mut self) {
        let replaced = self.handover.is_replaced();
        if replaced == self.health.handing_over {
            return;
        }
        self.health.handing_over = replaced;
        let handover_at = replaced.then(|| self.context.clock.now() + HANDOVER_DELAY_MICROS);
        self.record_health_event(HealthEvent::HandoverAt(handover_at));
        match handover_at {
            Some(at) => {
                let unix_at = at + self.context.clock.unix_offset();
                self.handover.announce_stop_accepting(&mut self.context, unix_at);
                self.context.timers.set(at, TimerEvent::StopAcceptingChecks);
            }
            None => self.checks.reopen_listeners(&mut self.context),
        }
    }

    /// Makes this process ready at the time that the predecessor has announced, or immediately if the predecessor has
    /// disconnected.
    fn update_ready_time(&mut self) {
        let now = self.context.now;
        if self.health.ready_at <= now || self.health.handover_time_known {
            return;
        }
        let ready_at = match self.handover.predecessor_stops_accepting_at() {
            Some(unix_at) => {
                let at = unix_at - self.context.clock.unix_offset();
                at.clamp(now, now + ANNOUNCEMENT_TIMEOUT_MICROS)
            }
            None if self.handover.has_predecessor() => return,
            None => now,
        };
        self.health.handover_time_known = true;
        self.set_ready_at(ready_at);
    }

    /// Reports the load to the monitor. The pressure is the greater of two fractions: the share of time in which the
    /// event loop did not sleep, and the share of database connections that have an attempt in flight.
    pub(super) fn report_load(&mut self) {
        if self.health.observer.is_none() {
            self.health.load_timer_set = false;
            return;
        }
        let now = self.context.now;
        let elapsed = (now - self.health.load_reported_at).max(1);
        let busy = 1.0 - self.health.idle_time as f64 / elapsed as f64;
        self.health.load_reported_at = now;
        self.health.idle_time = 0;
        let queued = self.context.core.report_queued_requests(now);
        let in_progress = self.context.core.open_request_count();
        self.record_health_event(HealthEvent::Load {
            pressure: busy.max(self.database_connections_in_use()),
            in_progress,
            queued,
            client_capacity: self.connection_limits().clients,
        });
        self.context.timers.set(now + LOAD_INTERVAL_MICROS, TimerEvent::HealthLoadReport);
    }

    /// Updates the verdict if that is due, sends its changes to watches, and sends the probes that are due.
    pub(super) fn update_health(&mut self) {
        let Some(observer) = &self.health.observer else { return };
        let HealthUpdate { next_update_at, changes, probes } = observer.borrow_mut().update(self.context.now);
        if !changes.is_empty() {
            changes.iter().for_each(log_change);
            self.checks.notify_watches(&mut self.context);
        }
        if self.health.update_timer.is_none_or(|at| next_update_at < at) {
            self.health.update_timer = Some(next_update_at);
            self.context.timers.set(next_update_at, TimerEvent::HealthUpdate);
        }
        if !probes.is_empty() {
            for server in probes {
                self.pool.start_monitor_check(&mut self.context, server);
            }
            self.execute_commands();
        }
    }

    /// Reports an event to the monitor that the core does not emit.
    pub(super) fn record_health_event(&self, event: HealthEvent) {
        if let Some(observer) = &self.health.observer {
            observer.borrow_mut().monitor.handle_event(self.context.now, event);
        }
    }

    /// Closes inactive check connections, and opens check listeners that should be open but are not.
    pub(super) fn reopen_check_listeners(&mut self) {
        self.checks.close_inactive(&mut self.context);
        let may_listen = self.context.now >= self.health.ready_at - LISTEN_LEAD_TIME_MICROS;
        if self.checks.is_missing_listener() && !self.health.handing_over && may_listen {
            self.checks.reopen_listeners(&mut self.context);
        }
    }
}

fn log_change(change: &Change) {
    match *change {
        Change::State { from, to, reason } => {
            let (state, was, reason) = (to.as_str(), from.as_str(), reason.as_str());
            info!(event = "health", state, was, reason);
        }
        Change::Capability { group, operation, available, reason } => {
            let (kind, able, reason) = (operation.as_str(), available, reason.as_str());
            info!(event = "health-claim", group = group.0, kind, able, reason);
        }
    }
}
