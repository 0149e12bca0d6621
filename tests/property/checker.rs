//! Checks each action of the router against the events that the router received before the action.

use super::*;

/// An attempt that the router has sent.
pub(crate) struct Attempt {
    pub server: u32,
    pub sent_at: Micros,
    pub times_out_at: Micros,
    /// `None` while the attempt is in flight.
    pub outcome: Option<AttemptOutcome>,
}

/// A request that a client has sent.
pub(crate) struct TrackedRequest {
    pub class: usize,
    pub group: u32,
    pub session: Option<SessionId>,
    /// Log position that a session read has to see; `None` without such a requirement.
    pub required_session_position: Option<Micros>,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub copy_candidates: Vec<CopyCandidate>,
    /// Whether the request has its final response or its client has disconnected.
    pub finished: bool,
}

impl TrackedRequest {
    /// Whether a server may have run any attempt of the request, or may still run it.
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}

impl Attempt {
    /// Whether the attempt has no outcome yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether the server may have run the attempt, or may still run it.
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_executed)
    }
}

/// State of a server according to the events passed to the router.
#[derive(Default)]
pub(crate) struct TrackedServer {
    pub group: u32,
    /// Time from which the server accepts no new work; `None` while it accepts work.
    pub closed_at: Option<Micros>,
    /// Whether the server has been listed as ready and not as draining since then.
    pub was_ready: bool,
    /// Highest reported log position.
    pub position: Option<Micros>,
    /// Whether the server was named or reported as the primary, and no response has reported another role
    /// since.
    pub is_primary: bool,
}

/// A router, and the state required to check its actions.
pub(crate) struct Checker {
    pub settings: Settings,
    pub now: Micros,
    pub requests: BTreeMap<u64, TrackedRequest>,
    pub servers: BTreeMap<u32, TrackedServer>,
    /// Highest commit position of the writes of each session.
    pub session_positions: BTreeMap<SessionId, Micros>,
    /// Instants at which the pending timers expire.
    pub timers: Vec<Micros>,
    pub last_event: Option<Event>,
    router: Router,
    history: Vec<TimedAction>,
}

impl Checker {
    /// Creates a router and checks its initial actions.
    pub(crate) fn new(settings: Settings, seed: u64) -> Self {
        let now = 100_000 * MILLISECOND;
        let mut actions = Vec::new();
        let router = Router::new(settings.clone(), seed, now, &mut actions);
        let mut checker = Checker {
            settings,
            now,
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            session_positions: BTreeMap::new(),
            timers: vec![],
            last_event: None,
            router,
            history: vec![],
        };
        checker.check(actions);
        checker
    }

    /// Passes an event to the router and checks the resulting actions.
    pub(crate) fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event.clone(), &mut actions);
        self.last_event = Some(event);
        self.check(actions);
    }

    /// Asserts that every request is finished.
    pub(crate) fn assert_all_finished(&self) {
        assert!(self.requests.values().all(|request| request.finished), "a request has no final response");
        assert_eq!(self.router.open_request_count(), 0);
    }

    /// Returns all actions of the router.
    pub(crate) fn into_history(self) -> Vec<TimedAction> {
        self.history
    }

    /// Checks actions and updates the tracked state.
    fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.history.push(TimedAction { at: self.now, action: action.clone() });
            match action {
                Action::Send { request, server, timeout } => self.check_send(request.0, server.0, timeout),
                Action::Reject { request, .. } => self.check_rejection(request.0),
                Action::Fail { request } => self.check_final_response(request.0),
                Action::Cancel { request, attempt } => {
                    assert!(self.settings.cancellation_allowed);
                    assert!(usize::from(attempt.0) < self.requests[&request.0].attempts.len());
                }
                Action::HealthCheck { server } => {
                    assert!(self.settings.health_checks_allowed && self.servers.contains_key(&server.0));
                }
                Action::Timer { delay, .. } => self.timers.push(self.now + delay.max(0)),
                Action::WatchEndpoints => {
                    assert_eq!(self.settings.endpoint_discovery, EndpointDiscovery::Polled)
                }
                Action::Log(_) => {}
            }
        }
    }

    /// Checks a rejection. A client may retry a rejected request, so a request that must not run twice may be
    /// rejected only if no attempt can have run.
    fn check_rejection(&mut self, id: u64) {
        let request = &self.requests[&id];
        let class = self.settings.classes.get(request.class);
        let is_idempotent = class.is_none_or(|class| class.idempotency == Idempotency::Idempotent);
        assert!(!request.may_have_run() || is_idempotent, "rejected a request that may have run");
        self.check_final_response(id);
    }

    /// Checks that a request gets a single final response, which is not after its deadline.
    fn check_final_response(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("a response to a request that was sent");
        assert!(!request.finished, "a second final response");
        assert!(self.now <= request.deadline, "a response after the deadline of the request");
        request.finished = true;
    }

    /// Checks that the request has attempts left and that the server may get this attempt.
    fn check_send(&mut self, id: u64, server_id: u32, timeout: Micros) {
        let request = &self.requests[&id];
        assert!(!request.finished, "an attempt was sent after the final response");
        assert!(request.attempts.len() < usize::from(self.settings.max_attempts), "too many attempts");
        self.check_server_accepts_work(server_id);
        self.check_retry(request);
        self.check_server_may_answer(request, server_id);
        let times_out_at = self.now + timeout.max(0);
        let attempt = Attempt { server: server_id, sent_at: self.now, times_out_at, outcome: None };
        self.requests.get_mut(&id).unwrap().attempts.push(attempt);
    }

    /// Checks that the server accepts work, or was closed no longer than the drain grace ago.
    fn check_server_accepts_work(&self, server_id: u32) {
        let server = self.servers.get(&server_id).expect("a server that was listed");
        let is_in_time = server.closed_at.is_none_or(|at| self.now <= at + self.settings.drain_grace);
        assert!(is_in_time, "an attempt was sent after the drain grace");
    }

    /// Checks that another attempt is allowed: by the hedging setting if an attempt is in flight, and by the
    /// idempotency of the class if an attempt may have run.
    fn check_retry(&self, request: &TrackedRequest) {
        let is_hedged = request.attempts.iter().any(Attempt::is_in_flight);
        assert!(!is_hedged || self.settings.hedging_allowed, "two attempts in flight without hedging");
        let possible_executions = request.attempts.iter().filter(|attempt| attempt.may_have_run());
        let Some(first_sent_at) = possible_executions.map(|attempt| attempt.sent_at).min() else { return };
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => panic!("a non-idempotent request that may have run was retried"),
            Idempotency::WithKey { dedup_window, .. } => {
                assert!(self.now - first_sent_at < dedup_window, "retried after the deduplication window")
            }
        }
    }

    /// Checks that the server belongs to the group or is a copy candidate, and that it is fresh enough for a
    /// read. A member has to be proven fresh enough, and a copy has to be probably fresh enough. Neither is
    /// required if servers reject stale reads.
    fn check_server_may_answer(&self, request: &TrackedRequest, server_id: u32) {
        let server = &self.servers[&server_id];
        let copies = request.copy_candidates.iter().filter(|copy| copy.server.0 == server_id);
        let copy_position = copies.map(|copy| copy.likely_position).max();
        let is_in_group = server.group == request.group;
        assert!(is_in_group || copy_position.is_some(), "an attempt was sent to a server of another group");

        let consistency = self.settings.classes[request.class].consistency;
        let is_copy = !is_in_group;
        assert!(!is_copy || !consistency.requires_primary(), "a write or strong read was sent to a copy");
        let required = self.required_position(request, consistency);
        let has_reached =
            |position: Option<Micros>| required.is_none_or(|required| position >= Some(required));
        let is_proven = server.is_primary || has_reached(server.position);
        let is_likely = is_copy && has_reached(copy_position);
        let is_checked_by_server = self.settings.stale_reads == StaleReadPolicy::Rejected;
        assert!(
            is_proven || is_likely || is_checked_by_server,
            "a read was sent to a server that is not proven fresh enough"
        );
    }

    /// Log position that a server has to have reached for a request; `None` if any position is sufficient.
    fn required_position(&self, request: &TrackedRequest, consistency: Consistency) -> Option<Micros> {
        match consistency {
            Consistency::Any | Consistency::Write => None,
            Consistency::Strong => Some(Micros::MAX),
            Consistency::BoundedStaleness(max_age) => Some(self.now - max_age),
            Consistency::Session => request.required_session_position,
        }
    }
}
