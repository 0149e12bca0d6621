//! How the event loop switches background subsystems on and off, and runs them.

use super::BackgroundWork;
use crate::hot::{self, HotKeyObserver};
use crate::net::EventLoop;
use crate::net::timer_events::TimerEvent;
use crate::observe::{CopyLocator, Observer, Shared, shared};
use crate::split::{self, SplitObserver};
use birchreach::Micros;
use birchreach_background_tasks::{Budget, Quota, TaskBudget, TaskKind};
use birchreach_membership::GossipReports;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// The budgets of the subsystems that the options name.
fn budgets(
    hot: Option<&birchreach_options::HotKeyOptions>,
    split: Option<&birchreach_options::SplitOptions>,
) -> Vec<TaskBudget> {
    let micros = |span: Duration| Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX);
    let mut budgets = Vec::new();
    if let Some(hot) = hot {
        let budget =
            |database_per_s| Budget { database_per_s, all_per_s: hot.all_per_s, window: micros(hot.window) };
        budgets.push(TaskBudget { kind: TaskKind::RowRead, budget: budget(hot.database_copy_reads_per_s) });
        budgets.push(TaskBudget { kind: TaskKind::CopyWrite, budget: budget(hot.database_copies_per_s) });
    }
    if let Some(split) = split {
        let (database_per_s, all_per_s) = (split.database_reads_per_s, split.all_per_s);
        let budget = Budget { database_per_s, all_per_s, window: micros(split.window) };
        budgets.push(TaskBudget { kind: TaskKind::DualRead, budget });
    }
    budgets
}

/// What a background subsystem needs to know of the fleet.
#[derive(Clone, Copy)]
struct FleetIdentity {
    /// This incarnation, which is its origin in reports.
    incarnation: u64,
    configured_members: u32,
}

impl EventLoop {
    /// Switches on what the options name, and off what they no longer name.
    pub(in crate::net) fn start_background(&mut self) {
        let (Some(fleet), Some(_)) = (&self.fleet, &self.config.fleet_keys) else { return };
        let identity = FleetIdentity {
            incarnation: fleet.incarnation(),
            configured_members: fleet.view().configured_members,
        };
        let divisor = fleet.view().divisor();
        let now = self.context.now;
        let mut work = self
            .background
            .take()
            .unwrap_or_else(|| Box::new(BackgroundWork::new(identity.incarnation, now)));
        self.start_hot_keys(&mut work, identity);
        self.start_split(&mut work, identity);
        let options = &self.config.options;
        work.scheduler.set_budgets(&budgets(options.hot.as_ref(), options.split.as_ref()), now);
        for kind in TaskKind::ALL {
            if work.scheduler.quota(kind, divisor).is_some_and(Quota::is_empty) {
                warn!(event = "background-budget-empty", kind = kind.as_str(), processes = divisor);
            }
        }
        if !work.is_idle() {
            self.background = Some(work);
            self.run_background();
        }
    }

    /// Switches copies of hot keys on or off, or updates their settings.
    fn start_hot_keys(&mut self, work: &mut BackgroundWork, identity: FleetIdentity) {
        let Some(keys) = &self.config.fleet_keys else { return };
        let FleetIdentity { incarnation, configured_members } = identity;
        let core = &mut self.context.core;
        let settings = self
            .config
            .options
            .hot
            .as_ref()
            .map(|options| hot::settings(options, configured_members, &core.consistencies()));
        match (settings, work.hot_keys.take()) {
            (Some(settings), Some(observer)) => {
                observer.borrow_mut().tracker.update_settings(settings);
                work.hot_keys = Some(observer);
            }
            (Some(settings), None) => {
                let (hasher, now) = (keys.name_hasher(b"hot keys"), self.context.now);
                let observer = shared(HotKeyObserver::new(settings, incarnation, hasher, now));
                core.subscribe(now, observer.clone());
                core.add_copy_locator(observer.clone());
                work.hot_keys = Some(observer);
                info!(event = "hot-on");
            }
            (None, Some(observer)) => {
                core.unsubscribe(&(observer.clone() as Rc<RefCell<dyn Observer>>));
                core.remove_copy_locator(&(observer as Rc<RefCell<dyn CopyLocator>>));
                info!(event = "hot-off");
            }
            (None, None) => {}
        }
    }

    /// Switches the comparison of a split on or off. One whose settings are unchanged continues; with other settings a new one
    /// starts.
    fn start_split(&mut self, work: &mut BackgroundWork, identity: FleetIdentity) {
        let Some(keys) = &self.config.fleet_keys else { return };
        let wanted = self
            .config
            .options
            .split
            .as_ref()
            .map(|split| split::settings(split, identity.configured_members));
        let is_wanted =
            |observer: &Shared<SplitObserver>| Some(observer.borrow().verifier.settings()) == wanted.as_ref();
        if work.split.as_ref().is_some_and(is_wanted) {
            return;
        }
        if let Some(observer) = work.split.take() {
            self.context.core.unsubscribe(&(observer as Rc<RefCell<dyn Observer>>));
            info!(event = "split-off");
        }
        if let Some(settings) = wanted {
            let definition = format!("{:016x}", settings.definition.digest());
            let (hasher, class_names) =
                (keys.name_hasher(b"split"), self.config.deployment.class_names.clone());
            let now = self.context.now;
            let observer =
                shared(SplitObserver::new(settings, identity.incarnation, hasher, class_names, now));
            self.context.core.subscribe(now, observer.clone());
            work.split = Some(observer);
            work.split_generation = work.split_generation.next();
            info!(event = "split-on", definition);
        }
    }

    /// Runs the background subsystems once: takes finished queries, starts due tasks, sends reports, sets the timer.
    pub(in crate::net) fn run_background(&mut self) {
        let (Some(fleet), Some(work)) = (&self.fleet, &mut self.background) else { return };
        let (view, is_active) = (fleet.view(), fleet.is_active());
        let now = self.context.now;
        let report_interval = GossipReports::interval(view.members);
        work.run_split(now, view.members, report_interval);
        work.run_hot_keys(now, view.members, report_interval);
        let reports = work.due_reports(now);
        work.finish_tasks(now, self.pool.take_completed_queries());
        // Of two processes of one proxy only the one that is a member of the fleet starts tasks.
        if is_active {
            work.start_due_tasks(&mut self.context, &mut self.pool, view.divisor());
        }
        work.finish_tasks(now, self.pool.take_completed_queries());
        let next = work.next_run_at(now);
        if next < work.timer_at || work.timer_at <= now {
            work.timer_at = next;
            self.context.timers.set(next, TimerEvent::Background);
        }
        if let (Some(fleet), false) = (&mut self.fleet, reports.is_empty()) {
            for report in reports {
                fleet.publish_report(now, report.channel, report.payload);
            }
            self.after_fleet();
        }
    }
}
