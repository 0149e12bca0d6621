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

pub(crate) fn classes<'a>(reader: &'a Reader<'a>) -> Vec<NamedClass> {
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
fn consistency<'a>(
    reader: &Reader<'a>,
    word: Option<&'a Value>,
    max_age_ms: Option<&'a Value>,
) -> Consistency {
    let key = "extra.class_read";
    match reader.word_in(word, key, "fresh") {
        "write" => Consistency::Write,
        "fresh" => Consistency::Strong,
        "session" => Consistency::Session,
        "bounded" => {
            let max_age_ms = reader.required_number_in(max_age_ms, "extra.max_age_ms");
            Consistency::BoundedStaleness(micros_from_ms(max_age_ms))
        }
        "any" => Consistency::Any,
        _ => {
            reader.unexpected(key, ExpectedValue::OneOf(vec!["write", "fresh", "session", "bounded", "any"]));
            Consistency::Strong
        }
    }
}

/// Reads one element of `classes`.
struct ClassReader<'a> {
    reader: &'a Reader<'a>,
    value: &'a Value,
    index: usize,
}

impl<'a> ClassReader<'a> {
    fn read(&self, consistency: Consistency) -> NamedClass {
        let idempotency = self.idempotency();
        let name = self.word_or("name", "").to_string();
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
        match self.word_or("idempotency", "single_shot") {
            "free" => Idempotency::Idempotent,
            "guarded" => {
                let scope = self.dedup_scope();
                Idempotency::WithKey { scope, dedup_window: self.required_micros("repeat_window_ms") }
            }
            "single_shot" => Idempotency::NotIdempotent,
            _ => {
                self.reader.unexpected(
                    &self.key("idempotency"),
                    ExpectedValue::OneOf(vec!["free", "guarded", "single_shot"]),
                );
                Idempotency::NotIdempotent
            }
        }
    }

    fn dedup_scope(&self) -> DedupScope {
        match self.word_or("dedup_scope", "cell") {
            "all" => DedupScope::AllServers,
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Group,
            _ => {
                self.reader
                    .unexpected(&self.key("dedup_scope"), ExpectedValue::OneOf(vec!["all", "zone", "cell"]));
                DedupScope::Group
            }
        }
    }

    fn get(&self, name: &str) -> Option<&'a Value> {
        self.value.get(name)
    }

    fn key(&self, name: &str) -> String {
        format!("classes[{}].{name}", self.index)
    }

    fn word_or(&self, name: &str, default: &'a str) -> &'a str {
        self.reader.word_in(self.get(name), &self.key(name), default)
    }

    fn required_number(&self, name: &str) -> f64 {
        self.reader.required_number_in(self.get(name), &self.key(name))
    }

    fn required_micros(&self, name: &str) -> Micros {
        micros_from_ms(self.required_number(name))
    }
}
