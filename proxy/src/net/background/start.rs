//! Enables, disables and runs the background subsystems in the event loop.

use super::BackgroundWork;
use super::reports::OutgoingReport;
use crate::hot::{self, HotKeyObserver};
use crate::net::EventLoop;
use crate::net::event_loop_context::EventLoopContext;
use crate::net::timer_events::TimerEvent;
use crate::observe::{CopyLocator, Observer, Shared, shared};
use crate::split::{self, SplitObserver};
use birchreach::Micros;
use birchreach_background_tasks::{Budget, Quota, TaskBudget, TaskKind};
use birchreach_membership::GossipReports;
use birchreach_peer_state::NameHasher;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Returns the budgets of the task kinds of all subsystems that the options enable.
fn task_budgets(
    hot: Option<&birchreach_options::HotKeyOptions>,
    split: Option<&birchreach_options::SplitOptions>,
) -> Vec<TaskBudget> {
    let micros = |duration: Duration| Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX);
    let mut budgets = Vec::new();
    if let Some(hot) = hot {
        let budget = |database_starts_per_s| Budget {
            database_starts_per_s,
            total_starts_per_s: hot.total_rate_per_s,
            window: micros(hot.window),
        };
        budgets.push(TaskBudget { kind: TaskKind::RowRead, budget: budget(hot.database_copy_reads_per_s) });
        budgets.push(TaskBudget { kind: TaskKind::CopyWrite, budget: budget(hot.database_copies_per_s) });
    }
    if let Some(split) = split {
        let budget = Budget {
            database_starts_per_s: split.database_reads_per_s,
            total_starts_per_s: split.total_rate_per_s,
            window: micros(split.window),
        };
        budgets.push(TaskBudget { kind: TaskKind::DualRead, budget });
    }
    budgets
}

/// The facts about the fleet that a background subsystem needs.
#[derive(Clone, Copy)]
struct FleetIdentity {
    /// The incarnation of this process, which identifies it as the origin of its reports.
    incarnation: u64,
    configured_members: u32,
}

impl BackgroundWork {
    /// Logs a warning for each kind of task that can never start because this process's quota of the budget is empty.
    fn warn_about_empty_quotas(&self, divisor: u32) {
        for kind in TaskKind::ALL {
            if self.scheduler.quota(kind, divisor).is_some_and(Quota::is_empty) {
                warn!(event = "background-budget-empty", kind = kind.as_str(), processes = divisor);
            }
        }
    }

    /// Sets the timer for the next run, unless an earlier timer is already set.
    fn schedule_next_run(&mut self, context: &mut EventLoopContext) {
        let next = self.next_run_at(context.now);
        if next < self.timer_at || self.timer_at <= context.now {
            self.timer_at = next;
            context.timers.set(next, TimerEvent::Background);
        }
    }
}

impl EventLoop {
    /// Enables the subsystems that the options name, and disables those that the options no longer name. Does nothing
    /// if this proxy is not in a fleet.
    pub(in crate::net) fn configure_background(&mut self) {
        let (Some(fleet), Some(_)) = (&self.fleet, &self.config.fleet_keys) else { return };
        let identity = FleetIdentity {
            incarnation: fleet.incarnation(),
            configured_members: fleet.view().configured_members,
        };
        let divisor = fleet.view().quota_divisor();
        let now = self.context.now;
        let mut work = self
            .background
            .take()
            .unwrap_or_else(|| Box::new(BackgroundWork::new(identity.incarnation, now)));
        self.configure_hot_keys(&mut work, identity);
        self.configure_split(&mut work, identity);
        let options = &self.config.options;
        work.scheduler.set_budgets(&task_budgets(options.hot.as_ref(), options.split.as_ref()), now);
        work.warn_about_empty_quotas(divisor);
        if !work.is_idle() {
            self.background = Some(work);
            self.run_background();
        }
    }

    /// Enables or disables copies of hot keys, or updates their settings.
    fn configure_hot_keys(&mut self, work: &mut BackgroundWork, identity: FleetIdentity) {
        let Some(keys) = &self.config.fleet_keys else { return };
        let hasher = keys.name_hasher(b"hot keys");
        let options = self.config.options.hot.as_ref();
        let consistencies = self.context.core.consistencies();
        let settings =
            options.map(|options| hot::settings(options, identity.configured_members, &consistencies));
        work.hot_keys = match (settings, work.hot_keys.take()) {
            (Some(settings), Some(observer)) => {
                observer.borrow_mut().tracker.update_settings(settings);
                Some(observer)
            }
            (Some(settings), None) => Some(self.enable_hot_keys(settings, identity, hasher)),
            (None, Some(observer)) => {
                self.disable_hot_keys(observer);
                None
            }
            (None, None) => None,
        };
    }

    /// Enables copies of hot keys. The returned observer follows the requests and locates copies for the core.
    fn enable_hot_keys(
        &mut self,
        settings: birchreach_hot_keys::Settings,
        identity: FleetIdentity,
        hasher: NameHasher,
    ) -> Shared<HotKeyObserver> {
        let now = self.context.now;
        let core = &mut self.context.core;
        let observer = shared(HotKeyObserver::new(settings, identity.incarnation, hasher, now));
        core.subscribe(now, observer.clone());
        core.add_copy_locator(observer.clone());
        info!(event = "hot-on");
        observer
    }

    /// Disables copies of hot keys.
    fn disable_hot_keys(&mut self, observer: Shared<HotKeyObserver>) {
        let core = &mut self.context.core;
        core.unsubscribe(&(observer.clone() as Rc<RefCell<dyn Observer>>));
        core.remove_copy_locator(&(observer as Rc<RefCell<dyn CopyLocator>>));
        info!(event = "hot-off");
    }

    /// Enables or disables the comparison for a split. A comparison with unchanged settings continues. Changed settings
    /// end it and start a new one.
    fn configure_split(&mut self, work: &mut BackgroundWork, identity: FleetIdentity) {
        let Some(keys) = &self.config.fleet_keys else { return };
        let hasher = keys.name_hasher(b"split");
        let options = self.config.options.split.as_ref();
        let requested = options.map(|options| split::settings(options, identity.configured_members));
        let has_requested_settings = |observer: &Shared<SplitObserver>| {
            Some(observer.borrow().verifier.settings()) == requested.as_ref()
        };
        if work.split.as_ref().is_some_and(has_requested_settings) {
            return;
        }
        if let Some(observer) = work.split.take() {
            self.disable_split(observer);
        }
        if let Some(settings) = requested {
            work.split = Some(self.enable_split(settings, identity, hasher));
            work.split_generation = work.split_generation.next();
        }
    }

    /// Starts the comparison of a group that is being split with its child groups. The returned observer
    /// follows the requests and selects the keys that are read a second time.
    fn enable_split(
        &mut self,
        settings: birchreach_shard_split::Settings,
        identity: FleetIdentity,
        hasher: NameHasher,
    ) -> Shared<SplitObserver> {
        let now = self.context.now;
        let definition = format!("{:016x}", settings.definition.digest());
        let class_names = self.config.deployment.class_names.clone();
        let observer = shared(SplitObserver::new(settings, identity.incarnation, hasher, class_names, now));
        self.context.core.subscribe(now, observer.clone());
        info!(event = "split-on", definition);
        observer
    }

    /// Ends a comparison. The core no longer notifies its observer.
    fn disable_split(&mut self, observer: Shared<SplitObserver>) {
        self.context.core.unsubscribe(&(observer as Rc<RefCell<dyn Observer>>));
        info!(event = "split-off");
    }

    /// Runs the background subsystems once: finishes completed queries, starts due tasks, sets the timer for the next
    /// run, and sends reports.
    pub(in crate::net) fn run_background(&mut self) {
        let (Some(fleet), Some(work)) = (&self.fleet, &mut self.background) else { return };
        let (view, is_active) = (fleet.view(), fleet.is_active());
        let now = self.context.now;
        let report_interval = GossipReports::renewal_interval(view.member_count);
        work.run_split(now, view.member_count, report_interval);
        work.run_hot_keys(now, view.member_count, report_interval);
        let reports = work.due_reports(now);
        work.finish_tasks(now, self.pool.take_completed_queries());
        // If two processes of one proxy are running, only the one that is a fleet member starts tasks.
        if is_active {
            work.start_due_tasks(&mut self.context, &mut self.pool, view.quota_divisor());
        }
        work.finish_tasks(now, self.pool.take_completed_queries());
        work.schedule_next_run(&mut self.context);
        self.publish_reports(reports);
    }

    /// Publishes reports to the other fleet members.
    fn publish_reports(&mut self, reports: Vec<OutgoingReport>) {
        if reports.is_empty() {
            return;
        }
        let Some(fleet) = &mut self.fleet else { return };
        for report in reports {
            fleet.publish_report(self.context.now, report.channel, report.payload);
        }
        self.apply_fleet_changes();
    }
}
