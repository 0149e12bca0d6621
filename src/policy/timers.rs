//! Wakeups of requests, and the single timer of the router that triggers all of them.

use super::Router;
use crate::interface::{Action, Micros, RequestId};
use std::collections::BTreeSet;

/// Id of the only timer of the router.
const TIMER_ID: u32 = 0;

/// A scheduled evaluation of a pending request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Wakeup {
    at: Micros,
    request: RequestId,
}

/// Wakeups of all pending requests, ordered by time.
pub(super) struct WakeupSchedule {
    wakeups: BTreeSet<Wakeup>,
    /// Expiry of the timer that was last requested; [`Micros::MAX`] after it has expired.
    timer_due_at: Micros,
}

impl Default for WakeupSchedule {
    fn default() -> Self {
        WakeupSchedule { wakeups: BTreeSet::new(), timer_due_at: Micros::MAX }
    }
}

impl WakeupSchedule {
    /// Removes the wakeup of a request that is scheduled for this time.
    pub(super) fn cancel(&mut self, request: RequestId, at: Micros) {
        self.wakeups.remove(&Wakeup { at, request });
    }

    fn add(&mut self, request: RequestId, at: Micros) {
        self.wakeups.insert(Wakeup { at, request });
    }

    /// Removes the first wakeup and returns its request, if the wakeup is due.
    fn pop_due(&mut self, now: Micros) -> Option<RequestId> {
        self.wakeups.first().filter(|wakeup| wakeup.at <= now)?;
        self.wakeups.pop_first().map(|wakeup| wakeup.request)
    }

    fn next(&self) -> Option<Micros> {
        self.wakeups.first().map(|wakeup| wakeup.at)
    }
}

impl Router {
    /// Schedules the wakeup of a pending request. Replaces its previous wakeup.
    pub(super) fn schedule_wakeup(&mut self, request_id: RequestId, at: Micros) {
        let Some(request) = self.pending.get_mut(&request_id) else { return };
        self.wakeups.cancel(request_id, request.next_wakeup);
        self.wakeups.add(request_id, at);
        request.next_wakeup = at;
    }

    /// Handles the expiry of the timer: wakes all due requests, and polls the endpoint list if that is due.
    /// Cost: O(members of the group) for each due request.
    pub(super) fn on_timer(&mut self, actions: &mut Vec<Action>) {
        self.wakeups.timer_due_at = Micros::MAX;
        while let Some(request_id) = self.wakeups.pop_due(self.now) {
            self.on_wakeup(request_id, actions);
        }
        let poll = self.next_endpoint_poll_at.take_if(|at| *at <= self.now);
        actions.extend(poll.map(|_| Action::WatchEndpoints));
    }

    /// Evaluates a pending request: finishes it after its deadline, dispatches it if no attempt is in flight,
    /// and otherwise handles its overdue attempts.
    fn on_wakeup(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get_mut(&request_id) else { return };
        if self.now >= request.deadline {
            self.finish_unserved(request_id, actions);
        } else if request.in_flight_attempts.is_empty() {
            request.tried_servers.clear();
            self.dispatch(request_id, actions);
        } else {
            self.handle_overdue_attempts(request_id, actions);
        }
    }

    /// Requests a timer if a wakeup or poll is due before the timer that was last requested.
    pub(super) fn arm_timer(&mut self, actions: &mut Vec<Action>) {
        let due_times = [self.wakeups.next(), self.next_endpoint_poll_at];
        let first_due = due_times.into_iter().flatten().min().unwrap_or(Micros::MAX);
        if first_due < self.wakeups.timer_due_at {
            self.wakeups.timer_due_at = first_due;
            actions.push(Action::Timer { id: TIMER_ID, delay: (first_due - self.now).max(0) });
        }
    }
}
