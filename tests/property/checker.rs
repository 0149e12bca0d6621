//! What must hold of each action.

use super::*;

impl Checker {
    pub fn new(set: Settings, seed: u64) -> Self {
        let mut out = Vec::new();
        let now = 100_000 * MS;
        let router = Router::new(set.clone(), seed, now, &mut out);
        let (asked, told, written) = Default::default();
        let mut all =
            Checker { set, router, now, asked, told, written, timers: vec![], log: vec![], last: None };
        all.check(out);
        all
    }

    pub fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.router.handle(self.now, event.clone(), &mut out);
        self.last = Some(event);
        self.check(out);
    }

    pub fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.log.push((self.now, action.clone()));
            match action {
                Action::Send { request, server, timeout: patience } => {
                    self.sent(request.0, server.0, patience)
                }
                Action::Reject { request, .. } => {
                    let a = &self.asked[&request.0];
                    let clean =
                        a.attempts.iter().all(|t| t.ended.is_some_and(AttemptOutcome::never_executed));
                    let safe = self
                        .set
                        .classes
                        .get(a.class)
                        .is_none_or(|c| c.idempotency == Idempotency::Idempotent);
                    assert!(clean || safe, "refused what may have run");
                    self.answered(request.0);
                }
                Action::Fail { request } => self.answered(request.0),
                Action::Cancel { request, attempt } => {
                    assert!(self.set.cancellation_allowed);
                    assert!(usize::from(attempt.0) < self.asked[&request.0].attempts.len());
                }
                Action::HealthCheck { server } => {
                    assert!(self.set.health_checks_allowed && self.told.contains_key(&server.0));
                }
                Action::Timer { delay: after, .. } => self.timers.push(self.now + after.max(0)),
                Action::WatchEndpoints => {
                    assert_eq!(self.set.endpoint_discovery, EndpointDiscovery::Polled)
                }
                Action::Log(_) => {}
            }
        }
    }

    pub fn answered(&mut self, id: u64) {
        let a = self.asked.get_mut(&id).expect("an answer to a request that came");
        assert!(!a.over, "a second final answer");
        assert!(self.now <= a.deadline, "an answer after the client has given up");
        a.over = true;
    }

    pub fn sent(&mut self, id: u64, server: u32, patience: Micros) {
        let now = self.now;
        let a = &self.asked[&id];
        assert!(!a.over, "sent after the final answer");
        assert!(a.attempts.len() < usize::from(self.set.max_attempts), "too many attempts");
        let told = self.told.get(&server).expect("a server that was listed");
        let guest = a.guests.iter().filter(|g| g.0 == server).map(|g| g.1).max();
        assert!(told.group == a.group || guest.is_some(), "a server of another group");
        assert!(told.closed.is_none_or(|at| now <= at + self.set.drain_grace), "sent past the drain grace");
        let out = a.attempts.iter().any(|t| t.ended.is_none());
        assert!(!out || self.set.hedging_allowed, "two at once");
        let class = &self.set.classes[a.class];
        let ran = a
            .attempts
            .iter()
            .filter(|t| !t.ended.is_some_and(AttemptOutcome::never_executed))
            .map(|t| t.sent)
            .min();
        if let Some(at) = ran {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => panic!("an unsafe request sent again"),
                Idempotency::WithKey { dedup_window: window, .. } => {
                    assert!(now - at < window, "repeated past its window")
                }
            }
        }
        let needs = match class.consistency {
            Consistency::Any | Consistency::Write => None,
            Consistency::Strong => Some(Micros::MAX),
            Consistency::BoundedStaleness(age) => Some(now - age),
            Consistency::Session => a.token,
        };
        let proven = told.primary || needs.is_none_or(|at| told.position >= Some(at));
        let copy = guest.filter(|_| told.group != a.group);
        assert!(
            copy.is_none() || !class.consistency.requires_primary(),
            "a guest was asked for what must be current"
        );
        let likely = copy.is_some_and(|at| needs.is_none_or(|needs| at >= needs));
        assert!(
            proven || likely || self.set.stale_reads == StaleReadPolicy::Rejected,
            "a read sent without proof"
        );
        let attempt = Attempt { server, sent: now, until: now + patience.max(0), ended: None };
        self.asked.get_mut(&id).unwrap().attempts.push(attempt);
    }
}
