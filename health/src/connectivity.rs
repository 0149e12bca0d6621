//! Detection of an isolated proxy. If it reaches neither discovery nor any database, the fault is assumed to be the
//! proxy's own and not that of the databases.

use crate::evidence::{FailureEvidence, ServerEvidence};
use crate::hysteresis::{Observation, ReportedCapability};
use crate::labels::Reason;
use crate::server_table::{MonitoredServer, Servers};
use crate::settings::HealthSettings;
use crate::{Micros, earliest};

/// The proxy's connectivity to discovery and to the databases.
pub(crate) struct Connectivity {
    /// When discovery last responded; `None` until the first response.
    pub discovery_responded_at: Option<Micros>,
    started_at: Micros,
    /// Available while discovery or at least one database responds.
    reported: ReportedCapability,
}

impl Connectivity {
    /// Creates the state of a proxy that starts now and has received no response yet.
    pub(crate) fn new(now: Micros) -> Connectivity {
        Connectivity { discovery_responded_at: None, started_at: now, reported: ReportedCapability::new(now) }
    }

    pub(crate) fn is_available(&self) -> bool {
        self.reported.available
    }

    /// Recomputes the connectivity. Returns when it may change next without an event.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        servers: &Servers,
        settings: &HealthSettings,
    ) -> Option<Micros> {
        let discovery_expires_at =
            self.discovery_responded_at.unwrap_or(self.started_at) + settings.discovery_timeout;
        let discovery_unresponsive = now >= discovery_expires_at;
        let last_contact_at = servers.values().filter_map(|server| server.evidence.last_contact_at).max();
        let responded_recently = last_contact_at.is_some_and(|at| now - at < settings.silence_limit());
        let databases_unresponsive =
            all_awaited_servers_failed(now, servers, settings) && !responded_recently;
        let observed = if discovery_unresponsive && databases_unresponsive {
            Observation::unavailable(Reason::Isolated)
        } else {
            Observation::available(Reason::Proven)
        };
        self.reported.observe(now, observed, settings);
        let waits_for_discovery = databases_unresponsive && !discovery_unresponsive;
        let discovery_expires_at = waits_for_discovery.then_some(discovery_expires_at);
        let databases_expire_at = last_contact_at
            .map(|at| at + settings.silence_limit())
            .filter(|at| *at > now && !waits_for_discovery);
        earliest(self.reported.changes_at(settings), earliest(discovery_expires_at, databases_expire_at))
    }
}

/// True if a contact is awaited from at least one server, and all such servers have failed.
fn all_awaited_servers_failed(now: Micros, servers: &Servers, settings: &HealthSettings) -> bool {
    let awaits_contact = |server: &&MonitoredServer| server.evidence.awaits_contact();
    let has_failed = |evidence: &ServerEvidence| {
        evidence.failure(now, settings).is_some_and(|failure| failure != FailureEvidence::WritesUnanswered)
    };
    let mut awaited = servers.values().filter(awaits_contact).peekable();
    awaited.peek().is_some() && awaited.all(|server| has_failed(&server.evidence))
}
