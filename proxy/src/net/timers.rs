//! The clock and the timers of the event loop.

use birchreach::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The only clock of the loop: Unix time at the start plus the monotonic time since. It never goes back.
pub(super) struct Clock {
    started: Instant,
    started_unix: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub(super) fn new() -> Clock {
        Clock { started: Instant::now(), started_unix: unix_micros() }
    }

    /// The time.
    pub(super) fn now(&self) -> Micros {
        self.started_unix + micros(self.started.elapsed())
    }

    /// How far the system's clock, by which two processes agree on an instant, is ahead of this one: it may have been set since the
    /// start.
    pub(super) fn unix_offset(&self) -> Micros {
        unix_micros() - self.now()
    }
}

/// The Unix time by the system's clock.
fn unix_micros() -> Micros {
    micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// The duration in microseconds. One that is too long for the type becomes one that can still be added to another without overflow.
fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX / 4)
}

/// A timer that is set. The order of the fields is that in which timers become due: those of equal time in the order in which they
/// were set.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Timer<T> {
    due_at: Micros,
    serial: u64,
    event: T,
}

/// Timers, the soonest first. None is ever cancelled: the owner that set it checks whether it still applies.
pub(super) struct Timers<T> {
    heap: BinaryHeap<Reverse<Timer<T>>>,
    last_serial: u64,
}

impl<T: Ord> Timers<T> {
    /// No timer is set.
    pub(super) fn new() -> Timers<T> {
        Timers { heap: BinaryHeap::new(), last_serial: 0 }
    }

    /// Sets a timer for an event.
    pub(super) fn set(&mut self, due_at: Micros, event: T) {
        self.last_serial += 1;
        self.heap.push(Reverse(Timer { due_at, serial: self.last_serial, event }));
    }

    /// Removes the next timer that is due.
    pub(super) fn due(&mut self, now: Micros) -> Option<T> {
        self.heap.peek().filter(|Reverse(timer)| timer.due_at <= now)?;
        self.heap.pop().map(|Reverse(timer)| timer.event)
    }

    /// How long until the next timer is due, if one is set.
    pub(super) fn wait(&self, now: Micros) -> Option<Duration> {
        let Reverse(timer) = self.heap.peek()?;
        Some(Duration::from_micros(u64::try_from(timer.due_at - now).unwrap_or(0)))
    }
}
