//! When requests are looked at again, and the one timer of the router that serves them all.

use super::Router;
use crate::interface::{Action, Micros, RequestId};
use std::collections::BTreeSet;

/// The router has one timer at a time, with this id.
const TIMER_ID: u32 = 0;

/// A request is to be looked at again at this time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Wake {
    at: Micros,
    request: RequestId,
}

/// Wakes of all pending requests.
pub(super) struct WakeSchedule {
    wakes: BTreeSet<Wake>,
    /// When the timer that was last requested expires.
    timer_due_at: Micros,
}

impl Default for WakeSchedule {
    fn default() -> Self {
        WakeSchedule { wakes: BTreeSet::new(), timer_due_at: Micros::MAX }
    }
}

impl WakeSchedule {
    /// Removes the wake of a request at this time.
    pub(super) fn cancel(&mut self, request: RequestId, at: Micros) {
        self.wakes.remove(&Wake { at, request });
    }

    fn add(&mut self, request: RequestId, at: Micros) {
        self.wakes.insert(Wake { at, request });
    }

    /// Removes and returns the first request that is due.
    fn pop_due(&mut self, now: Micros) -> Option<RequestId> {
        self.wakes.first().filter(|wake| wake.at <= now)?;
        self.wakes.pop_first().map(|wake| wake.request)
    }

    fn next(&self) -> Option<Micros> {
        self.wakes.first().map(|wake| wake.at)
    }
}

impl Router {
    /// Looks at a pending request again at this time, instead of the time set before.
    pub(super) fn schedule_wake(&mut self, request_id: RequestId, at: Micros) {
        let Some(request) = self.pending.get_mut(&request_id) else { return };
        self.wakes.cancel(request_id, request.next_wake);
        self.wakes.add(request_id, at);
        request.next_wake = at;
    }

    /// The timer expired: wakes what is due. Cost: O(members of the group) for each request that is due.
    pub(super) fn on_timer(&mut self, actions: &mut Vec<Action>) {
        self.wakes.timer_due_at = Micros::MAX;
        while let Some(request_id) = self.wakes.pop_due(self.now) {
            self.on_wake(request_id, actions);
        }
        let poll = self.next_endpoint_poll_at.take_if(|at| *at <= self.now);
        actions.extend(poll.map(|_| Action::WatchEndpoints));
    }

    /// Looks at a pending request: it is finished, dispatched, or its attempts in flight are assessed.
    fn on_wake(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get_mut(&request_id) else { return };
        if self.now >= request.useful_until {
            self.finish_unserved(request_id, actions);
        } else if request.in_flight_attempts.is_empty() {
            request.tried_servers.clear();
            self.dispatch(request_id, actions);
        } else {
            self.handle_overdue_attempts(request_id, actions);
        }
    }

    /// Requests a timer if something is due before the one that was requested last.
    pub(super) fn arm_timer(&mut self, actions: &mut Vec<Action>) {
        let due_times = [self.wakes.next(), self.next_endpoint_poll_at];
        let first_due = due_times.into_iter().flatten().min().unwrap_or(Micros::MAX);
        if first_due < self.wakes.timer_due_at {
            self.wakes.timer_due_at = first_due;
            actions.push(Action::Timer { id: TIMER_ID, delay: (first_due - self.now).max(0) });
        }
    }
}
