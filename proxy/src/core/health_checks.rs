//! Health checks of servers, by the router and by observers, and reports of other proxies about servers.

use super::attempts::discard_if_in_future;
use super::{Command, Core, RequestPayload};
use crate::observe::CoreEvent;
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Event, LoadReport, Micros, ServerId};

impl<P: RequestPayload> Core<P> {
    /// Commands the event loop to check a server.
    pub(super) fn start_health_check(&mut self, now: Micros, server: ServerId) {
        self.observers.notify(now, CoreEvent::AttemptSent { server });
        self.commands.push_back(Command::HealthCheck { server });
    }

    /// A health check of the router ended.
    pub(crate) fn health_check_completed(&mut self, now: Micros, server: ServerId, reply: &Reply) {
        self.notify_attempt_ended(now, server, false, reply);
        let load_report = discard_if_in_future(reply.load_report, now);
        self.handle(now, Event::HealthCheckCompleted { server, outcome: reply.outcome, load_report });
    }

    /// A health check ended that an observer requested; its result is not reported to the router.
    pub(crate) fn monitor_check_completed(&self, now: Micros, server: ServerId, reply: &Reply) {
        self.observers.notify(now, CoreEvent::MonitorCheckEnded { server, reply });
    }

    /// Another proxy has observed a position of the present process of a listed server. The router uses it as a lower bound, like a
    /// load report.
    pub(crate) fn record_remote_position(&mut self, now: Micros, uid: &str, report: LoadReport) {
        let load_report = discard_if_in_future(Some(report), now);
        if let (Some(server), Some(_)) = (self.servers.find_by_uid(uid), load_report) {
            let outcome = AttemptOutcome::Ok;
            self.handle(now, Event::HealthCheckCompleted { server, outcome, load_report });
        }
    }

    /// Checks the role of a server, where health checks are allowed.
    pub(crate) fn check_role(&mut self, now: Micros, uid: &str) {
        if let Some(server) = self.servers.find_by_uid(uid).filter(|_| self.classes.health_checks_allowed()) {
            self.start_health_check(now, server);
        }
    }

    /// A connection to a server was established.
    pub(crate) fn server_alive(&self, now: Micros, server: ServerId) {
        self.observers.notify(now, CoreEvent::ServerAlive { server });
    }

    /// Discovery answered a poll.
    pub(crate) fn discovery_answered(&self, now: Micros) {
        self.observers.notify(now, CoreEvent::DiscoveryAnswered);
    }
}
