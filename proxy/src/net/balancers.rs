//! What balancers are told, as far as the loop has to do with it: the monitor's times and probes, the load, and at which instant
//! one process of this proxy yields to the next. The verdict is the monitor's.

use super::checks::Checks;
use super::{Proxy, TimerEvent};
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

impl Proxy {
    /// Balancers are told, where the options say so.
    pub(super) fn start_health(&mut self) -> Result<(), String> {
        self.watch();
        let health = self.config.options.health.clone();
        let predecessor = self.handover.has_predecessor();
        // The one that this process replaces answers until it yields.
        let opened = self.checks.open(if predecessor { None } else { health.as_ref() })?;
        self.with_checks(|checks, context| checks.take(context, health, opened));
        if predecessor {
            self.ready_from(self.now + NO_WORD);
        }
        Ok(())
    }

    /// Has a monitor with the settings that are in force, or none.
    pub(super) fn watch(&mut self) {
        let Some(options) = &self.config.options.health else {
            if let Some(watch) = self.health.watch.take() {
                self.core.unsubscribe(&(watch as Rc<RefCell<dyn Observer>>));
            }
            self.checks.watch = None;
            return;
        };
        let settings = health::settings(options, &self.config.site, self.config.seed);
        if options.settings.probes.is_some() && settings.probes.is_none() {
            warn!(event = "health-probes-off", reason = "the settings do not allow probes");
        }
        let timeout = settings.probes.as_ref().map_or(0, |probes| probes.timeout);
        self.pool.check_timeout(timeout);
        match &self.health.watch {
            Some(watch) => watch.borrow_mut().monitor.apply_settings(self.now, settings),
            None => {
                let watch = shared(Watch::new(settings, self.now));
                self.core.subscribe(self.now, watch.clone());
                self.checks.watch = Some(watch.clone());
                self.health.watch = Some(watch);
            }
        }
        if !std::mem::replace(&mut self.health.ticking, true) {
            (self.health.ticked, self.health.slept) = (self.now, 0);
            self.timers.set(self.now + HEALTH_TICK, TimerEvent::HealthTick);
        }
    }

    /// This process is not to be called ready before then.
    fn ready_from(&mut self, at: Micros) {
        self.health.ready_at = at;
        self.record_health_event(HealthEvent::ReadyAt(at));
        self.checks.not_before(at);
        self.timers.set(at - EARLY, TimerEvent::OpenCheckListeners);
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
            let at = replaced.then_some(self.now + YIELD);
            self.record_health_event(HealthEvent::HandoverAt(at));
            match at {
                Some(at) => {
                    self.with_own(|_, twin, context| twin.announce_stop_accepting(context, unix + YIELD));
                    self.timers.set(at, TimerEvent::StopAcceptingChecks);
                }
                None => self.with_checks(Checks::reopen),
            }
        }
        if self.health.ready_at > self.now && !self.health.yields_heard {
            let left = match self.handover.predecessor_stops_accepting_at() {
                Some(at) => (at - unix).clamp(0, NO_WORD),
                None if self.handover.has_predecessor() => return,
                None => 0,
            };
            self.health.yields_heard = true;
            self.ready_from(self.now + left);
        }
    }

    /// What this process has to carry: the share of the time that its loop did not sleep, and of the descriptors for
    /// databases that have something out.
    pub(super) fn report_load(&mut self) {
        if self.health.watch.is_none() {
            self.health.ticking = false;
            return;
        }
        let span = (self.now - self.health.ticked).max(1);
        let busy = 1.0 - self.health.slept as f64 / span as f64;
        (self.health.ticked, self.health.slept) = (self.now, 0);
        let (for_clients, for_databases) = self.connection_limits();
        let out = self.core.attempts_in_flight() as f64 / for_databases.max(1) as f64;
        let held = self.core.report_queued(self.now);
        let in_progress = self.core.open_request_count();
        let pressure = busy.max(out);
        self.record_health_event(HealthEvent::Load {
            pressure,
            in_progress,
            queued: held,
            client_capacity: for_clients,
        });
        self.timers.set(self.now + HEALTH_TICK, TimerEvent::HealthTick);
    }

    /// Looks at what balancers are told, if it may have changed; sends the probes that are due.
    pub(super) fn update_health(&mut self) {
        let Some(watch) = &self.health.watch else { return };
        let (next, changes, probes) = watch.borrow_mut().news(self.now);
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
            self.with_checks(Checks::changed);
        }
        if self.health.timer.is_none_or(|at| next < at) {
            self.health.timer = Some(next);
            self.timers.set(next, TimerEvent::HealthChange);
        }
        if !probes.is_empty() {
            self.with(|_, pool, _, context| probes.iter().for_each(|s| pool.check(context, ServerId(s.0))));
            self.carry_out();
        }
    }

    /// Something that the core does not see.
    pub(super) fn record_health_event(&self, fact: HealthEvent) {
        if let Some(watch) = &self.health.watch {
            watch.borrow_mut().monitor.handle_event(self.now, fact);
        }
    }

    /// Checks listen again if they may and do not.
    pub(super) fn reopen_check_listeners(&mut self) {
        self.with_checks(Checks::sweep);
        if self.checks.lacks() && !self.health.yielding && self.now >= self.health.ready_at - EARLY {
            self.with_checks(Checks::reopen);
        }
    }
}
