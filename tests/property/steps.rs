//! Events drawn from numbers, so that any sequence of numbers is a legal sequence of events.

use super::checker::{TrackedRequest, TrackedServer};
use super::*;

/// What kind of event, and two numbers from which its details are drawn.
pub(crate) type Step = (u8, u32, u32);

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

/// An attempt in flight: the request's id and the number of the attempt.
type InFlight = (u64, usize);

impl TrackedServer {
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

    fn close(&mut self, now: Micros) {
        self.closed_at = self.closed_at.or(Some(now));
    }
}

impl Checker {
    pub(crate) fn run_step(&mut self, (kind, x, y): Step) {
        let in_flight = self.in_flight();
        let unfinished: Vec<u64> = self.unfinished_requests();
        match kind % 12 {
            0..=3 => self.send_request(x, y),
            4..=6 if !in_flight.is_empty() => {
                let (id, attempt) = in_flight[x as usize % in_flight.len()];
                self.complete_attempt(id, attempt, OUTCOMES[(y >> 16) as usize % OUTCOMES.len()], y);
            }
            7 => self.advance(Micros::from(x % 900) * MILLISECOND),
            8 => self.change_endpoints(y & 4 != 0, x, y),
            9 => self.complete_health_check(x, y),
            10 if !unfinished.is_empty() => {
                let id = unfinished[x as usize % unfinished.len()];
                self.requests.get_mut(&id).unwrap().finished = true;
                self.handle(Event::ClientDisconnected { request: RequestId(id) });
            }
            11 if self.may_repeat_last_event() => self.handle(self.last_event.clone().unwrap()),
            _ => self.handle(Event::EndpointPollFailed),
        }
    }

    /// Whether the router has to ignore the last event when it comes twice.
    fn may_repeat_last_event(&self) -> bool {
        matches!(
            self.last_event,
            Some(Event::AttemptCompleted(_) | Event::ClientDisconnected { .. } | Event::Timer { .. })
        )
    }

    pub(crate) fn change_endpoints(&mut self, complete: bool, x: u32, y: u32) {
        let endpoints = self.draw_endpoints(x, y);
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

    fn draw_endpoints(&self, x: u32, y: u32) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for id in 1..=6_u32 {
            let bits = x.rotate_right(id * 5);
            let is_missing = bits & 3 == 3;
            if is_missing {
                continue;
            }
            let state = match bits >> 2 & 7 {
                0 => EndpointState::Draining,
                1 => EndpointState::Removed,
                _ => EndpointState::Ready,
            };
            let has_started = y.rotate_right(id * 3) & 7 == 0;
            endpoints.push(Endpoint {
                server: ServerId(id),
                group: GroupId(id % 2),
                zone: ZoneId(0),
                state,
                started_at: has_started.then_some(self.now - 100 * MILLISECOND),
                weight: [1.0, 0.5, f64::NAN, -1.0][(y.rotate_right(id) & 3) as usize],
                primary: id <= 2,
            });
        }
        let lists_first_twice = y & 1 == 0;
        if lists_first_twice && !endpoints.is_empty() {
            endpoints.push(endpoints[0].clone());
        }
        endpoints
    }

    fn send_request(&mut self, x: u32, y: u32) {
        let id = self.requests.len() as u64 + 1;
        let class = (x % 6) as usize; // one more than there are
        let session = SessionId(u64::from(y % 3));
        let last_write_position = (y & 8 != 0).then_some(self.now - Micros::from(y % 400) * MILLISECOND);
        let timeout = Micros::from(x % 2_000) * MILLISECOND;
        let group = y >> 4 & 1;
        let copies = self.draw_copies(x, y);
        let tracked = TrackedRequest {
            class,
            group,
            session: Some(session),
            required_session_position: self.session_position(class, session, last_write_position),
            deadline: self.now + timeout,
            attempts: vec![],
            copies: copies.clone(),
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
            copy_candidates: copies.into_iter().map(|(id, at)| copy_candidate(id, at)).collect(),
        }));
    }

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

    /// Copy candidates. Some are members of the group itself, or unknown: the router must not rely on them.
    fn draw_copies(&self, x: u32, y: u32) -> Vec<(u32, Micros)> {
        if x & 64 == 0 {
            return vec![];
        }
        let copy = |index: u32| {
            let server = 1 + (y >> (8 + index)) % 7;
            (server, self.now - Micros::from(y >> index & 511) * MILLISECOND)
        };
        (0..3).map(copy).collect()
    }

    fn in_flight(&self) -> Vec<InFlight> {
        let mut in_flight = Vec::new();
        for (id, request) in &self.requests {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.is_in_flight() {
                    in_flight.push((*id, number));
                }
            }
        }
        in_flight
    }

    fn unfinished_requests(&self) -> Vec<u64> {
        self.requests.iter().filter(|(_, request)| !request.finished).map(|(id, _)| *id).collect()
    }

    /// Lets time pass: timers expire when they are due, and attempts time out.
    pub(crate) fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        let times_out_at =
            |checker: &Self, (id, attempt): InFlight| checker.requests[&id].attempts[attempt].times_out_at;
        loop {
            let next_timer = self.timers.iter().copied().min().unwrap_or(Micros::MAX);
            let next_timeout =
                self.in_flight().into_iter().min_by_key(|in_flight| times_out_at(self, *in_flight));
            let timeout_at = next_timeout.map_or(Micros::MAX, |in_flight| times_out_at(self, in_flight));
            if next_timer.min(timeout_at) > end {
                break;
            }
            self.now = self.now.max(next_timer.min(timeout_at));
            if timeout_at <= next_timer {
                let (id, attempt) = next_timeout.unwrap();
                self.complete_attempt(id, attempt, AttemptOutcome::Timeout, 7);
            } else {
                self.timers.retain(|at| *at != next_timer);
                self.handle(Event::Timer { id: 0 });
            }
        }
        self.now = end;
    }
}
