//! Between the core and the health crate: the proxy's values as facts, and the settings of both put together. It owns
//! the translation and no decision; the verdict is the monitor's.

use crate::observe::{CoreEvent, Observer};
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Consistency, GroupId, Micros, Role, ServerId};
use birchreach_health as health;
use birchreach_health::{
    Change, HealthEvent, HealthSettings, Monitor, ProbeOutcome, RequestClass, RequiredServer,
};
use birchreach_settings::DeploymentSettings;
use std::collections::BTreeMap;

/// The monitor, and what it was told last of the groups' held writes.
pub struct Watch {
    pub monitor: Monitor,
    held: BTreeMap<health::GroupId, Micros>,
}

/// What the options and the platform's settings say together. Probes need the platform's leave.
pub fn settings(
    options: &birchreach_options::HealthOptions,
    site: &DeploymentSettings,
    seed: u64,
) -> HealthSettings {
    let needs = |need: &Consistency| match need {
        Consistency::Write | Consistency::Strong => RequiredServer::Primary,
        Consistency::Session | Consistency::BoundedStaleness(_) | Consistency::Any => {
            RequiredServer::AnyMember
        }
    };
    let classes = site.class_names.iter().zip(&site.routing.classes);
    let classes =
        classes.map(|(name, class)| RequestClass { name: name.clone(), needs: needs(&class.consistency) });
    let mut settings = HealthSettings { classes: classes.collect(), seed, ..options.settings.clone() };
    settings.probes = settings.probes.filter(|_| site.routing.health_checks_allowed);
    settings
}

fn group(id: GroupId) -> health::GroupId {
    health::GroupId(id.0)
}

fn server(id: ServerId) -> health::ServerId {
    health::ServerId(id.0)
}

/// How an attempt ended, as far as it tells of the server.
fn how(reply: &Reply) -> ProbeOutcome {
    match reply.outcome {
        // Each of these was said by the server itself.
        AttemptOutcome::Ok
        | AttemptOutcome::Error
        | AttemptOutcome::Overloaded
        | AttemptOutcome::Ineligible => ProbeOutcome::Answered,
        AttemptOutcome::Timeout => ProbeOutcome::Unanswered,
        AttemptOutcome::ConnectFailed if reply.connection_refused => ProbeOutcome::Refused,
        // A machine that does not answer a connect is judged like one that breaks connections: by some in a row.
        AttemptOutcome::ConnectFailed
        | AttemptOutcome::ClosedBeforeExecution
        | AttemptOutcome::ConnectionReset => ProbeOutcome::Reset,
        AttemptOutcome::Cancelled => ProbeOutcome::Cancelled,
        AttemptOutcome::NotSent => ProbeOutcome::NotSent,
    }
}

/// What the server said that it is: in a note, in a report, or by what it did with a write.
fn role(reply: &Reply, write: bool) -> Option<health::Role> {
    let told = reply.status.map(|n| n.role).or_else(|| reply.load_report.and_then(|r| r.role));
    let done = match reply.outcome {
        AttemptOutcome::Ok if write => Some(Role::Primary),
        AttemptOutcome::Ineligible if write => Some(Role::Replica),
        _ => None,
    };
    Some(match told.or(done)? {
        Role::Primary => health::Role::Primary,
        Role::Replica => health::Role::Replica,
    })
}

impl Watch {
    pub fn new(settings: HealthSettings, now: Micros) -> Watch {
        Watch { monitor: Monitor::new(settings, now), held: BTreeMap::new() }
    }

    /// The verdict as of now.
    pub fn verdict(&mut self, now: Micros) -> &health::Verdict {
        self.step(now);
        self.monitor.verdict()
    }

    /// When the verdict may change next, what has changed, and who is to be probed now.
    pub fn news(&mut self, now: Micros) -> (Micros, Vec<Change>, Vec<health::ServerId>) {
        self.step(now);
        (self.monitor.next_change(), self.monitor.take_changes(), self.monitor.take_probes())
    }

    fn step(&mut self, now: Micros) {
        if self.monitor.next_change() <= now {
            self.monitor.update(now);
        }
    }

    /// Since when each group's oldest write is held; groups that are not named have none.
    fn held(&mut self, now: Micros, held: &[(GroupId, Micros)]) {
        let mut oldest: BTreeMap<health::GroupId, Micros> = BTreeMap::new();
        for (of, since) in held {
            let at = oldest.entry(group(*of)).or_insert(*since);
            *at = (*since).min(*at);
        }
        for group in self.held.keys().filter(|g| !oldest.contains_key(g)) {
            self.monitor.handle_event(now, HealthEvent::WritesQueued { group: *group, since: None });
        }
        for (group, since) in &oldest {
            self.monitor.handle_event(now, HealthEvent::WritesQueued { group: *group, since: Some(*since) });
        }
        self.held = oldest;
    }
}

impl Observer for Watch {
    fn on_event(&mut self, now: Micros, seen: CoreEvent<'_>) {
        let fact = match seen {
            CoreEvent::Listed { server: id, group: of, primary, up, .. } => {
                HealthEvent::ServerListed { server: server(id), group: group(of), primary, up }
            }
            CoreEvent::Unlisted { server: id, .. } => HealthEvent::ServerUnlisted { server: server(id) },
            CoreEvent::AttemptSent { server: id } => HealthEvent::RequestSent { server: server(id) },
            CoreEvent::AttemptEnded { server: id, write, reply, .. } => HealthEvent::RequestEnded {
                server: server(id),
                write,
                outcome: how(reply),
                role: role(reply, write),
            },
            CoreEvent::MonitorCheckEnded { server: id, reply } => {
                HealthEvent::ProbeEnded { server: server(id), outcome: how(reply), role: role(reply, false) }
            }
            CoreEvent::ServerAlive { server: id } => HealthEvent::ServerAlive { server: server(id) },
            CoreEvent::ReadFinished { group: of, served } => {
                HealthEvent::ReadEnded { group: group(of), served }
            }
            CoreEvent::DiscoveryAnswered => HealthEvent::DiscoveryAnswered,
            CoreEvent::QueuedWrites { writes } => return self.held(now, writes),
            // Of no concern to balancers.
            _ => return,
        };
        self.monitor.handle_event(now, fact);
    }
}
