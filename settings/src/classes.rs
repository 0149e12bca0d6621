//! Request classes in the settings: their rules are spread over `classes` and lists of `extra`.

use crate::error::ExpectedValue;
use crate::reader::{Reader, micros_from_ms};
use birchreach::{Consistency, DedupScope, Idempotency, Micros, RequestClass};
use serde_json::Value;

/// A request class and its name.
pub(crate) struct NamedClass {
    pub name: String,
    pub rules: RequestClass,
}

/// Reads the request classes, in their order.
pub(crate) fn classes(reader: &Reader) -> Vec<NamedClass> {
    let consistencies = reader.list("extra.class_read");
    let max_ages = reader.list("extra.max_age_ms");
    let classes = reader.list("classes").iter().enumerate();
    classes
        .map(|(index, value)| {
            let consistency = consistency(reader, consistencies.get(index), max_ages.get(index));
            ClassReader { reader, value, index }.read(consistency)
        })
        .collect()
}

/// A class without an entry goes to the primary alone.
fn consistency(reader: &Reader, entry: Option<&Value>, max_age_ms: Option<&Value>) -> Consistency {
    let key = "extra.class_read";
    match reader.string_in(entry, key) {
        Some("write") => Consistency::Write,
        None | Some("fresh") => Consistency::Strong,
        Some("session") => Consistency::Session,
        Some("bounded") => {
            let max_age_ms = reader.required_number_in(max_age_ms, "extra.max_age_ms");
            Consistency::BoundedStaleness(micros_from_ms(max_age_ms))
        }
        Some("any") => Consistency::Any,
        Some(_) => {
            let expected = vec!["write", "fresh", "session", "bounded", "any"];
            reader.unexpected(key, ExpectedValue::OneOf(expected));
            Consistency::Strong
        }
    }
}

/// Reads one element of `classes`.
struct ClassReader<'a> {
    reader: &'a Reader<'a>,
    /// The element.
    value: &'a Value,
    index: usize,
}

impl ClassReader<'_> {
    /// Reads the class, whose consistency comes from lists beside the element.
    fn read(&self, consistency: Consistency) -> NamedClass {
        let idempotency = self.idempotency();
        let name = self.string("name").unwrap_or_default().to_string();
        let rules = RequestClass {
            consistency,
            idempotency,
            latency_objective: self.required_micros("goal_time_ms"),
            client_timeout: self.required_micros("deadline_ms"),
            priority_weight: self.required_number("credit"),
            late_weight_fraction: self.reader.number_in(self.get("late_worth"), &self.key("late_worth"), 0.0),
        };
        NamedClass { name, rules }
    }

    fn idempotency(&self) -> Idempotency {
        match self.string("idempotency") {
            Some("free") => Idempotency::Idempotent,
            Some("guarded") => {
                let scope = self.dedup_scope();
                Idempotency::WithKey { scope, dedup_window: self.required_micros("repeat_window_ms") }
            }
            None | Some("single_shot") => Idempotency::NotIdempotent,
            Some(_) => {
                let expected = vec!["free", "guarded", "single_shot"];
                self.reader.unexpected(&self.key("idempotency"), ExpectedValue::OneOf(expected));
                Idempotency::NotIdempotent
            }
        }
    }

    /// Which servers recognise a repeated request by its key.
    fn dedup_scope(&self) -> DedupScope {
        let choices =
            [("all", DedupScope::AllServers), ("zone", DedupScope::Zone), ("cell", DedupScope::Group)];
        let key = self.key("dedup_scope");
        self.reader.choice_in(self.get("dedup_scope"), &key, &choices, DedupScope::Group)
    }

    fn get(&self, name: &str) -> Option<&Value> {
        self.value.get(name)
    }

    /// The path of a key of this class.
    fn key(&self, name: &str) -> String {
        format!("classes[{}].{name}", self.index)
    }

    fn string(&self, name: &str) -> Option<&str> {
        self.reader.string_in(self.get(name), &self.key(name))
    }

    fn required_number(&self, name: &str) -> f64 {
        self.reader.required_number_in(self.get(name), &self.key(name))
    }

    fn required_micros(&self, name: &str) -> Micros {
        micros_from_ms(self.required_number(name))
    }
}
