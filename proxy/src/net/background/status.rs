//! The admin reports and metrics of background work and its subsystems.

use super::BackgroundWork;
use birchreach::Micros;
use birchreach_background_tasks::TaskKind;
use std::fmt::Write;

impl BackgroundWork {
    /// Returns the reply to the admin call `hot`, or `None` while copies of hot keys are disabled.
    pub(crate) fn hot_key_lines(&self, now: Micros, divisor: u32) -> Option<String> {
        let observer = self.hot_keys.as_ref()?;
        Some(observer.borrow().status_lines(now) + &self.scheduler_lines(divisor))
    }

    /// Returns the reply to the admin call `split`, or `None` while no comparison is enabled.
    pub(crate) fn split_lines(&self, member_count: usize, divisor: u32) -> Option<String> {
        let observer = self.split.as_ref()?;
        Some(observer.borrow().status_lines(member_count) + &self.scheduler_lines(divisor))
    }

    /// Returns one line for each kind of task that has a budget, and one line for all tasks together.
    fn scheduler_lines(&self, divisor: u32) -> String {
        let mut lines = String::new();
        for kind in TaskKind::ALL {
            let Some(quota) = self.scheduler.quota(kind, divisor) else { continue };
            let counts = self.scheduler.counts(kind);
            let _ = writeln!(
                lines,
                "background kind={} started={} ended={} late={} crowded={} part_at_one={} part_in_all={}",
                kind.as_str(),
                counts.started,
                counts.finished,
                counts.expired,
                counts.rejected,
                quota.per_database,
                quota.total
            );
        }
        let (queued, running) = (self.scheduler.queued_count(), self.scheduler.running_count());
        let _ = writeln!(lines, "background waiting={queued} out={running}");
        lines
    }

    /// Updates the metrics of background work, and returns them in the text format of Prometheus.
    pub(crate) fn metrics_text(&self, member_count: usize) -> String {
        for kind in TaskKind::ALL {
            self.metrics.set_task_counts(kind, self.scheduler.counts(kind));
        }
        if let Some(observer) = &self.hot_keys {
            let observer = observer.borrow();
            self.metrics.set_hot_keys(&observer.tracker, observer.copy_read_counts());
        }
        if let Some(observer) = &self.split {
            let verifier = &observer.borrow().verifier;
            self.metrics.set_split(&verifier.status(member_count), verifier.counts());
        }
        self.metrics.text()
    }
}
