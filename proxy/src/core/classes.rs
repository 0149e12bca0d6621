//! Request classes by number, across changes of the settings.
//!
//! A number identifies one class with its rules for as long as one of its requests may be open: a class that is dropped or gets
//! other rules keeps its old number for a while, and the new one gets a free number.

use super::{Core, RequestPayload};
use crate::stats::{ClassRowIndex, RequestResult, Stats};
use birchreach::{ClassId, Consistency, Event, Micros, RequestClass, SessionPositionSource, Settings};
use birchreach_settings::DeploymentSettings;
use std::collections::HashSet;

/// A class that was dropped still accepts requests for this time, as clients may not know yet that it was.
const DROPPED_CLASS_GRACE_MICROS: Micros = 2_000_000;

/// A class and its number's history.
#[derive(Clone, Debug)]
struct ClassEntry {
    name: String,
    rules: RequestClass,
    /// Index of its row in the statistics.
    stats_row: ClassRowIndex,
    /// Set once the class is dropped or replaced by another of its name: its last requests have arrived by then.
    accepted_until: Option<Micros>,
}

impl ClassEntry {
    /// Whether the current settings have this class.
    fn is_current(&self) -> bool {
        self.accepted_until.is_none()
    }

    /// Whether requests of this class are accepted.
    fn accepts_requests(&self, now: Micros) -> bool {
        self.accepted_until.is_none_or(|until| now < until)
    }
}

/// All classes, and the settings of the router.
pub(super) struct ClassTable {
    /// By number, including classes that were dropped.
    classes: Vec<ClassEntry>,
    /// Settings of the router; its list of classes is replaced by the one above.
    routing: Settings,
    /// Processes that share the quota of this proxy.
    process_count: u32,
}

impl ClassTable {
    /// The classes of these settings.
    pub(super) fn new(settings: &DeploymentSettings, stats: &mut Stats) -> ClassTable {
        let named = settings.class_names.iter().zip(&settings.routing.classes);
        let numbered = named.map(|(name, rules)| ClassEntry {
            name: name.clone(),
            rules: rules.clone(),
            stats_row: stats.class_row(name),
            accepted_until: None,
        });
        ClassTable { classes: numbered.collect(), routing: settings.routing.clone(), process_count: 1 }
    }

    /// The class with this number.
    fn get(&self, class: ClassId) -> Option<&ClassEntry> {
        self.classes.get(usize::from(class.0))
    }

    /// Counts a request of this class that got its final answer.
    pub(super) fn count_result(&self, stats: &mut Stats, class: ClassId, result: RequestResult) {
        if let Some(class) = self.get(class) {
            stats.count_result(class.stats_row, result);
        }
    }

    /// Whether requests of this class write.
    pub(super) fn is_write(&self, class: ClassId) -> bool {
        self.get(class).is_some_and(|class| class.rules.consistency == Consistency::Write)
    }

    /// Consistency of a class; that of a write for an unknown one.
    pub(super) fn consistency(&self, class: ClassId) -> Consistency {
        self.get(class).map_or(Consistency::Write, |class| class.rules.consistency)
    }

    /// Consistency of each class, by the number of the class.
    pub(super) fn consistencies(&self) -> Vec<Consistency> {
        self.classes.iter().map(|class| class.rules.consistency).collect()
    }

    /// Whether the settings allow health checks.
    pub(super) fn health_checks_allowed(&self) -> bool {
        self.routing.health_checks_allowed
    }

    /// Applies new settings. `in_use` are the numbers of classes with open requests or attempts.
    fn update(
        &mut self,
        now: Micros,
        settings: &DeploymentSettings,
        in_use: &HashSet<ClassId>,
        stats: &mut Stats,
    ) {
        self.drop_missing(now, settings);
        for (name, rules) in settings.class_names.iter().zip(&settings.routing.classes) {
            if !self.classes.iter().any(|class| class.is_current() && class.name == *name) {
                self.add(now, name, rules, in_use, stats);
            }
        }
        self.routing = settings.routing.clone();
    }

    /// Drops the classes that the settings do not have, or have with other rules.
    fn drop_missing(&mut self, now: Micros, settings: &DeploymentSettings) {
        for class in &mut self.classes {
            let mut named = settings.class_names.iter().zip(&settings.routing.classes);
            let is_unchanged = named.any(|(name, rules)| *rules == class.rules && *name == class.name);
            let until = class.accepted_until.unwrap_or(now + DROPPED_CLASS_GRACE_MICROS);
            class.accepted_until = (!is_unchanged).then_some(until);
        }
    }

    /// Adds a class under a free number.
    fn add(
        &mut self,
        now: Micros,
        name: &str,
        rules: &RequestClass,
        in_use: &HashSet<ClassId>,
        stats: &mut Stats,
    ) {
        let added = ClassEntry {
            name: name.to_string(),
            rules: rules.clone(),
            stats_row: stats.class_row(name),
            accepted_until: None,
        };
        let is_free = |(index, class): (usize, &ClassEntry)| {
            !class.accepts_requests(now) && !in_use.iter().any(|class_id| usize::from(class_id.0) == index)
        };
        match self.classes.iter().enumerate().position(is_free) {
            Some(index) => self.classes[index] = added,
            None => self.classes.push(added),
        }
    }

    /// The settings for the router, for which each process of this proxy counts as a proxy.
    fn router_settings(&self) -> Settings {
        let classes = self.classes.iter().map(|class| class.rules.clone()).collect();
        let proxy_count = self.routing.proxy_count.saturating_mul(self.process_count);
        Settings { classes, proxy_count, ..self.routing.clone() }
    }

    /// The number and rules of a class that accepts requests. Of two with this name the current one is found.
    fn find(&self, now: Micros, name: &str) -> Option<(ClassId, &RequestClass)> {
        let classes = self.classes.iter().enumerate();
        let accepting = classes.filter(|(_, class)| class.name == name && class.accepts_requests(now));
        let (index, class) = accepting.min_by_key(|(_, class)| class.accepted_until)?;
        Some((ClassId(u16::try_from(index).ok()?), &class.rules))
    }
}

impl<P: RequestPayload> Core<P> {
    /// Applies new settings.
    pub(crate) fn apply_settings(&mut self, now: Micros, settings: &DeploymentSettings) {
        let mut in_use: HashSet<ClassId> = self.requests.values().map(|pending| pending.class).collect();
        in_use.extend(self.in_flight.values().map(|attempt| attempt.class));
        self.classes.update(now, settings, &in_use, &mut self.stats);
        self.servers.set_zones(settings);
        self.update_router_settings(now);
    }

    /// Sets how many processes share the quota of this proxy.
    pub(crate) fn set_process_count(&mut self, now: Micros, process_count: u32) {
        if std::mem::replace(&mut self.classes.process_count, process_count) != process_count {
            self.update_router_settings(now);
        }
    }

    /// Passes the present settings to the router.
    fn update_router_settings(&mut self, now: Micros) {
        let settings = self.classes.router_settings();
        self.handle(now, Event::Settings(Box::new(settings)));
    }

    /// The number and rules of the class with this name, while requests of it are accepted.
    pub(crate) fn find_class(&self, now: Micros, name: &str) -> Option<(ClassId, &RequestClass)> {
        self.classes.find(now, name)
    }

    /// Where the required positions of session reads come from.
    pub(crate) fn session_position_source(&self) -> SessionPositionSource {
        self.classes.routing.session_positions
    }
}
