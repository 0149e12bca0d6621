//! Between the core and the health crate: the proxy's values as facts, and the settings of both put together. It owns
//! the translation and no decision; the verdict is the monitor's.

use crate::core::Reply;
use birchreach::{Ending, GroupId, Micros, Need, Role, ServerId};
use birchreach_health::{Class, Fact, Group, How, Monitor, Needs, Server, Settings};
use birchreach_settings::Site;
use std::collections::BTreeMap;

/// The monitor, and what it was told last of the groups' held writes.
pub struct Watch {
    pub monitor: Monitor,
    held: BTreeMap<Group, Micros>,
}

/// What the options and the platform's settings say together. Probes need the platform's leave.
pub fn settings(options: &birchreach_options::Health, site: &Site, seed: u64) -> Settings {
    let needs = |need: &Need| match need {
        Need::Write | Need::Fresh => Needs::Primary,
        Need::Session | Need::Bounded(_) | Need::Any => Needs::Member,
    };
    let classes = site.class_names.iter().zip(&site.module.classes);
    let classes = classes.map(|(name, class)| Class { name: name.clone(), needs: needs(&class.need) });
    let mut settings = Settings { classes: classes.collect(), seed, ..options.settings.clone() };
    settings.probes = settings.probes.filter(|_| site.module.may_probe);
    settings
}

fn group(id: GroupId) -> Group {
    Group(id.0)
}

fn server(id: ServerId) -> Server {
    Server(id.0)
}

/// How an attempt ended, as far as it tells of the server.
fn how(reply: &Reply) -> How {
    match reply.ending {
        // Each of these was said by the server itself.
        Ending::Ok | Ending::Error | Ending::Full | Ending::Miss => How::Answered,
        Ending::Timeout => How::Unanswered,
        Ending::ConnectFailed if reply.refused => How::Refused,
        // A machine that does not answer a connect is judged like one that breaks connections: by some in a row.
        Ending::ConnectFailed | Ending::Broken | Ending::Reset => How::Reset,
        Ending::Cancelled => How::CalledOff,
        Ending::Moot => How::Unsent,
    }
}

/// What the server said that it is: in a note, in a report, or by what it did with a write.
fn role(reply: &Reply, write: bool) -> Option<birchreach_health::Role> {
    let told = reply.note.map(|n| n.role).or_else(|| reply.report.and_then(|r| r.role));
    let done = match reply.ending {
        Ending::Ok if write => Some(Role::Primary),
        Ending::Miss if write => Some(Role::Replica),
        _ => None,
    };
    Some(match told.or(done)? {
        Role::Primary => birchreach_health::Role::Primary,
        Role::Replica => birchreach_health::Role::Replica,
    })
}

impl Watch {
    pub fn new(settings: Settings, now: Micros) -> Watch {
        Watch { monitor: Monitor::new(settings, now), held: BTreeMap::new() }
    }

    /// The list has a server, or says something else of it. `primary`: what it says of its role, if it does.
    pub fn listed(&mut self, now: Micros, id: ServerId, of: GroupId, primary: Option<bool>, up: bool) {
        let fact = Fact::Listed { server: server(id), group: group(of), primary, up };
        self.monitor.fact(now, fact);
    }

    pub fn unlisted(&mut self, now: Micros, id: ServerId) {
        self.monitor.fact(now, Fact::Unlisted { server: server(id) });
    }

    /// An attempt, or a probe of the decision module's, goes out.
    pub fn sent(&mut self, now: Micros, id: ServerId) {
        self.monitor.fact(now, Fact::Sent { server: server(id) });
    }

    pub fn ended(&mut self, now: Micros, id: ServerId, write: bool, reply: &Reply) {
        let (how, role) = (how(reply), role(reply, write));
        self.monitor.fact(now, Fact::Ended { server: server(id), write, how, role });
    }

    /// A probe that the monitor asked for came back.
    pub fn checked(&mut self, now: Micros, id: ServerId, reply: &Reply) {
        let (how, role) = (how(reply), role(reply, false));
        self.monitor.fact(now, Fact::Probed { server: server(id), how, role });
    }

    pub fn alive(&mut self, now: Micros, id: ServerId) {
        self.monitor.fact(now, Fact::Alive { server: server(id) });
    }

    pub fn read(&mut self, now: Micros, of: GroupId, served: bool) {
        self.monitor.fact(now, Fact::Read { group: group(of), served });
    }

    /// Since when each group's oldest write is held; groups that are not named have none.
    pub fn held(&mut self, now: Micros, held: impl Iterator<Item = (GroupId, Micros)>) {
        let mut oldest: BTreeMap<Group, Micros> = BTreeMap::new();
        for (of, since) in held {
            let at = oldest.entry(group(of)).or_insert(since);
            *at = since.min(*at);
        }
        for group in self.held.keys().filter(|g| !oldest.contains_key(g)) {
            self.monitor.fact(now, Fact::Held { group: *group, since: None });
        }
        for (group, since) in &oldest {
            self.monitor.fact(now, Fact::Held { group: *group, since: Some(*since) });
        }
        self.held = oldest;
    }
}
