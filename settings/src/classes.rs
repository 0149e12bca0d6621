//! Reads the request classes. The settings of a class are in an element of `classes` and in elements of lists in
//! `extra`.

use crate::reader::{Reader, micros_from_ms};
use birchreach::{Consistency, DedupScope, Idempotency, Micros, RequestClass};
use serde_json::Value;

/// A request class and its name.
pub(crate) struct NamedClass {
    pub name: String,
    pub rules: RequestClass,
}

/// Reads the request classes in the order of the settings.
pub(crate) fn read_classes(reader: &Reader) -> Vec<NamedClass> {
    let consistencies = reader.list("extra.class_read");
    let max_ages = reader.list("extra.max_age_ms");
    let classes = reader.list("classes").iter().enumerate();
    classes
        .map(|(index, element)| {
            let consistency = read_consistency(reader, consistencies.get(index), max_ages.get(index));
            ClassReader { reader, element, index }.read(consistency)
        })
        .collect()
}

/// The values in `extra.class_read`. The maximum age of a bounded class is in `extra.max_age_ms`.
#[derive(Clone, Copy)]
enum ConsistencyName {
    Write,
    Fresh,
    Session,
    Bounded,
    Any,
}

/// Reads the consistency of a class. A class without an entry goes to the primary only.
fn read_consistency(reader: &Reader, entry: Option<&Value>, max_age_ms: Option<&Value>) -> Consistency {
    let choices = [
        ("write", ConsistencyName::Write),
        ("fresh", ConsistencyName::Fresh),
        ("session", ConsistencyName::Session),
        ("bounded", ConsistencyName::Bounded),
        ("any", ConsistencyName::Any),
    ];
    match reader.choice_from(entry, "extra.class_read", &choices, ConsistencyName::Fresh) {
        ConsistencyName::Write => Consistency::Write,
        ConsistencyName::Fresh => Consistency::Strong,
        ConsistencyName::Session => Consistency::Session,
        ConsistencyName::Bounded => {
            let max_age_ms = reader.required_number_from(max_age_ms, "extra.max_age_ms");
            Consistency::BoundedStaleness(micros_from_ms(max_age_ms))
        }
        ConsistencyName::Any => Consistency::Any,
    }
}

/// The values of `idempotency`. The scope and the window of a guarded class are in other keys.
#[derive(Clone, Copy)]
enum IdempotencyName {
    Free,
    Guarded,
    SingleShot,
}

/// Reads one element of `classes`.
struct ClassReader<'a> {
    reader: &'a Reader<'a>,
    element: &'a Value,
    index: usize,
}

impl ClassReader<'_> {
    /// Reads the class. The caller passes the consistency because it is not in the element.
    fn read(&self, consistency: Consistency) -> NamedClass {
        let idempotency = self.idempotency();
        let name = self.string("name").unwrap_or_default().to_string();
        let rules = RequestClass {
            consistency,
            idempotency,
            latency_objective: self.required_micros("goal_time_ms"),
            client_timeout: self.required_micros("deadline_ms"),
            priority_weight: self.required_number("credit"),
            late_weight_fraction: self.reader.number_from(
                self.get("late_worth"),
                &self.path("late_worth"),
                0.0,
            ),
        };
        NamedClass { name, rules }
    }

    fn idempotency(&self) -> Idempotency {
        let choices = [
            ("free", IdempotencyName::Free),
            ("guarded", IdempotencyName::Guarded),
            ("single_shot", IdempotencyName::SingleShot),
        ];
        match self.choice("idempotency", &choices, IdempotencyName::SingleShot) {
            IdempotencyName::Free => Idempotency::Idempotent,
            IdempotencyName::Guarded => {
                let scope = self.dedup_scope();
                Idempotency::WithKey { scope, dedup_window: self.required_micros("repeat_window_ms") }
            }
            IdempotencyName::SingleShot => Idempotency::NotIdempotent,
        }
    }

    /// Reads which servers recognise a repeated request by its idempotency key.
    fn dedup_scope(&self) -> DedupScope {
        let choices =
            [("all", DedupScope::AllServers), ("zone", DedupScope::Zone), ("cell", DedupScope::Group)];
        self.choice("dedup_scope", &choices, DedupScope::Group)
    }

    fn get(&self, name: &str) -> Option<&Value> {
        self.element.get(name)
    }

    /// Returns the path of a key of this class.
    fn path(&self, name: &str) -> String {
        format!("classes[{}].{name}", self.index)
    }

    fn string(&self, name: &str) -> Option<&str> {
        self.reader.string_from(self.get(name), &self.path(name))
    }

    fn choice<T: Copy>(&self, name: &str, choices: &[(&'static str, T)], default: T) -> T {
        self.reader.choice_from(self.get(name), &self.path(name), choices, default)
    }

    fn required_number(&self, name: &str) -> f64 {
        self.reader.required_number_from(self.get(name), &self.path(name))
    }

    fn required_micros(&self, name: &str) -> Micros {
        micros_from_ms(self.required_number(name))
    }
}
