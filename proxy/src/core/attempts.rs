//! What becomes of attempts and probes: one outcome each, told to the decisions and to observers.

use super::{Answer, AttemptId, Command, Core, InFlightAttempt, RequestPayload};
use crate::observe::CoreEvent;
use crate::reply::Reply;
use crate::stats::RequestResult;
use birchreach::*;

/// All machines read one clock, but not at the same instant.
const SKEW: Micros = 1_000_000;

impl<W: RequestPayload> Core<W> {
    /// Attempts that owe an outcome.
    pub fn attempts_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// May this attempt still be written? Opening its connection took time, and what was told since
    /// may forbid it.
    pub fn may_still_send(&self, now: Micros, attempt: AttemptId) -> bool {
        self.router.may_still_send(now, attempt.request, attempt.number)
    }

    /// A long value begins to come. False: its request has another answer.
    pub fn response_started(&mut self, now: Micros, attempt: AttemptId, length: usize) -> bool {
        let request = attempt.request;
        let Some(entry) = self.requests.get_mut(&request).filter(|e| e.streaming_attempt.is_none()) else {
            return false;
        };
        entry.streaming_attempt = Some(attempt);
        self.commands.push_back(Command::BeginStream { client: entry.client, request, attempt, length });
        if let Some(out) = self.in_flight.get(&attempt) {
            self.observers.notify(now, CoreEvent::ServerAlive { server: out.server });
        }
        self.handle(now, Event::ResponseStarted { request, attempt: attempt.number });
        true
    }

    /// A piece of it, which goes on as it is.
    pub fn response_chunk(&mut self, attempt: AttemptId, bytes: Vec<u8>) {
        let request = attempt.request;
        if let Some(entry) = self.requests.get(&request).filter(|e| e.streaming_attempt == Some(attempt)) {
            self.commands.push_back(Command::StreamChunk { client: entry.client, request, bytes });
        }
    }

    /// An attempt's one outcome.
    pub fn attempt_completed(&mut self, now: Micros, attempt: AttemptId, reply: Reply) {
        let Some(InFlightAttempt { server, sent_at: sent, class, from_copy: copy }) =
            self.in_flight.remove(&attempt)
        else {
            return;
        };
        let AttemptId { request, number } = attempt;
        self.tell_ended(now, server, self.classes.writes(class), &reply);
        if self.observers.any() {
            self.tell_served(now, request, server, copy, &reply);
        }
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.attempts_in_flight = entry.attempts_in_flight.saturating_sub(1);
            if entry.attempts_in_flight == 0 {
                entry.idle_since = now;
            }
        }
        match self.requests.get(&request).map(|entry| (entry.streaming_attempt, entry.client)) {
            Some((Some(passing), _)) if passing == attempt && reply.outcome == AttemptOutcome::Ok => {
                self.answer(now, request, Answer::Streamed);
            }
            // What has gone on cannot be taken back, nor sent again: only broken off, for all to see.
            Some((Some(passing), client)) if passing == attempt => {
                if let Some(entry) = self.requests.remove(&request) {
                    self.ended(now, &entry, RequestResult::Failed);
                }
                self.commands.push_back(Command::AbortStream { client, request });
            }
            Some((None, _)) => {
                if let Some(value) = reply.value.filter(|_| reply.outcome == AttemptOutcome::Ok) {
                    self.answer(now, request, Answer::Served(value));
                }
            }
            _ => {}
        }
        let outcome = AttemptResult {
            request,
            attempt: number,
            server,
            outcome: reply.outcome,
            elapsed: now - sent,
            request_finished: !self.requests.contains_key(&request),
            status: reply
                .status
                .map(|n| ServerStatus { position: n.position.filter(|at| *at <= now + SKEW), ..n }),
            load_report: credible(reply.load_report, now),
        };
        self.handle(now, Event::AttemptCompleted(outcome));
    }

    fn tell_ended(&self, now: Micros, server: ServerId, write: bool, reply: &Reply) {
        let uid = self.servers.name(server);
        self.observers.notify(now, CoreEvent::AttemptEnded { server, uid, write, reply });
    }

    /// What a read's key was answered with, by a member of its group or from a copy.
    fn tell_served(&self, now: Micros, request: RequestId, server: ServerId, copy: bool, reply: &Reply) {
        let Some(entry) = self.requests.get(&request) else { return };
        let (group, class, key) = (entry.group, entry.class, entry.payload.key());
        match &reply.value {
            _ if copy && matches!(reply.outcome, AttemptOutcome::Ok | AttemptOutcome::Ineligible) => {
                self.observers
                    .notify(now, CoreEvent::CopyRead { group, key, server, position: reply.copy_position });
            }
            Some(value) if !copy && !self.classes.writes(class) => {
                self.observers.notify(now, CoreEvent::ReadServed { group, class, key, value });
            }
            _ => {}
        }
    }

    pub(super) fn probe(&mut self, now: Micros, server: ServerId) {
        self.observers.notify(now, CoreEvent::AttemptSent { server });
        self.commands.push_back(Command::HealthCheck { server });
    }

    /// A probe of the decisions came back.
    pub fn health_check_completed(&mut self, now: Micros, server: ServerId, reply: &Reply) {
        self.tell_ended(now, server, false, reply);
        let report = credible(reply.load_report, now);
        self.handle(now, Event::HealthCheckCompleted { server, outcome: reply.outcome, load_report: report });
    }

    /// A probe came back that was sent for an observer's sake; the decisions did not ask for it.
    pub fn monitor_check_completed(&self, now: Micros, server: ServerId, reply: &Reply) {
        self.observers.notify(now, CoreEvent::MonitorCheckEnded { server, reply });
    }

    /// A position that was proven elsewhere for the present boot of a server that the list names: the decisions take it as a
    /// lower bound, as they take a report.
    pub fn record_remote_position(&mut self, now: Micros, uid: &str, report: LoadReport) {
        if let (Some(server), Some(report)) = (self.servers.numbered(uid), credible(Some(report), now)) {
            self.handle(
                now,
                Event::HealthCheckCompleted {
                    server,
                    outcome: AttemptOutcome::Ok,
                    load_report: Some(report),
                },
            );
        }
    }

    /// A server is asked what it is, where probes are allowed.
    pub fn check_role(&mut self, now: Micros, uid: &str) {
        if let Some(server) = self.servers.numbered(uid).filter(|_| self.classes.may_probe()) {
            self.probe(now, server);
        }
    }

    /// A connection came up: its server lives.
    pub fn server_alive(&self, now: Micros, server: ServerId) {
        self.observers.notify(now, CoreEvent::ServerAlive { server });
    }

    /// Discovery has answered.
    pub fn discovery_answered(&self, now: Micros) {
        self.observers.notify(now, CoreEvent::DiscoveryAnswered);
    }

    /// Looks how long writes have been without an attempt out, and how many requests are.
    pub fn report_queued(&self, now: Micros) -> usize {
        let idle = self.requests.values().filter(|e| e.attempts_in_flight == 0);
        let held = idle.clone().count();
        let writes = idle.filter(|e| self.classes.writes(e.class)).map(|e| (e.group, e.idle_since));
        self.observers.notify(now, CoreEvent::QueuedWrites { writes: &writes.collect::<Vec<_>>() });
        held
    }
}

/// A position that is yet to come is none, and a report that names one is spoilt.
fn credible(report: Option<LoadReport>, now: Micros) -> Option<LoadReport> {
    report.filter(|r| r.position.is_none_or(|at| at <= now + SKEW))
}
