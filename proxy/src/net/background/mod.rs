//! Work that no client waits for: it is asked for by subsystems, let go by the scheduler, sent as errands, and what comes of it is
//! handed back. It owns tasks on their way and the times; what is to be done is decided in crates.

mod copies;
mod dual_reads;
mod show;
mod start;

use super::event_loop_context::EventLoopContext;
use super::pool::Pool;
use crate::background_query::BackgroundQueryResult;
use crate::core::Core;
use crate::hot::HotKeyObserver;
use crate::metrics::Metrics;
use crate::observe::Shared;
use crate::split;
use birchreach::{GroupId, Micros, ServerId};
use birchreach_background_tasks::{Scheduler, StartedTask, Task, TaskKind};
use birchreach_membership::ReceivedReport;
use copies::Copying;
use dual_reads::Shadow;
use std::collections::HashMap;
use tracing::info;

/// Reports of members, by what they are of.
pub const HOT: u8 = 1;
pub const SPLIT: u8 = 2;
/// How long an errand that has started may take until whoever waits for it takes it for lost.
const AT_MOST: Micros = 3_000_000;
/// A turn comes each second at the latest, where all members are few; one that comes so late comes after a stop.
const STOPPED: Micros = 1_500_000;

/// Something to be done at some database.
#[derive(Clone, Debug, PartialEq)]
enum What {
    Copy(Copying),
    Shadow(Shadow),
}

impl What {
    /// Which group's database it goes to, and whether it writes.
    fn place(&self) -> (u32, bool) {
        match self {
            What::Copy(copying) => copying.place(),
            What::Shadow(shadow) => shadow.place(),
        }
    }

    /// It waits while clients fill their part of a database. A row that is read to be copied does not: the copy is what relieves the
    /// database, and the budget is what it may take.
    fn yields(&self) -> bool {
        !matches!(self, What::Copy(Copying::Read(_)))
    }

    fn texts(&self, id: u64) -> Vec<Vec<u8>> {
        match self {
            What::Copy(copying) => copying.texts(id),
            What::Shadow(shadow) => shadow.texts(id),
        }
    }
}

pub struct Background {
    scheduler: Scheduler<What>,
    out: HashMap<u64, (What, Micros)>,
    /// Ids of statements that no client sent: by this boot and a count.
    boot: u64,
    sent: u64,
    hot: Option<Shared<HotKeyObserver>>,
    split: Option<Shared<split::Watch>>,
    /// How often a comparison was started: answers to an earlier one are not its.
    started: u64,
    metrics: Metrics,
    /// When the timer that is set goes off.
    armed: Micros,
    /// Its last turn, and until when nothing is begun: a process that was stopped does not know yet what it has missed.
    turned: Micros,
    rests: Micros,
}

impl Background {
    fn new(boot: u64, now: Micros) -> Background {
        Background {
            scheduler: Scheduler::new(&[], now),
            out: HashMap::new(),
            boot,
            sent: 0,
            hot: None,
            split: None,
            started: 0,
            metrics: Metrics::new(),
            armed: Micros::MAX,
            turned: now,
            rests: now,
        }
    }

    /// What other members tell.
    pub fn hear(&mut self, now: Micros, fresh: Vec<ReceivedReport>) {
        for told in fresh {
            match (told.channel, &self.hot) {
                (HOT, Some(watch)) => {
                    let mut watch = watch.borrow_mut();
                    if let Err(why) =
                        watch.tracker.receive_report(now, told.origin, told.sequence, told.age, &told.payload)
                    {
                        self.metrics.refuse("hot", why.as_str());
                    }
                }
                (SPLIT, _) if self.split.is_some() => self.hear_split(now, &told),
                // This process has that subsystem switched off.
                _ => self.metrics.refuse("other", "off"),
            }
        }
    }

    fn hear_split(&self, now: Micros, told: &ReceivedReport) {
        let Some(watch) = &self.split else { return };
        let heard =
            watch.borrow_mut().split.receive_report(now, told.origin, told.sequence, told.age, &told.payload);
        if let Err(why) = heard {
            self.metrics.refuse("split", why.as_str());
        }
    }

    /// What this process tells, if it is time.
    fn say(&mut self, now: Micros) -> Vec<(u8, Vec<u8>)> {
        let hot = self.hot.as_ref().and_then(|watch| watch.borrow_mut().tracker.report_if_due(now));
        let split = self.split.as_ref().and_then(|watch| watch.borrow_mut().split.report_if_due(now));
        hot.map(|said| (HOT, said)).into_iter().chain(split.map(|said| (SPLIT, said))).collect()
    }

    /// Sets, and what is to be done by them.
    fn step(&mut self, now: Micros, members: usize, interval: Micros) {
        self.compare(now, members, interval);
        let Some(shared) = self.hot.clone() else { return };
        let mut watch = shared.borrow_mut();
        watch.apply_list_changes();
        watch.tracker.set_fleet(members, interval);
        let before: Vec<_> = watch.tracker.hot_keys().map(|(key, _)| key).collect();
        if watch.tracker.update(now) {
            copies::tell_changes(&watch, &before);
        }
        let refresh = watch.tracker.settings().refresh_interval();
        for due in watch.tracker.due_copies(now) {
            let task = Task {
                kind: TaskKind::RowRead,
                expires_at: now + refresh,
                payload: What::Copy(Copying::Read(due)),
            };
            self.scheduler.submit(task);
        }
    }

    /// What the scheduler lets go now is sent.
    fn start(&mut self, context: &mut EventLoopContext, pool: &mut Pool, divisor: u32) {
        if context.now - std::mem::replace(&mut self.turned, context.now) > STOPPED {
            self.rests = context.now + STOPPED;
        }
        if context.now < self.rests {
            return;
        }
        let place = |core: &Core<_>, what: &What| {
            let (group, write) = what.place();
            core.background_candidate(GroupId(group), write, what.yields()).map(|server| server.0)
        };
        let started = self.scheduler.start_due(context.now, divisor, |what| place(&context.core, what));
        for StartedTask { id: number, task, database } in started {
            self.sent += 1;
            let texts = task.payload.texts(self.boot.wrapping_add(self.sent));
            self.out.insert(number, (task.payload, context.now));
            pool.start_background_query(context, number, ServerId(database), texts);
        }
    }

    /// BackgroundQueries that are over; those whose end was never told are given up.
    fn ended(&mut self, now: Micros, done: Vec<BackgroundQueryResult>) {
        for done in done {
            self.scheduler.finish(done.number);
            let Some((what, _)) = self.out.remove(&done.number) else { continue };
            match what {
                What::Copy(copying) => self.copied(now, copying, &done),
                What::Shadow(shadow) => self.compared(now, &shadow, Some(&done)),
            }
        }
        let lost: Vec<u64> =
            self.out.iter().filter(|(_, (_, at))| now - at >= AT_MOST).map(|(number, _)| *number).collect();
        for number in lost {
            self.scheduler.finish(number);
            if let Some((What::Shadow(shadow), _)) = self.out.remove(&number) {
                self.compared(now, &shadow, None);
            }
            info!(event = "errand-lost", number);
        }
    }

    fn next_change(&self, now: Micros) -> Micros {
        let hot = self.hot.as_ref().map_or(Micros::MAX, |watch| watch.borrow().tracker.next_change(now));
        // What waits for room, or for its part of a budget, is looked at again.
        let waits = if self.scheduler.queued_count() > 0 { now + 20_000 } else { Micros::MAX };
        let split = self.split.as_ref().map_or(Micros::MAX, |watch| watch.borrow().split.next_change(now));
        hot.min(split).min(waits).min(now + STOPPED / 2).max(now + 1_000)
    }

    /// Nothing is left to be done here.
    fn idle(&self) -> bool {
        self.hot.is_none() && self.split.is_none()
    }
}
