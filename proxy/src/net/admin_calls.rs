//! Answers the calls of operators with the reports of the subsystems.

use super::EventLoop;
use super::ids::AdminKey;
use crate::admin_protocol::{AdminCall, AdminReply};
use crate::memory::MemoryReport;
use birchreach_health::HealthEvent;

impl EventLoop {
    /// Reads an operator's connection, and answers the call once all of it has arrived.
    pub(super) fn handle_admin(&mut self, key: AdminKey) {
        let Some(call) = self.admin.handle_ready(&mut self.context, key) else { return };
        let reply = self.admin_reply(call);
        self.admin.answer(&mut self.context, key, &reply);
        if let AdminCall::Maintenance(on) = call
            && self.has_health_reporting()
        {
            self.record_health_event(HealthEvent::Maintenance(on));
        }
    }

    /// Returns the reply to a call. Calls to a disabled subsystem are unknown calls.
    fn admin_reply(&self, call: AdminCall) -> AdminReply {
        let lines_or_unknown =
            |report: Option<String>| report.map_or(AdminReply::UnknownCall, AdminReply::Lines);
        match call {
            AdminCall::Status if self.stopping => AdminReply::No("stopping"),
            AdminCall::Status if self.handover.awaits_predecessor() => {
                AdminReply::No("waiting for the process that it replaces")
            }
            AdminCall::Status => AdminReply::Yes("it takes clients"),
            AdminCall::Stats => {
                let core = &self.context.core;
                AdminReply::Lines(core.stats.lines(core.gauges(self.context.now)))
            }
            AdminCall::Memory => AdminReply::Lines(self.memory_report().lines()),
            AdminCall::Fleet => lines_or_unknown(self.admin_reports().fleet),
            AdminCall::Hot => lines_or_unknown(self.admin_reports().hot),
            AdminCall::Split => lines_or_unknown(self.admin_reports().split),
            AdminCall::Metrics => {
                self.admin_reports().metrics.map_or(AdminReply::UnknownCall, AdminReply::Text)
            }
            // Without health checks there is no balancer that could take this proxy out of rotation.
            AdminCall::Maintenance(_) if !self.has_health_reporting() => AdminReply::UnknownCall,
            AdminCall::Maintenance(true) => AdminReply::Yes("balancers are told maintenance"),
            AdminCall::Maintenance(false) => AdminReply::Yes("maintenance is over"),
        }
    }

    /// Returns the memory that connections hold.
    fn memory_report(&self) -> MemoryReport {
        MemoryReport {
            limit: self.config.memory_limit,
            clients: self.clients.held_bytes(),
            databases: self.pool.held_bytes(),
            deferred_replies: self.pool.deferred_reply_count(),
            timers: self.context.timers.len(),
        }
    }

    /// Returns whether balancers check this proxy.
    fn has_health_reporting(&self) -> bool {
        self.health.observer.is_some()
    }
}
