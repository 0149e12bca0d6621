//! The JSON bodies of responses. Programs depend on their keys, so the structs here map the verdict's fields to the
//! keys.

use super::ServerNames;
use crate::labels::{Reason, State};
use crate::query::HealthQuery;
use crate::verdict::{Capability, GroupVerdict, Verdict};
use crate::{GroupId, Micros};
use serde::Serialize;

#[derive(Serialize)]
struct CapabilityReport {
    #[serde(rename = "able")]
    available: bool,
    partial: bool,
    reason: Reason,
    #[serde(rename = "weight")]
    weight_percent: u8,
    since_ms: Micros,
}

impl CapabilityReport {
    fn new(now: Micros, capability: &Capability) -> CapabilityReport {
        CapabilityReport {
            available: capability.available,
            partial: capability.partial,
            reason: capability.reason,
            weight_percent: capability.weight_percent,
            since_ms: age_ms(now, capability.since),
        }
    }
}

#[derive(Serialize)]
struct GroupReport {
    group: GroupId,
    #[serde(rename = "members")]
    accepting_servers: usize,
    #[serde(rename = "primary")]
    proven_primary: Option<String>,
    proven_ms: Option<Micros>,
    read: CapabilityReport,
    write: CapabilityReport,
}

impl GroupReport {
    fn new(now: Micros, group: &GroupVerdict, names: ServerNames) -> GroupReport {
        GroupReport {
            group: group.group,
            accepting_servers: group.accepting_servers,
            proven_primary: group.proven_primary.map(names),
            proven_ms: group.proven_at.map(|at| age_ms(now, at)),
            read: CapabilityReport::new(now, &group.read),
            write: CapabilityReport::new(now, &group.write),
        }
    }
}

#[derive(Serialize)]
struct ClassReport<'a> {
    class: &'a str,
    #[serde(flatten)]
    capability: Option<CapabilityReport>,
}

/// The JSON object in the response to a request for `/health`.
#[derive(Serialize)]
struct Report<'a> {
    state: State,
    #[serde(flatten)]
    overall: CapabilityReport,
    pressure: f64,
    in_progress: usize,
    #[serde(rename = "held")]
    queued: usize,
    #[serde(rename = "room")]
    client_capacity: usize,
    discovery_ms: Option<Micros>,
    #[serde(rename = "ignored")]
    ignored_servers: u64,
    classes: Vec<ClassReport<'a>>,
    groups: Vec<GroupReport>,
}

/// Returns the complete report as one line of JSON. It contains the overall state, all classes and all groups, with
/// reasons and ages in milliseconds.
pub fn report(now: Micros, verdict: &Verdict, names: ServerNames) -> String {
    let classes = verdict.classes.iter().map(|class| {
        let query = HealthQuery { class: Some(class.name.clone()), ..HealthQuery::default() };
        let capability = verdict.capability(&query);
        ClassReport {
            class: &class.name,
            capability: capability.map(|capability| CapabilityReport::new(now, &capability)),
        }
    });
    let groups = verdict.groups.iter().map(|group| GroupReport::new(now, group, names));
    to_json_line(&Report {
        state: verdict.state,
        overall: CapabilityReport::new(now, &verdict.overall),
        pressure: (verdict.pressure * 1000.0).round() / 1000.0,
        in_progress: verdict.in_progress,
        queued: verdict.queued,
        client_capacity: verdict.client_capacity,
        discovery_ms: verdict.discovery_responded_at.map(|at| age_ms(now, at)),
        ignored_servers: verdict.ignored_servers,
        classes: classes.collect(),
        groups: groups.collect(),
    })
}

/// Returns one capability as a line of JSON.
pub(super) fn capability_report(now: Micros, capability: &Capability) -> String {
    to_json_line(&CapabilityReport::new(now, capability))
}

fn age_ms(now: Micros, at: Micros) -> Micros {
    (now - at).max(0) / 1000
}

fn to_json_line(value: &impl Serialize) -> String {
    // Serialization of numbers, strings and lists never fails.
    serde_json::to_string(value).map_or_else(|_| "{}\n".into(), |text| text + "\n")
}
