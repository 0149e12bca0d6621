//! What must hold for each action, from the events that the router has received so far.

use super::*;

/// An attempt that the router sent.
pub(crate) struct Attempt {
    pub server: u32,
    pub sent_at: Micros,
    pub times_out_at: Micros,
    pub outcome: Option<AttemptOutcome>,
}

/// A request that a client sent.
pub(crate) struct TrackedRequest {
    pub class: usize,
    pub group: u32,
    pub session: Option<SessionId>,
    /// The position that a session read has to see.
    pub required_session_position: Option<Micros>,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub copy_candidates: Vec<CopyCandidate>,
    /// It has its final answer, or its client has disconnected.
    pub finished: bool,
}

impl TrackedRequest {
    /// Whether one of its attempts may have run at a server.
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}

impl Attempt {
    /// Whether it has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether the server may have run it, or may still run it.
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_executed)
    }
}

/// What the router was told of a server.
#[derive(Default)]
pub(crate) struct TrackedServer {
    pub group: u32,
    /// Since when it may not be sent new work.
    pub closed_at: Option<Micros>,
    pub was_ready: bool,
    pub position: Option<Micros>,
    /// It has been primary, and no response has said since that it is none.
    pub is_primary: bool,
}

/// A router, and what has to be known to check its actions.
pub(crate) struct Checker {
    pub settings: Settings,
    pub now: Micros,
    pub requests: BTreeMap<u64, TrackedRequest>,
    pub servers: BTreeMap<u32, TrackedServer>,
    /// The commit position of the last write of each session.
    pub session_positions: BTreeMap<SessionId, Micros>,
    pub timers: Vec<Micros>,
    pub last_event: Option<Event>,
    router: Router,
    history: Vec<TimedAction>,
}

impl Checker {
    /// A router that has just started.
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

    /// Passes an event to the router and checks its actions.
    pub(crate) fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event.clone(), &mut actions);
        self.last_event = Some(event);
        self.check(actions);
    }

    /// Checks that no request is without a final answer.
    pub(crate) fn assert_all_finished(&self) {
        assert!(self.requests.values().all(|request| request.finished), "a request without a final answer");
        assert_eq!(self.router.open_request_count(), 0);
    }

    /// Every action so far.
    pub(crate) fn into_history(self) -> Vec<TimedAction> {
        self.history
    }

    /// Checks actions and follows what they do.
    fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.history.push(TimedAction { at: self.now, action: action.clone() });
            match action {
                Action::Send { request, server, timeout } => self.check_send(request.0, server.0, timeout),
                Action::Reject { request, .. } => self.check_rejection(request.0),
                Action::Fail { request } => self.check_final_answer(request.0),
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

    /// A rejection invites the client to retry: nothing may have run that must not run twice.
    fn check_rejection(&mut self, id: u64) {
        let request = &self.requests[&id];
        let class = self.settings.classes.get(request.class);
        let is_idempotent = class.is_none_or(|class| class.idempotency == Idempotency::Idempotent);
        assert!(!request.may_have_run() || is_idempotent, "rejected a request that may have run");
        self.check_final_answer(id);
    }

    /// There is one final answer, and it is in time.
    fn check_final_answer(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("an answer to a request that was sent");
        assert!(!request.finished, "a second final answer");
        assert!(self.now <= request.deadline, "an answer after the client has given up");
        request.finished = true;
    }

    /// Attempts are few enough, and each goes to a server that may get it.
    fn check_send(&mut self, id: u64, server_id: u32, timeout: Micros) {
        let request = &self.requests[&id];
        assert!(!request.finished, "sent after the final answer");
        assert!(request.attempts.len() < usize::from(self.settings.max_attempts), "too many attempts");
        self.check_server_accepts_work(server_id);
        self.check_repeat(request);
        self.check_server_may_answer(request, server_id);
        let times_out_at = self.now + timeout.max(0);
        let attempt = Attempt { server: server_id, sent_at: self.now, times_out_at, outcome: None };
        self.requests.get_mut(&id).unwrap().attempts.push(attempt);
    }

    /// No work goes to a server that is draining or removed for longer than the grace.
    fn check_server_accepts_work(&self, server_id: u32) {
        let server = self.servers.get(&server_id).expect("a server that was listed");
        let is_in_time = server.closed_at.is_none_or(|at| self.now <= at + self.settings.drain_grace);
        assert!(is_in_time, "sent past the drain grace");
    }

    /// Another attempt at a request that may have run is allowed by its idempotency alone.
    fn check_repeat(&self, request: &TrackedRequest) {
        let is_hedged = request.attempts.iter().any(Attempt::is_in_flight);
        assert!(!is_hedged || self.settings.hedging_allowed, "two attempts in flight");
        let possible_executions = request.attempts.iter().filter(|attempt| attempt.may_have_run());
        let Some(first_sent_at) = possible_executions.map(|attempt| attempt.sent_at).min() else { return };
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => panic!("a request that is not idempotent was sent again"),
            Idempotency::WithKey { dedup_window, .. } => {
                assert!(self.now - first_sent_at < dedup_window, "repeated after its dedup window")
            }
        }
    }

    /// A read goes to a server that is proven to be fresh enough, to a copy that is likely to be, or to one
    /// that rejects stale reads itself.
    fn check_server_may_answer(&self, request: &TrackedRequest, server_id: u32) {
        let server = &self.servers[&server_id];
        let copies = request.copy_candidates.iter().filter(|copy| copy.server.0 == server_id);
        let copy_position = copies.map(|copy| copy.likely_position).max();
        let is_in_group = server.group == request.group;
        assert!(is_in_group || copy_position.is_some(), "a server of another group");

        let consistency = self.settings.classes[request.class].consistency;
        let is_copy = !is_in_group;
        assert!(!is_copy || !consistency.requires_primary(), "a copy was sent a write or strong read");
        let required = self.required_position(request, consistency);
        let has_reached =
            |position: Option<Micros>| required.is_none_or(|required| position >= Some(required));
        let is_proven = server.is_primary || has_reached(server.position);
        let is_likely = is_copy && has_reached(copy_position);
        let is_checked_by_server = self.settings.stale_reads == StaleReadPolicy::Rejected;
        assert!(is_proven || is_likely || is_checked_by_server, "a read sent without proof");
    }

    /// The position that the server of a request has to have reached.
    fn required_position(&self, request: &TrackedRequest, consistency: Consistency) -> Option<Micros> {
        match consistency {
            Consistency::Any | Consistency::Write => None,
            Consistency::Strong => Some(Micros::MAX),
            Consistency::BoundedStaleness(max_age) => Some(self.now - max_age),
            Consistency::Session => request.required_session_position,
        }
    }
}
