//! Connects the core with the health crate by translating the core's events and settings into those of the health
//! monitor. This module makes no decisions.

use crate::observe::{CoreEvent, Observer};
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Consistency, GroupId, Micros, Role, ServerId};
use birchreach_health as health;
use birchreach_health::{Change, HealthEvent, HealthSettings, Monitor, RequestClass, RequiredServer};
use birchreach_options::HealthOptions;
use birchreach_settings::DeploymentSettings;
use std::collections::BTreeMap;

/// Feeds the health monitor from the core's events.
pub(crate) struct HealthObserver {
    pub monitor: Monitor,
    /// The time since which each group's oldest queued write has waited, as last reported to the monitor.
    writes_queued_since: BTreeMap<health::GroupId, Micros>,
}

/// What the event loop must do after an update of the monitor.
pub(crate) struct HealthUpdate {
    /// The time at which the next update is due, unless an event arrives earlier.
    pub next_update_at: Micros,
    /// Changes of the verdict, for the log.
    pub changes: Vec<Change>,
    /// Servers to probe now.
    pub probes: Vec<ServerId>,
}

/// Returns the monitor's settings, derived from the options and the deployment's settings. Probes are sent only if both
/// allow them.
pub(crate) fn monitor_settings(
    options: &HealthOptions,
    deployment: &DeploymentSettings,
    seed: u64,
) -> HealthSettings {
    let names = deployment.class_names.iter();
    let classes = names
        .zip(&deployment.routing.classes)
        .map(|(name, class)| RequestClass { name: name.clone(), needs: required_server(&class.consistency) });
    let mut settings = HealthSettings { classes: classes.collect(), seed, ..options.settings.clone() };
    settings.probes = settings.probes.filter(|_| deployment.routing.health_checks_allowed);
    settings
}

fn required_server(consistency: &Consistency) -> RequiredServer {
    match consistency {
        Consistency::Write | Consistency::Strong => RequiredServer::Primary,
        Consistency::Session | Consistency::BoundedStaleness(_) | Consistency::Any => {
            RequiredServer::AnyMember
        }
    }
}

fn group_id(id: GroupId) -> health::GroupId {
    health::GroupId(id.0)
}

fn server_id(id: ServerId) -> health::ServerId {
    health::ServerId(id.0)
}

/// Translates the outcome of an attempt into evidence about its server.
fn attempt_outcome(reply: &Reply) -> health::AttemptOutcome {
    match reply.outcome {
        // In each of these cases the server itself has answered.
        AttemptOutcome::Ok
        | AttemptOutcome::Error
        | AttemptOutcome::Overloaded
        | AttemptOutcome::Ineligible => health::AttemptOutcome::Answered,
        AttemptOutcome::Timeout => health::AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectFailed if reply.connection_refused => health::AttemptOutcome::Refused,
        // A connect without any answer counts as a reset, because only several of them in a row are evidence.
        AttemptOutcome::ConnectFailed
        | AttemptOutcome::ClosedBeforeExecution
        | AttemptOutcome::ConnectionReset => health::AttemptOutcome::Reset,
        AttemptOutcome::Cancelled => health::AttemptOutcome::Cancelled,
        AttemptOutcome::NotSent => health::AttemptOutcome::NotSent,
    }
}

/// Returns the role that the server reported. Without a report, the role is inferred from a write that the server has
/// executed or rejected.
fn reported_role(reply: &Reply, write: bool) -> Option<health::Role> {
    let in_status = reply.status.map(|status| status.role);
    let in_load_report = || reply.load_report.and_then(|report| report.role);
    let inferred = match reply.outcome {
        AttemptOutcome::Ok if write => Some(Role::Primary),
        AttemptOutcome::Ineligible if write => Some(Role::Replica),
        _ => None,
    };
    Some(match in_status.or_else(in_load_report).or(inferred)? {
        Role::Primary => health::Role::Primary,
        Role::Replica => health::Role::Replica,
    })
}

impl HealthObserver {
    /// Creates an observer with a monitor that starts at `now`.
    pub(crate) fn new(settings: HealthSettings, now: Micros) -> HealthObserver {
        HealthObserver { monitor: Monitor::new(settings, now), writes_queued_since: BTreeMap::new() }
    }

    /// Returns the verdict at `now`.
    pub(crate) fn verdict(&mut self, now: Micros) -> &health::Verdict {
        self.update_if_due(now);
        self.monitor.verdict()
    }

    /// Updates the monitor if that is due, and returns what the event loop must do.
    pub(crate) fn update(&mut self, now: Micros) -> HealthUpdate {
        self.update_if_due(now);
        let probes = self.monitor.take_probes();
        HealthUpdate {
            next_update_at: self.monitor.next_change(),
            changes: self.monitor.take_changes(),
            probes: probes.into_iter().map(|server| ServerId(server.0)).collect(),
        }
    }

    fn update_if_due(&mut self, now: Micros) {
        if self.monitor.next_change() <= now {
            self.monitor.update(now);
        }
    }

    /// Reports each group's oldest queued write to the monitor. `writes` has the group of every queued write and the
    /// time since which it is queued. Groups that `writes` does not contain have no queued write.
    fn record_queued_writes(&mut self, now: Micros, writes: &[(GroupId, Micros)]) {
        let mut oldest: BTreeMap<health::GroupId, Micros> = BTreeMap::new();
        for (group, since) in writes {
            let at = oldest.entry(group_id(*group)).or_insert(*since);
            *at = (*since).min(*at);
        }
        for group in self.writes_queued_since.keys().filter(|group| !oldest.contains_key(group)) {
            self.monitor.handle_event(now, HealthEvent::WritesQueued { group: *group, since: None });
        }
        for (group, since) in &oldest {
            self.monitor.handle_event(now, HealthEvent::WritesQueued { group: *group, since: Some(*since) });
        }
        self.writes_queued_since = oldest;
    }
}

impl Observer for HealthObserver {
    fn on_event(&mut self, now: Micros, event: CoreEvent<'_>) {
        let event = match event {
            CoreEvent::Listed { server, group, primary, up, .. } => HealthEvent::ServerListed {
                server: server_id(server),
                group: group_id(group),
                primary,
                accepts_work: up,
            },
            CoreEvent::Unlisted { server, .. } => HealthEvent::ServerUnlisted { server: server_id(server) },
            CoreEvent::AttemptSent { server } => HealthEvent::AttemptSent { server: server_id(server) },
            CoreEvent::AttemptEnded { server, write, reply, .. } => HealthEvent::AttemptEnded {
                server: server_id(server),
                write,
                outcome: attempt_outcome(reply),
                role: reported_role(reply, write),
            },
            CoreEvent::MonitorCheckEnded { server, reply } => HealthEvent::ProbeEnded {
                server: server_id(server),
                outcome: attempt_outcome(reply),
                role: reported_role(reply, false),
            },
            CoreEvent::ServerAlive { server } => HealthEvent::ServerAlive { server: server_id(server) },
            CoreEvent::ReadFinished { group, served } => {
                HealthEvent::ReadEnded { group: group_id(group), served }
            }
            CoreEvent::DiscoveryAnswered => HealthEvent::DiscoveryAnswered,
            CoreEvent::QueuedWrites { writes } => return self.record_queued_writes(now, writes),
            // The other events do not concern the proxy's health.
            _ => return,
        };
        self.monitor.handle_event(now, event);
    }
}
