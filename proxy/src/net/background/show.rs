//! What operators are told of work that no client waits for, and of what it is done for.

use super::Background;
use birchreach::Micros;
use birchreach_background_tasks::TaskKind;

impl Background {
    pub fn hot_lines(&self, now: Micros, divisor: u32) -> Option<String> {
        let watch = self.hot.as_ref()?;
        Some(watch.borrow().status_lines(now) + &self.scheduler_lines(divisor))
    }

    /// The scheduler, a line for each kind.
    fn scheduler_lines(&self, divisor: u32) -> String {
        let mut out = String::new();
        for kind in TaskKind::ALL {
            let Some(quota) = self.scheduler.quota(kind, divisor) else { continue };
            let c = self.scheduler.counts(kind);
            out += &format!(
                "background kind={} started={} ended={} late={} crowded={} part_at_one={} part_in_all={}\n",
                kind.as_str(),
                c.started,
                c.finished,
                c.expired,
                c.rejected,
                quota.per_database,
                quota.total
            );
        }
        out + &format!(
            "background waiting={} out={}\n",
            self.scheduler.queued_count(),
            self.scheduler.running_count()
        )
    }

    pub fn split_lines(&self, heard: usize, divisor: u32) -> Option<String> {
        let watch = self.split.as_ref()?;
        Some(watch.borrow().lines(heard) + &self.scheduler_lines(divisor))
    }

    pub fn metrics(&self, heard: usize) -> String {
        for kind in TaskKind::ALL {
            self.metrics.scheduled(kind.as_str(), self.scheduler.counts(kind));
        }
        if let Some(watch) = &self.hot {
            let watch = watch.borrow();
            self.metrics.hot(&watch.tracker, watch.copy_read_counts());
        }
        if let Some(watch) = &self.split {
            let watch = watch.borrow();
            self.metrics.split(&watch.split.verdict(heard), watch.split.counts);
        }
        self.metrics.text()
    }
}
