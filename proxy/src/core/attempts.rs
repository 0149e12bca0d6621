//! What becomes of attempts and probes: one outcome each, told to the decisions and to observers.

use super::{Answer, Attempt, Command, Core, Out, Work};
use crate::observe::CoreEvent;
use crate::reply::Reply;
use crate::stats::End;
use birchreach::*;

/// All machines read one clock, but not at the same instant.
const SKEW: Micros = 1_000_000;

impl<W: Work> Core<W> {
    /// Attempts that owe an outcome.
    pub fn attempts_out(&self) -> usize {
        self.out.len()
    }

    /// May this attempt still be written? Opening its connection took time, and what was told since
    /// may forbid it.
    pub fn may_write(&self, now: Micros, attempt: Attempt) -> bool {
        self.router.may_still_send(now, attempt.0, attempt.1)
    }

    /// A long value begins to come. False: its request has another answer.
    pub fn begun(&mut self, now: Micros, attempt: Attempt, length: usize) -> bool {
        let request = attempt.0;
        let Some(entry) = self.requests.get_mut(&request).filter(|e| e.passing.is_none()) else {
            return false;
        };
        entry.passing = Some(attempt);
        self.commands.push_back(Command::Begin { client: entry.client, request, attempt, length });
        if let Some(out) = self.out.get(&attempt) {
            self.observers.tell(now, CoreEvent::Alive { server: out.server });
        }
        self.handle(now, Event::ResponseStarted { request, attempt: attempt.1 });
        true
    }

    /// A piece of it, which goes on as it is.
    pub fn piece(&mut self, attempt: Attempt, bytes: Vec<u8>) {
        let request = attempt.0;
        if let Some(entry) = self.requests.get(&request).filter(|e| e.passing == Some(attempt)) {
            self.commands.push_back(Command::Piece { client: entry.client, request, bytes });
        }
    }

    /// An attempt's one outcome.
    pub fn outcome(&mut self, now: Micros, attempt: Attempt, reply: Reply) {
        let Some(Out { server, sent, class, copy }) = self.out.remove(&attempt) else { return };
        let (request, number) = attempt;
        self.tell_ended(now, server, self.classes.writes(class), &reply);
        if self.observers.any() {
            self.tell_served(now, request, server, copy, &reply);
        }
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.out = entry.out.saturating_sub(1);
            if entry.out == 0 {
                entry.idle_since = now;
            }
        }
        match self.requests.get(&request).map(|entry| (entry.passing, entry.client)) {
            Some((Some(passing), _)) if passing == attempt && reply.ending == AttemptOutcome::Ok => {
                self.answer(now, request, Answer::Passed);
            }
            // What has gone on cannot be taken back, nor sent again: only broken off, for all to see.
            Some((Some(passing), client)) if passing == attempt => {
                if let Some(entry) = self.requests.remove(&request) {
                    self.ended(now, &entry, End::Failed);
                }
                self.commands.push_back(Command::Break { client, request });
            }
            Some((None, _)) => {
                if let Some(value) = reply.value.filter(|_| reply.ending == AttemptOutcome::Ok) {
                    self.answer(now, request, Answer::Served(value));
                }
            }
            _ => {}
        }
        let outcome = AttemptResult {
            request,
            attempt: number,
            server,
            outcome: reply.ending,
            elapsed: now - sent,
            request_finished: !self.requests.contains_key(&request),
            status: reply
                .note
                .map(|n| ServerStatus { position: n.position.filter(|at| *at <= now + SKEW), ..n }),
            load_report: credible(reply.report, now),
        };
        self.handle(now, Event::AttemptCompleted(outcome));
    }

    fn tell_ended(&self, now: Micros, server: ServerId, write: bool, reply: &Reply) {
        let uid = self.servers.name(server);
        self.observers.tell(now, CoreEvent::Ended { server, uid, write, reply });
    }

    /// What a read's key was answered with, by a member of its group or from a copy.
    fn tell_served(&self, now: Micros, request: RequestId, server: ServerId, copy: bool, reply: &Reply) {
        let Some(entry) = self.requests.get(&request) else { return };
        let (group, class, key) = (entry.group, entry.class, entry.work.key());
        match &reply.value {
            _ if copy && matches!(reply.ending, AttemptOutcome::Ok | AttemptOutcome::Ineligible) => {
                self.observers.tell(now, CoreEvent::Copied { group, key, server, position: reply.copied });
            }
            Some(value) if !copy && !self.classes.writes(class) => {
                self.observers.tell(now, CoreEvent::Served { group, class, key, value });
            }
            _ => {}
        }
    }

    pub(super) fn probe(&mut self, now: Micros, server: ServerId) {
        self.observers.tell(now, CoreEvent::Sent { server });
        self.commands.push_back(Command::Probe { server });
    }

    /// A probe of the decisions came back.
    pub fn probed(&mut self, now: Micros, server: ServerId, reply: &Reply) {
        self.tell_ended(now, server, false, reply);
        let report = credible(reply.report, now);
        self.handle(now, Event::HealthCheckCompleted { server, outcome: reply.ending, load_report: report });
    }

    /// A probe came back that was sent for an observer's sake; the decisions did not ask for it.
    pub fn checked(&self, now: Micros, server: ServerId, reply: &Reply) {
        self.observers.tell(now, CoreEvent::Checked { server, reply });
    }

    /// A position that was proven elsewhere for the present boot of a server that the list names: the decisions take it as a
    /// lower bound, as they take a report.
    pub fn proven(&mut self, now: Micros, uid: &str, report: LoadReport) {
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
    pub fn ask_role(&mut self, now: Micros, uid: &str) {
        if let Some(server) = self.servers.numbered(uid).filter(|_| self.classes.may_probe()) {
            self.probe(now, server);
        }
    }

    /// A connection came up: its server lives.
    pub fn alive(&self, now: Micros, server: ServerId) {
        self.observers.tell(now, CoreEvent::Alive { server });
    }

    /// Discovery has answered.
    pub fn discovery(&self, now: Micros) {
        self.observers.tell(now, CoreEvent::Discovery);
    }

    /// Looks how long writes have been without an attempt out, and how many requests are.
    pub fn look_at_held(&self, now: Micros) -> usize {
        let idle = self.requests.values().filter(|e| e.out == 0);
        let held = idle.clone().count();
        let writes = idle.filter(|e| self.classes.writes(e.class)).map(|e| (e.group, e.idle_since));
        self.observers.tell(now, CoreEvent::Held { writes: &writes.collect::<Vec<_>>() });
        held
    }
}

/// A position that is yet to come is none, and a report that names one is spoilt.
fn credible(report: Option<LoadReport>, now: Micros) -> Option<LoadReport> {
    report.filter(|r| r.position.is_none_or(|at| at <= now + SKEW))
}
