//! What balancers are told, as far as the loop has to do with it: the monitor's times and probes, the load, and at which instant
//! one process of this proxy yields to the next. The verdict is the monitor's.

use super::EventLoop;
use super::error::EventLoopError;
use super::timer_events::TimerEvent;
use crate::health::{self, Watch};
use crate::observe::{Observer, Shared, shared};
use birchreach::{Micros, ServerId};
use birchreach_health::{Change, HealthEvent};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// How often the monitor is told of the load.
const HEALTH_TICK: Micros = 250_000;
/// One process yields to the next so long after it said so: the word has arrived by then, and both act at one instant.
const YIELD: Micros = 20_000;
/// One that replaces another waits so long for that word; an older program does not say it.
const NO_WORD: Micros = 1_000_000;
/// It listens for checks a little before it answers them, so that nobody finds the address closed.
const EARLY: Micros = 10_000;

/// What balancers are told, as far as the loop has to do with it.
#[derive(Default)]
pub(super) struct Balancers {
    /// What they are told, where they are told anything; it listens to the core.
    pub watch: Option<Shared<Watch>>,
    /// When the timer that is set goes off, if one is.
    pub timer: Option<Micros>,
    pub ticking: bool,
    pub ticked: Micros,
    /// How long the loop has slept since.
    pub slept: Micros,
    /// This process has told the next when it yields; it was told when the one before does.
    pub yielding: bool,
    pub ready_at: Micros,
    pub yields_heard: bool,
}

impl EventLoop {
    /// Balancers are told, where the options say so.
    pub(super) fn start_health(&mut self) -> Result<(), EventLoopError> {
        self.watch();
        let health = self.config.options.health.clone();
        let predecessor = self.handover.has_predecessor();
        // The one that this process replaces answers until it yields.
        let opened = self.checks.open(if predecessor { None } else { health.as_ref() })?;
        self.checks.take(&mut self.context, health, opened);
        if predecessor {
            self.ready_from(self.context.now + NO_WORD);
        }
        Ok(())
    }

    /// Has a monitor with the settings that are in force, or none.
    pub(super) fn watch(&mut self) {
        let Some(options) = &self.config.options.health else {
            if let Some(watch) = self.health.watch.take() {
                self.context.core.unsubscribe(&(watch as Rc<RefCell<dyn Observer>>));
            }
            self.checks.watch = None;
            return;
        };
        let settings = health::settings(options, &self.config.site, self.config.seed);
        if options.settings.probes.is_some() && settings.probes.is_none() {
            warn!(event = "health-probes-off", reason = "the settings do not allow probes");
        }
        let timeout = settings.probes.as_ref().map_or(0, |probes| probes.timeout);
        self.pool.set_monitor_check_timeout(timeout);
        match &self.health.watch {
            Some(watch) => watch.borrow_mut().monitor.apply_settings(self.context.now, settings),
            None => {
                let watch = shared(Watch::new(settings, self.context.now));
                self.context.core.subscribe(self.context.now, watch.clone());
                self.checks.watch = Some(watch.clone());
                self.health.watch = Some(watch);
            }
        }
        if !std::mem::replace(&mut self.health.ticking, true) {
            (self.health.ticked, self.health.slept) = (self.context.now, 0);
            self.context.timers.set(self.context.now + HEALTH_TICK, TimerEvent::HealthTick);
        }
    }

    /// This process is not to be called ready before then.
    fn ready_from(&mut self, at: Micros) {
        self.health.ready_at = at;
        self.record_health_event(HealthEvent::ReadyAt(at));
        self.checks.not_before(at);
        self.context.timers.set(at - EARLY, TimerEvent::OpenCheckListeners);
    }

    /// One process of this proxy yields to the next at an instant that both know, so that balancers never find both
    /// down, nor both up for new work.
    pub(super) fn negotiate_handover(&mut self) {
        if self.health.watch.is_none() {
            return;
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix = i64::try_from(unix.as_micros()).unwrap_or(i64::MAX);
        let replaced = self.handover.is_replaced();
        if replaced != self.health.yielding {
            self.health.yielding = replaced;
            let at = replaced.then_some(self.context.now + YIELD);
            self.record_health_event(HealthEvent::HandoverAt(at));
            match at {
                Some(at) => {
                    self.handover.announce_stop_accepting(&mut self.context, unix + YIELD);
                    self.context.timers.set(at, TimerEvent::StopAcceptingChecks);
                }
                None => self.checks.reopen(&mut self.context),
            }
        }
        if self.health.ready_at > self.context.now && !self.health.yields_heard {
            let left = match self.handover.predecessor_stops_accepting_at() {
                Some(at) => (at - unix).clamp(0, NO_WORD),
                None if self.handover.has_predecessor() => return,
                None => 0,
            };
            self.health.yields_heard = true;
            self.ready_from(self.context.now + left);
        }
    }

    /// What this process has to carry: the share of the time that its loop did not sleep, and of the descriptors for
    /// databases that have something out.
    pub(super) fn report_load(&mut self) {
        if self.health.watch.is_none() {
            self.health.ticking = false;
            return;
        }
        let span = (self.context.now - self.health.ticked).max(1);
        let busy = 1.0 - self.health.slept as f64 / span as f64;
        (self.health.ticked, self.health.slept) = (self.context.now, 0);
        let held = self.context.core.report_queued(self.context.now);
        let in_progress = self.context.core.open_request_count();
        let pressure = busy.max(self.database_connections_in_use());
        self.record_health_event(HealthEvent::Load {
            pressure,
            in_progress,
            queued: held,
            client_capacity: self.connection_limits().clients,
        });
        self.context.timers.set(self.context.now + HEALTH_TICK, TimerEvent::HealthTick);
    }

    /// Looks at what balancers are told, if it may have changed; sends the probes that are due.
    pub(super) fn update_health(&mut self) {
        let Some(watch) = &self.health.watch else { return };
        let (next, changes, probes) = watch.borrow_mut().news(self.context.now);
        let changed = !changes.is_empty();
        for change in changes {
            match change {
                Change::State { from, to, reason } => {
                    info!(
                        event = "health",
                        state = to.as_str(),
                        was = from.as_str(),
                        reason = reason.as_str()
                    );
                }
                Change::Capability { group, operation: kind, available: able, reason } => {
                    let (kind, reason) = (kind.as_str(), reason.as_str());
                    info!(event = "health-claim", group = group.0, kind, able, reason);
                }
            }
        }
        if changed {
            self.checks.changed(&mut self.context);
        }
        if self.health.timer.is_none_or(|at| next < at) {
            self.health.timer = Some(next);
            self.context.timers.set(next, TimerEvent::HealthChange);
        }
        if !probes.is_empty() {
            for server in probes {
                self.pool.start_monitor_check(&mut self.context, ServerId(server.0));
            }
            self.carry_out();
        }
    }

    /// Something that the core does not see.
    pub(super) fn record_health_event(&self, fact: HealthEvent) {
        if let Some(watch) = &self.health.watch {
            watch.borrow_mut().monitor.handle_event(self.context.now, fact);
        }
    }

    /// Checks listen again if they may and do not.
    pub(super) fn reopen_check_listeners(&mut self) {
        self.checks.sweep(&mut self.context);
        if self.checks.lacks() && !self.health.yielding && self.context.now >= self.health.ready_at - EARLY {
            self.checks.reopen(&mut self.context);
        }
    }
}
