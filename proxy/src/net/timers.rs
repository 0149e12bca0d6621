//! The clock and the timer queue of the event loop.

use birchreach::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The only clock of the event loop. It adds the monotonic time since the start to the Unix time of the start, so it
/// never goes back.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    started: Instant,
    started_unix: Micros,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    pub(super) fn new() -> Clock {
        Clock { started: Instant::now(), started_unix: unix_micros() }
    }

    /// Returns the current time in Unix microseconds.
    pub(super) fn now(&self) -> Micros {
        self.started_unix + micros(self.started.elapsed())
    }

    /// Returns how far the system clock is ahead of this clock. The system clock may have been set since the start. Two
    /// processes agree on an instant by the system clock.
    pub(super) fn unix_offset(&self) -> Micros {
        unix_micros() - self.now()
    }
}

/// Returns the Unix time of the system clock.
fn unix_micros() -> Micros {
    micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// Converts a duration to microseconds. Limits a duration that is too long for the type, so that adding another
/// duration to it does not overflow.
fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX / 4)
}

/// A timer that is set. The order of the fields determines the order of timers: they are sorted by the time at which
/// they are due, and timers with the same time by the order in which they were set.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Timer<T> {
    due_at: Micros,
    serial: u64,
    event: T,
}

/// Fewer timers than this are not searched for those that no longer apply.
const MIN_STALE_TIMERS: usize = 4096;

/// A priority queue of timers, the earliest first. Timers are never cancelled. The owner that set a timer checks
/// whether the timer still applies.
pub(super) struct Timers<T> {
    heap: BinaryHeap<Reverse<Timer<T>>>,
    last_serial: u64,
    /// The number of timers from which on those that no longer apply are removed.
    remove_stale_at: usize,
}

impl<T: Ord> Timers<T> {
    /// Creates a queue without timers.
    pub(super) fn new() -> Timers<T> {
        Timers { heap: BinaryHeap::new(), last_serial: 0, remove_stale_at: MIN_STALE_TIMERS }
    }

    /// Returns the number of timers that are set.
    pub(super) fn len(&self) -> usize {
        self.heap.len()
    }

    /// Sets a timer that delivers `event` at `due_at` or later.
    pub(super) fn set(&mut self, due_at: Micros, event: T) {
        self.last_serial += 1;
        self.heap.push(Reverse(Timer { due_at, serial: self.last_serial, event }));
    }

    /// Removes the timers whose events no longer apply, if many timers were set since the last time.
    pub(super) fn remove_stale(&mut self, applies: impl Fn(&T) -> bool) {
        if self.heap.len() < self.remove_stale_at {
            return;
        }
        self.heap.retain(|Reverse(timer)| applies(&timer.event));
        self.heap.shrink_to(self.heap.len() + MIN_STALE_TIMERS);
        self.remove_stale_at = 2 * self.heap.len() + MIN_STALE_TIMERS;
    }

    /// Removes the next timer that is due and returns its event. Returns `None` if no timer is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<T> {
        self.heap.peek().filter(|Reverse(timer)| timer.due_at <= now)?;
        self.heap.pop().map(|Reverse(timer)| timer.event)
    }

    /// Returns the time until the next timer is due, zero if it is overdue, or `None` if no timer is set.
    pub(super) fn time_until_next(&self, now: Micros) -> Option<Duration> {
        let Reverse(timer) = self.heap.peek()?;
        Some(Duration::from_micros(u64::try_from(timer.due_at - now).unwrap_or(0)))
    }
}
