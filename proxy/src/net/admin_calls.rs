//! Operators' calls, answered with what the parts of the loop report.

use super::EventLoop;
use super::ids::AdminKey;
use crate::admin_protocol::{AdminCall, AdminReply};
use birchreach_health::HealthEvent;

impl EventLoop {
    /// Reads an operator's connection, and answers its call once that is complete.
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

    /// What a call is answered with.
    fn admin_reply(&self, call: AdminCall) -> AdminReply {
        let report = |report: Option<String>| report.map_or(AdminReply::UnknownCall, AdminReply::Lines);
        match call {
            AdminCall::Status if self.stopping => AdminReply::No("stopping"),
            AdminCall::Status => AdminReply::Yes("it takes clients"),
            AdminCall::Stats => {
                let core = &self.context.core;
                AdminReply::Lines(core.stats.lines(core.gauges(self.context.now)))
            }
            AdminCall::Fleet => report(self.admin_reports().fleet),
            AdminCall::Hot => report(self.admin_reports().hot),
            AdminCall::Split => report(self.admin_reports().split),
            AdminCall::Metrics => {
                self.admin_reports().metrics.map_or(AdminReply::UnknownCall, AdminReply::Text)
            }
            // Without balancers there is no rotation to be taken out of.
            AdminCall::Maintenance(_) if !self.has_health_reporting() => AdminReply::UnknownCall,
            AdminCall::Maintenance(true) => AdminReply::Yes("balancers are told maintenance"),
            AdminCall::Maintenance(false) => AdminReply::Yes("maintenance is over"),
        }
    }

    /// Whether balancers check this proxy.
    fn has_health_reporting(&self) -> bool {
        self.health.observer.is_some()
    }
}
