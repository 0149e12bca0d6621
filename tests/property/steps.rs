//! Derives events from random numbers, so that any sequence of numbers results in a valid sequence of events.

use super::checker::{TrackedRequest, TrackedServer};
use super::*;

/// A kind of event, and two numbers that determine its contents.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    pub kind: u8,
    pub first: u32,
    pub second: u32,
}

impl Step {
    /// A strategy that generates all possible steps.
    pub(crate) fn any() -> impl Strategy<Value = Step> {
        any::<(u8, u32, u32)>().prop_map(|(kind, first, second)| Step { kind, first, second })
    }
}

/// Outcomes that attempts and health checks are completed with.
pub(crate) const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Ok,
    AttemptOutcome::Error,
    AttemptOutcome::Overloaded,
    AttemptOutcome::Timeout,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::ConnectionReset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
    AttemptOutcome::Ineligible,
];

/// Number of classes that requests are drawn from. It is one more than the settings define, so that some
/// requests have an unknown class.
const DRAWN_CLASS_COUNT: u32 = 6;

#[derive(Clone, Copy)]
struct InFlightAttempt {
    request: u64,
    /// Number of the attempt within its request.
    attempt: usize,
}

impl TrackedServer {
    /// Updates the tracked state from an entry of the endpoint list.
    fn apply(&mut self, endpoint: &Endpoint, now: Micros, removal_is_advisory: bool) {
        self.group = endpoint.group.0;
        self.is_primary |= endpoint.primary && self.position.is_none();
        match endpoint.state {
            EndpointState::Ready => {
                self.closed_at = None;
                self.was_ready = true;
            }
            EndpointState::Draining => {
                self.close(now);
                self.was_ready = false;
            }
            EndpointState::Removed if removal_is_advisory && self.was_ready => {}
            EndpointState::Removed => self.close(now),
        }
    }

    /// Marks the server as closed to new work, unless it is already closed.
    fn close(&mut self, now: Micros) {
        self.closed_at = self.closed_at.or(Some(now));
    }
}

impl Checker {
    /// Passes the event of a step to the router, or advances the clock.
    pub(crate) fn run_step(&mut self, step: Step) {
        let Step { kind, first, second } = step;
        let in_flight = self.in_flight();
        let unfinished: Vec<u64> = self.unfinished_requests();
        match kind % 12 {
            0..=3 => self.send_request(first, second),
            4..=6 if !in_flight.is_empty() => {
                let InFlightAttempt { request, attempt } = in_flight[first as usize % in_flight.len()];
                let outcome = OUTCOMES[(second >> 16) as usize % OUTCOMES.len()];
                self.complete_attempt(request, attempt, outcome, second);
            }
            7 => self.advance(Micros::from(first % 900) * MILLISECOND),
            8 => self.change_endpoints(second & 4 != 0, first, second),
            9 => self.complete_health_check(first, second),
            10 if !unfinished.is_empty() => {
                self.disconnect_client(unfinished[first as usize % unfinished.len()]);
            }
            11 if self.may_repeat_last_event() => self.handle(self.last_event.clone().unwrap()),
            _ => self.handle(Event::EndpointPollFailed),
        }
    }

    /// Disconnects the client of a request.
    fn disconnect_client(&mut self, id: u64) {
        self.requests.get_mut(&id).unwrap().finished = true;
        self.handle(Event::ClientDisconnected { request: RequestId(id) });
    }

    /// Whether the router has to ignore a repetition of the last event.
    fn may_repeat_last_event(&self) -> bool {
        matches!(
            self.last_event,
            Some(Event::AttemptCompleted(_) | Event::ClientDisconnected { .. } | Event::Timer { .. })
        )
    }

    /// Passes a complete or an incomplete endpoint list to the router.
    pub(crate) fn change_endpoints(&mut self, complete: bool, first: u32, second: u32) {
        let endpoints = self.draw_endpoints(first, second);
        let (now, removal_is_advisory) = (self.now, self.settings.removal_is_advisory);
        let listed: Vec<u32> = endpoints.iter().map(|endpoint| endpoint.server.0).collect();
        for (id, server) in &mut self.servers {
            if complete && !listed.contains(id) && !(removal_is_advisory && server.was_ready) {
                server.close(now);
            }
        }
        for endpoint in &endpoints {
            let server = self.servers.entry(endpoint.server.0).or_default();
            server.apply(endpoint, now, removal_is_advisory);
        }
        self.handle(Event::EndpointsChanged(EndpointList { complete, endpoints }));
    }

    /// Sends a client request to the router.
    fn send_request(&mut self, first: u32, second: u32) {
        let id = self.requests.len() as u64 + 1;
        let class = (first % DRAWN_CLASS_COUNT) as usize;
        let session = SessionId(u64::from(second % 3));
        let write_age = Micros::from(second % 400) * MILLISECOND;
        let last_write_position = (second & 8 != 0).then_some(self.now - write_age);
        let timeout = Micros::from(first % 2_000) * MILLISECOND;
        let group = second >> 4 & 1;
        let copy_candidates = self.draw_copy_candidates(first, second);
        let tracked = TrackedRequest {
            class,
            group,
            session: Some(session),
            required_session_position: self.session_position(class, session, last_write_position),
            deadline: self.now + timeout,
            attempts: vec![],
            copy_candidates: copy_candidates.clone(),
            finished: false,
        };
        self.requests.insert(id, tracked);
        self.handle(Event::Request(Request {
            id: RequestId(id),
            class: ClassId(class as u16),
            group: GroupId(group),
            tenant: TenantId(0),
            timeout,
            session: Some(session),
            last_write_position,
            copy_candidates,
        }));
    }

    /// Log position that a session read of the given class has to see; `None` for other classes or without a
    /// known write of the session.
    fn session_position(
        &self,
        class: usize,
        session: SessionId,
        last_write_position: Option<Micros>,
    ) -> Option<Micros> {
        let class = self.settings.classes.get(class)?;
        if class.consistency != Consistency::Session {
            return None;
        }
        match self.settings.session_positions {
            SessionPositionSource::FromRequest => last_write_position,
            SessionPositionSource::FromObservedWrites => self.session_positions.get(&session).copied(),
        }
    }

    fn in_flight(&self) -> Vec<InFlightAttempt> {
        let mut in_flight = Vec::new();
        for (id, request) in &self.requests {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.is_in_flight() {
                    in_flight.push(InFlightAttempt { request: *id, attempt: number });
                }
            }
        }
        in_flight
    }

    /// Ids of the requests that are not finished.
    fn unfinished_requests(&self) -> Vec<u64> {
        self.requests.iter().filter(|(_, request)| !request.finished).map(|(id, _)| *id).collect()
    }

    /// Instant at which an attempt in flight times out.
    fn times_out_at(&self, in_flight: InFlightAttempt) -> Micros {
        self.requests[&in_flight.request].attempts[in_flight.attempt].times_out_at
    }

    /// Advances the clock. Timers expire and attempts time out at their due times, attempts first at equal
    /// times.
    pub(crate) fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let next_timer = self.timers.iter().copied().min().unwrap_or(Micros::MAX);
            let next_timeout =
                self.in_flight().into_iter().min_by_key(|in_flight| self.times_out_at(*in_flight));
            let timeout_at = next_timeout.map_or(Micros::MAX, |in_flight| self.times_out_at(in_flight));
            if next_timer.min(timeout_at) > end {
                break;
            }
            self.now = self.now.max(next_timer.min(timeout_at));
            if timeout_at <= next_timer {
                let InFlightAttempt { request, attempt } = next_timeout.unwrap();
                self.complete_attempt(request, attempt, AttemptOutcome::Timeout, 7);
            } else {
                self.timers.retain(|at| *at != next_timer);
                self.handle(Event::Timer { id: 0 });
            }
        }
        self.now = end;
    }
}
