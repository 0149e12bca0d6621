//! Health checks that the router or observers request, and positions that other proxies report.

use super::attempts::discard_if_in_future;
use super::{Command, Core, RequestPayload};
use crate::observe::CoreEvent;
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Event, LoadReport, Micros, ServerId};

impl<P: RequestPayload> Core<P> {
    /// Commands the event loop to check the health of a server.
    pub(super) fn start_health_check(&mut self, now: Micros, server: ServerId) {
        self.observers.notify(now, CoreEvent::AttemptSent { server });
        self.commands.push_back(Command::HealthCheck { server });
    }

    /// Handles the result of a health check that the router or [`Core::check_role`] requested.
    pub(crate) fn health_check_completed(&mut self, now: Micros, server: ServerId, reply: &Reply) {
        self.notify_attempt_ended(now, server, false, reply);
        let load_report = discard_if_in_future(reply.load_report, now);
        self.handle(now, Event::HealthCheckCompleted { server, outcome: reply.outcome, load_report });
    }

    /// Handles the result of a health check that an observer requested. The result is not reported to the router.
    pub(crate) fn monitor_check_completed(&self, now: Micros, server: ServerId, reply: &Reply) {
        self.observers.notify(now, CoreEvent::MonitorCheckEnded { server, reply });
    }

    /// Records a position that another proxy observed at the current process of a listed server. The router uses the position as
    /// a lower bound, like the position of a load report.
    pub(crate) fn record_remote_position(&mut self, now: Micros, uid: &str, report: LoadReport) {
        let load_report = discard_if_in_future(Some(report), now);
        if let (Some(server), Some(_)) = (self.servers.find_by_uid(uid), load_report) {
            let outcome = AttemptOutcome::Ok;
            self.handle(now, Event::HealthCheckCompleted { server, outcome, load_report });
        }
    }

    /// Starts a health check that determines the role of a server, if the settings allow health checks.
    pub(crate) fn check_role(&mut self, now: Micros, uid: &str) {
        if let Some(server) = self.servers.find_by_uid(uid).filter(|_| self.classes.health_checks_allowed()) {
            self.start_health_check(now, server);
        }
    }

    /// Notifies observers that a connection to a server was established.
    pub(crate) fn server_alive(&self, now: Micros, server: ServerId) {
        self.observers.notify(now, CoreEvent::ServerAlive { server });
    }

    /// Notifies observers that discovery answered a poll.
    pub(crate) fn discovery_answered(&self, now: Micros) {
        self.observers.notify(now, CoreEvent::DiscoveryAnswered);
    }
}
