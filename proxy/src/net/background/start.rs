//! How the loop comes by work that no client waits for, and how it lends it what it needs.

use super::Background;
use crate::hot::{HotKeyObserver, settings};
use crate::net::EventLoop;
use crate::net::timer_events::TimerEvent;
use crate::observe::{CopyLocator, Observer, Shared, shared};
use crate::split;
use birchreach::Micros;
use birchreach_background_tasks::{Budget, Quota, TaskKind};
use birchreach_membership::GossipReports;
use std::cell::RefCell;
use std::rc::Rc;
use tracing::{info, warn};

fn budgets(
    hot: Option<&birchreach_options::Hot>,
    split: Option<&birchreach_options::Split>,
) -> Vec<(TaskKind, Budget)> {
    let mut all = Vec::new();
    if let Some(hot) = hot {
        let window = Micros::try_from(hot.window.as_micros()).unwrap_or(Micros::MAX);
        let budget = |database_per_s| Budget { database_per_s, all_per_s: hot.all_per_s, window };
        all.push((TaskKind::RowRead, budget(hot.reads_per_s)));
        all.push((TaskKind::CopyWrite, budget(hot.copies_per_s)));
    }
    if let Some(split) = split {
        let window = Micros::try_from(split.window.as_micros()).unwrap_or(Micros::MAX);
        let (database_per_s, all_per_s) = (split.reads_per_s, split.all_per_s);
        all.push((TaskKind::DualRead, Budget { database_per_s, all_per_s, window }));
    }
    all
}

impl EventLoop {
    /// Switches on what the options say, and off what they do not say any more.
    pub(in crate::net) fn start_background(&mut self) {
        let options = self.config.options.hot.clone();
        let (Some(fleet), Some(keys)) = (&self.fleet, &self.config.fleet_keys) else { return };
        let (incarnation, named, divisor) =
            (fleet.incarnation(), fleet.view().configured_members, fleet.view().divisor());
        let mut background = self
            .background
            .take()
            .unwrap_or_else(|| Box::new(Background::new(incarnation, self.context.now)));
        match (&options, background.hot.clone()) {
            (Some(options), Some(watch)) => {
                watch.borrow_mut().tracker.update_settings(settings(
                    options,
                    named,
                    &self.context.core.consistencies(),
                ));
            }
            (Some(options), None) => {
                let settings = settings(options, named, &self.context.core.consistencies());
                let watch = shared(HotKeyObserver::new(
                    settings,
                    incarnation,
                    keys.name_hasher(b"hot keys"),
                    self.context.now,
                ));
                self.context.core.subscribe(self.context.now, watch.clone());
                self.context.core.add_copy_locator(watch.clone());
                background.hot = Some(watch);
                info!(event = "hot-on");
            }
            (None, Some(watch)) => {
                self.context.core.unsubscribe(&(watch.clone() as Rc<RefCell<dyn Observer>>));
                self.context.core.remove_copy_locator(&(watch as Rc<RefCell<dyn CopyLocator>>));
                background.hot = None;
                info!(event = "hot-off");
            }
            (None, None) => {}
        }
        self.start_split(&mut background, incarnation, named);
        let split = self.config.options.split.as_ref();
        background.scheduler.set_budgets(&budgets(options.as_ref(), split), self.context.now);
        for kind in TaskKind::ALL {
            if background.scheduler.quota(kind, divisor).is_some_and(Quota::is_empty) {
                // Rounded down, so that the sum holds: nothing of it is ever done.
                warn!(event = "no-budget", kind = kind.as_str(), processes = divisor);
            }
        }
        if !background.idle() {
            self.background = Some(background);
            self.run_background();
        }
    }

    fn start_split(&mut self, background: &mut Background, incarnation: u64, named: u32) {
        let Some(keys) = &self.config.fleet_keys else { return };
        let wanted = self.config.options.split.as_ref().map(|options| split::settings(options, named));
        let same = |watch: &Shared<split::Watch>| Some(watch.borrow().split.settings()) == wanted.as_ref();
        if background.split.as_ref().is_some_and(same) {
            return;
        }
        if let Some(watch) = background.split.take() {
            self.context.core.unsubscribe(&(watch as Rc<RefCell<dyn Observer>>));
            info!(event = "split-off");
        }
        if let Some(settings) = wanted {
            let definition = format!("{:016x}", settings.definition.digest());
            let (hasher, classes) = (keys.name_hasher(b"split"), self.config.deployment.class_names.clone());
            let watch = shared(split::Watch::new(settings, incarnation, hasher, classes, self.context.now));
            self.context.core.subscribe(self.context.now, watch.clone());
            background.split = Some(watch);
            background.started += 1;
            info!(event = "split-on", definition);
        }
    }

    /// Runs the background subsystems once: takes finished queries, starts due tasks, sets the timer.
    pub(in crate::net) fn run_background(&mut self) {
        let (Some(fleet), Some(background)) = (&self.fleet, &mut self.background) else { return };
        let (view, is_active) = (fleet.view(), fleet.is_active());
        let now = self.context.now;
        background.step(now, view.members, GossipReports::interval(view.members));
        let said = background.say(now);
        background.ended(now, self.pool.take_completed_queries());
        // Of two processes of one proxy one acts for it; the other only serves.
        if is_active {
            background.start(&mut self.context, &mut self.pool, view.divisor());
        }
        background.ended(now, self.pool.take_completed_queries());
        let next = background.next_change(now);
        if next < background.armed || background.armed <= now {
            background.armed = next;
            self.context.timers.set(next, TimerEvent::Background);
        }
        if let (Some(fleet), false) = (&mut self.fleet, said.is_empty()) {
            for (channel, said) in said {
                fleet.publish_report(now, channel, said);
            }
            self.after_fleet();
        }
    }
}
