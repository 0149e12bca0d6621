//! Whether the proxy reaches discovery and databases at all. If it reaches neither, the cause is taken to be its own
//! and not the databases'.

use crate::evidence::{FailureEvidence, ServerEvidence};
use crate::hysteresis::{Observation, ReportedCapability};
use crate::server_table::{MonitoredServer, Servers};
use crate::settings::HealthSettings;
use crate::words::Reason;
use crate::{Micros, earliest};

pub(crate) struct Connectivity {
    /// When discovery last responded.
    pub discovery_heard_at: Option<Micros>,
    started_at: Micros,
    /// Available while discovery or some database responds.
    reported: ReportedCapability,
}

impl Connectivity {
    pub(crate) fn new(now: Micros) -> Connectivity {
        Connectivity { discovery_heard_at: None, started_at: now, reported: ReportedCapability::new(now) }
    }

    pub(crate) fn is_available(&self) -> bool {
        self.reported.available
    }

    /// Computes the connectivity as of now. Returns when it may change next without an event.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        servers: &Servers,
        settings: &HealthSettings,
    ) -> Option<Micros> {
        let discovery_lost_at =
            self.discovery_heard_at.unwrap_or(self.started_at) + settings.discovery_lost_after;
        let discovery_lost = now >= discovery_lost_at;
        let last_heard_at = servers.values().filter_map(|server| server.evidence.last_heard_at).max();
        let heard_lately = last_heard_at.is_some_and(|at| now - at < settings.silence_limit());
        let databases_lost = all_tried_have_failed(now, servers, settings) && !heard_lately;
        let observed = if discovery_lost && databases_lost {
            Observation::unavailable(Reason::Blind)
        } else {
            Observation::available(Reason::Proven)
        };
        self.reported.observe(now, observed, settings);
        let waits_for_discovery = databases_lost && !discovery_lost;
        let discovery_lost_at = waits_for_discovery.then_some(discovery_lost_at);
        let databases_lost_at = last_heard_at
            .map(|at| at + settings.silence_limit())
            .filter(|at| *at > now && !waits_for_discovery);
        earliest(self.reported.changes_at(settings), earliest(discovery_lost_at, databases_lost_at))
    }
}

/// Some server was tried, and each that was has failed.
fn all_tried_have_failed(now: Micros, servers: &Servers, settings: &HealthSettings) -> bool {
    let was_tried = |server: &&MonitoredServer| server.evidence.is_in_doubt();
    let has_failed = |evidence: &ServerEvidence| {
        evidence.failure(now, settings).is_some_and(|failure| failure != FailureEvidence::WritesUnanswered)
    };
    let mut tried = servers.values().filter(was_tried).peekable();
    tried.peek().is_some() && tried.all(|server| has_failed(&server.evidence))
}
