//! Operators' calls, answered from what the loop's parts report.

use super::EventLoop;
use crate::admin_protocol::{AdminReply, Call};
use birchreach_health::HealthEvent;

impl EventLoop {
    /// Reads an operator's connection, and answers its call once that is complete.
    pub(super) fn handle_admin(&mut self, key: usize) {
        let Some(call) = self.admin.ready(&mut self.context, key) else { return };
        let reply = self.admin_reply(call);
        if let Some(caller) = self.admin.caller(key) {
            caller.answer(&reply);
        }
        self.admin.write(&mut self.context, key);
        if let Call::Maintenance(on) = call
            && self.has_balancers()
        {
            self.record_health_event(HealthEvent::Maintenance(on));
        }
    }

    fn admin_reply(&self, call: Call) -> AdminReply {
        let report = |report: Option<String>| report.map_or(AdminReply::UnknownCall, AdminReply::Figures);
        match call {
            Call::Status if self.stopping => AdminReply::No("stopping"),
            Call::Status => AdminReply::Yes("it takes clients"),
            Call::Stats => {
                let core = &self.context.core;
                AdminReply::Figures(core.stats.lines(core.gauges(self.context.now)))
            }
            Call::Fleet => report(self.admin_reports().fleet),
            Call::Hot => report(self.admin_reports().hot),
            Call::Split => report(self.admin_reports().split),
            Call::Metrics => self.admin_reports().metrics.map_or(AdminReply::UnknownCall, AdminReply::Text),
            // Without balancers there is no rotation to be taken out of.
            Call::Maintenance(_) if !self.has_balancers() => AdminReply::UnknownCall,
            Call::Maintenance(true) => AdminReply::Yes("balancers are told maintenance"),
            Call::Maintenance(false) => AdminReply::Yes("maintenance is over"),
        }
    }

    fn has_balancers(&self) -> bool {
        self.health.observer.is_some()
    }
}
