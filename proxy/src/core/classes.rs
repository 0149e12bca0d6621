//! Numbers of request classes, and their use across changes of the settings.
//!
//! A number identifies one class and its rules for as long as a request of the class may be open. A class that is dropped from
//! the settings or gets other rules keeps its old number for a while. The changed class gets a free number.

use super::{Core, RequestPayload};
use crate::stats::{ClassRowIndex, RequestResult, Stats};
use birchreach::{ClassId, Consistency, Event, Micros, RequestClass, SessionPositionSource, Settings};
use birchreach_settings::DeploymentSettings;
use std::collections::HashSet;

/// How long a dropped class still accepts requests. Clients may not know yet that the class was dropped.
const DROPPED_CLASS_GRACE_MICROS: Micros = 2_000_000;

/// A class, and the state of its number.
#[derive(Clone, Debug)]
struct ClassEntry {
    name: String,
    rules: RequestClass,
    stats_row: ClassRowIndex,
    /// Set once the class is dropped or replaced by another class of the same name. All requests of the old class are expected to
    /// have arrived by this time.
    accepted_until: Option<Micros>,
}

impl ClassEntry {
    /// Returns whether the current settings contain this class.
    fn is_current(&self) -> bool {
        self.accepted_until.is_none()
    }

    fn accepts_requests(&self, now: Micros) -> bool {
        self.accepted_until.is_none_or(|until| now < until)
    }
}

/// All classes, and the settings of the router.
pub(super) struct ClassTable {
    /// Indexed by class number. Classes that were dropped are included.
    classes: Vec<ClassEntry>,
    /// Settings of the router. Their list of classes is not used, because `classes` replaces it.
    routing: Settings,
    /// Number of processes that share the quota of this proxy.
    process_count: u32,
}

impl ClassTable {
    /// Creates a table with the classes of these settings.
    pub(super) fn new(settings: &DeploymentSettings, stats: &mut Stats) -> ClassTable {
        let named = settings.class_names.iter().zip(&settings.routing.classes);
        let entries = named.map(|(name, rules)| ClassEntry {
            name: name.clone(),
            rules: rules.clone(),
            stats_row: stats.class_row(name),
            accepted_until: None,
        });
        ClassTable { classes: entries.collect(), routing: settings.routing.clone(), process_count: 1 }
    }

    fn get(&self, class: ClassId) -> Option<&ClassEntry> {
        self.classes.get(usize::from(class.0))
    }

    /// Counts a request of this class that received its final answer.
    pub(super) fn count_result(&self, stats: &mut Stats, class: ClassId, result: RequestResult) {
        if let Some(class) = self.get(class) {
            stats.count_result(class.stats_row, result);
        }
    }

    /// Returns whether requests of this class are writes; false for an unknown class.
    pub(super) fn is_write(&self, class: ClassId) -> bool {
        self.get(class).is_some_and(|class| class.rules.consistency == Consistency::Write)
    }

    /// Returns the consistency of a class; [`Consistency::Write`] for an unknown class.
    pub(super) fn consistency(&self, class: ClassId) -> Consistency {
        self.get(class).map_or(Consistency::Write, |class| class.rules.consistency)
    }

    /// Returns the consistency of each class, indexed by class number.
    pub(super) fn consistencies(&self) -> Vec<Consistency> {
        self.classes.iter().map(|class| class.rules.consistency).collect()
    }

    /// Returns the number of processes of this proxy, including this one.
    pub(super) fn process_count(&self) -> u32 {
        self.process_count
    }

    /// Returns whether the settings allow health checks.
    pub(super) fn health_checks_allowed(&self) -> bool {
        self.routing.health_checks_allowed
    }

    /// Applies new settings. `in_use` contains the numbers of classes with open requests or attempts.
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

    /// Drops the classes that are missing from the settings or have other rules there. A dropped class that the settings contain
    /// again with the same rules becomes current again.
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
        let entry = ClassEntry {
            name: name.to_string(),
            rules: rules.clone(),
            stats_row: stats.class_row(name),
            accepted_until: None,
        };
        let is_free = |(index, class): (usize, &ClassEntry)| {
            !class.accepts_requests(now) && !in_use.iter().any(|class_id| usize::from(class_id.0) == index)
        };
        match self.classes.iter().enumerate().position(is_free) {
            Some(index) => self.classes[index] = entry,
            None => self.classes.push(entry),
        }
    }

    /// Returns the settings for the router, in which each process of this proxy counts as a separate proxy.
    fn router_settings(&self) -> Settings {
        let classes = self.classes.iter().map(|class| class.rules.clone()).collect();
        let proxy_count = self.routing.proxy_count.saturating_mul(self.process_count);
        Settings { classes, proxy_count, ..self.routing.clone() }
    }

    /// Returns the number and rules of a class that accepts requests. If several classes have this name, the current one is
    /// preferred.
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

    /// Sets the number of processes that share the quota of this proxy.
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

    /// Returns the number and rules of the class with this name, or `None` if no class with this name accepts requests.
    pub(crate) fn find_class(&self, now: Micros, name: &str) -> Option<(ClassId, &RequestClass)> {
        self.classes.find(now, name)
    }

    /// Returns where the required positions of session reads come from.
    pub(crate) fn session_position_source(&self) -> SessionPositionSource {
        self.classes.routing.session_positions
    }
}
