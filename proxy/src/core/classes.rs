//! The classes by number, and the settings that the module is told: a number stands for one class and its rules for as long
//! as anything of it is open.

use super::{Core, RequestPayload};
use crate::stats::{RequestResult, Stats};
use birchreach::*;
use birchreach_settings::DeploymentSettings;
use std::collections::HashSet;

/// A class that was dropped is taken for so long: its last requests are on their way.
const LAST_REQUESTS: Micros = 2_000_000;

/// A class by its number.
#[derive(Clone, Debug)]
struct Kind {
    name: String,
    rules: RequestClass,
    /// Its row among the figures.
    row: usize,
    /// It was dropped, or replaced by another of its name: when its last requests will have come.
    until: Option<Micros>,
}

pub(super) struct Classes {
    /// By number, with those that are no more while requests of them may be open.
    kinds: Vec<Kind>,
    /// The module's settings but for its classes, and how many processes share them with this one.
    module: Settings,
    processes: u32,
}

impl Classes {
    pub fn new(site: &DeploymentSettings, stats: &mut Stats) -> Classes {
        let kinds = site.class_names.iter().zip(&site.routing.classes);
        let kinds = kinds.map(|(name, rules)| Kind {
            name: name.clone(),
            rules: rules.clone(),
            row: stats.class(name),
            until: None,
        });
        Classes { kinds: kinds.collect(), module: site.routing.clone(), processes: 1 }
    }

    /// A request of this class had its one answer.
    pub fn ended(&self, stats: &mut Stats, class: ClassId, end: RequestResult) {
        if let Some(kind) = self.kinds.get(usize::from(class.0)) {
            stats.ended(kind.row, end);
        }
    }

    /// Requests of this class go to the primary alone.
    pub fn writes(&self, class: ClassId) -> bool {
        self.kinds.get(usize::from(class.0)).is_some_and(|kind| kind.rules.consistency == Consistency::Write)
    }

    /// What reads of this class need.
    pub fn need(&self, class: ClassId) -> Consistency {
        self.kinds.get(usize::from(class.0)).map_or(Consistency::Write, |kind| kind.rules.consistency)
    }

    pub fn needs(&self) -> Vec<Consistency> {
        self.kinds.iter().map(|kind| kind.rules.consistency).collect()
    }

    pub fn may_probe(&self) -> bool {
        self.module.health_checks_allowed
    }

    /// Other rules from now on; a class that is new, or has other rules, gets a number that is free.
    fn take(&mut self, now: Micros, site: &DeploymentSettings, used: &HashSet<ClassId>, stats: &mut Stats) {
        for kind in &mut self.kinds {
            let same = |(name, rules): (&String, &RequestClass)| *name == kind.name && *rules == kind.rules;
            let stays = site.class_names.iter().zip(&site.routing.classes).any(same);
            kind.until = if stays { None } else { kind.until.or(Some(now + LAST_REQUESTS)) };
        }
        for (name, rules) in site.class_names.iter().zip(&site.routing.classes) {
            if self.kinds.iter().any(|k| k.until.is_none() && k.name == *name) {
                continue;
            }
            let row = stats.class(name);
            let kind = Kind { name: name.clone(), rules: rules.clone(), row, until: None };
            let free = |(i, k): (usize, &Kind)| {
                k.until.is_some_and(|at| at <= now) && !used.iter().any(|id| usize::from(id.0) == i)
            };
            match self.kinds.iter().enumerate().position(free) {
                Some(i) => self.kinds[i] = kind,
                None => self.kinds.push(kind),
            }
        }
        self.module = site.routing.clone();
    }

    fn settings(&self) -> Settings {
        let classes = self.kinds.iter().map(|k| k.rules.clone()).collect();
        let routers = self.module.proxy_count.saturating_mul(self.processes);
        Settings { classes, proxy_count: routers, ..self.module.clone() }
    }
}

impl<W: RequestPayload> Core<W> {
    /// Other settings are in force from now on.
    pub fn settings(&mut self, now: Micros, site: &DeploymentSettings) {
        let mut used: HashSet<ClassId> = self.requests.values().map(|e| e.class).collect();
        used.extend(self.in_flight.values().map(|o| o.class));
        self.classes.take(now, site, &used, &mut self.stats);
        self.servers.zones(site);
        self.tell_settings(now);
    }

    /// So many processes share what this proxy may do: each is a router of its own.
    pub fn set_process_count(&mut self, now: Micros, processes: u32) {
        if std::mem::replace(&mut self.classes.processes, processes) != processes {
            self.tell_settings(now);
        }
    }

    fn tell_settings(&mut self, now: Micros) {
        let settings = self.classes.settings();
        self.handle(now, Event::Settings(Box::new(settings)));
    }

    /// The number and the rules of a class by its name, while requests of it are taken: dropped classes end a little later.
    pub fn find_class(&self, now: Micros, name: &str) -> Option<(ClassId, &RequestClass)> {
        let live = |k: &&Kind| k.name == name && k.until.is_none_or(|at| now < at);
        let kinds = self.classes.kinds.iter().enumerate();
        let (i, kind) = kinds.filter(|(_, k)| live(k)).min_by_key(|(_, k)| k.until)?;
        Some((ClassId(u16::try_from(i).ok()?), &kind.rules))
    }

    /// Where session reads' requirements come from.
    pub fn session_positions(&self) -> SessionPositionSource {
        self.classes.module.session_positions
    }
}
