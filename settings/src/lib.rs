//! The settings JSON, as the simulator's first message and a proxy's configuration hold it, read
//! once into what the decision module and its hosts need. Unknown keys are skipped, and told as doubts.

mod warnings;

use birchreach::*;
use serde_json::Value;
use std::cell::RefCell;
pub use warnings::warnings;

/// What the module is told, and what its hosts need to know besides.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    /// The module's own part.
    pub routing: Settings,
    /// The classes' names, in the order of the module's classes.
    pub class_names: Vec<String>,
    /// The zones' names; a zone's number is its place.
    pub zone_names: Vec<String>,
    /// The names of a load report's values, in their order.
    pub load_report_fields: Vec<String>,
    /// Servers close a connection that has been idle for this long, at the latest.
    pub connection_idle_timeout: Micros,
    /// The clock time that positions are counted from.
    pub position_epoch: Micros,
    /// Session reads say how long ago their session wrote.
    pub session_position_in_request: Vec<bool>,
    /// The place of the position in a report.
    pub load_report_position_index: Option<usize>,
    /// The place of the role in a report.
    pub load_report_role_index: Option<usize>,
}

type Read<T> = Result<T, String>;

fn bad<T>(key: &str, wanted: &str) -> Read<T> {
    Err(format!("settings: {key}: expected {wanted}"))
}

/// Looks up `a.b.c`; absent and null are the same.
fn find<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    let found = path.split('.').try_fold(root, |v, key| v.get(key))?;
    (!found.is_null()).then_some(found)
}

fn number(v: Option<&Value>, key: &str, absent: Option<f64>) -> Read<f64> {
    match (v, absent) {
        (None, Some(value)) => Ok(value),
        (Some(v), _) => match v.as_f64() {
            Some(n) if n.is_finite() && n >= 0.0 => Ok(n),
            _ => bad(key, "a number that is not negative"),
        },
        (None, None) => bad(key, "a number, but it is absent"),
    }
}

fn flag(root: &Value, key: &str) -> Read<bool> {
    match find(root, key) {
        None => Ok(false),
        Some(v) => v.as_bool().map_or_else(|| bad(key, "true or false"), Ok),
    }
}

fn word<'a>(v: Option<&'a Value>, key: &str, absent: &'a str) -> Read<&'a str> {
    match v {
        None => Ok(absent),
        Some(v) => v.as_str().map_or_else(|| bad(key, "a word"), Ok),
    }
}

fn span(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}

fn list<'a>(root: &'a Value, key: &str) -> Read<&'a [Value]> {
    match find(root, key) {
        None => Ok(&[]),
        Some(v) => v.as_array().map_or_else(|| bad(key, "a list"), |a| Ok(a.as_slice())),
    }
}

/// The words of a list; what is none of them keeps its place as an empty word.
fn words(root: &Value, key: &str) -> Read<Vec<String>> {
    Ok(list(root, key)?.iter().map(|v| v.as_str().unwrap_or_default().to_string()).collect())
}

/// Reads the settings from their text.
pub fn parse(text: &str) -> Read<DeploymentSettings> {
    let root: Value = serde_json::from_str(text).map_err(|e| format!("settings: info: {e}"))?;
    from_value(&root)
}

/// Reads the settings from JSON that has been parsed already; the error is the first fault.
pub fn from_value(root: &Value) -> Read<DeploymentSettings> {
    let (site, faults) = from_value_with_errors(root);
    faults.into_iter().next().map_or(Ok(site), Err)
}

/// The same, with every fault there is; something harmless stands in the site where one was.
pub fn from_value_with_errors(root: &Value) -> (DeploymentSettings, Vec<String>) {
    let faults = SettingsErrors::default();
    let site = site(root, &faults);
    (site, faults.0.into_inner())
}

/// What was found wrong; reading goes on with something harmless in its place.
#[derive(Default)]
struct SettingsErrors(RefCell<Vec<String>>);

impl SettingsErrors {
    fn or<T>(&self, read: Read<T>, instead: T) -> T {
        read.unwrap_or_else(|fault| {
            self.0.borrow_mut().push(fault);
            instead
        })
    }
}

fn site(root: &Value, faults: &SettingsErrors) -> DeploymentSettings {
    if !root.is_object() {
        faults.or(bad("info", "an object"), ());
    }
    let num = |key: &str| faults.or(number(find(root, key), key, None), 0.0);
    let num_or_0 = |key: &str| faults.or(number(find(root, key), key, Some(0.0)), 0.0);
    let flag = |root, key| faults.or(flag(root, key), false);
    let words = |root, key| faults.or(words(root, key), Vec::new());
    let list = |key| faults.or(list(root, key), &[][..]);
    let word = |v, key: &str, absent| faults.or(word(v, key, absent), absent);
    let zero_ms = num_or_0("extra.counted_from_ms");
    let tokens = match word(find(root, "extra.tokens"), "extra.tokens", "carried") {
        "carried" => SessionPositionSource::FromRequest,
        "remembered" => SessionPositionSource::FromObservedWrites,
        _ => faults.or(bad("extra.tokens", "'carried' or 'remembered'"), SessionPositionSource::FromRequest),
    };
    let reads = list("extra.class_read");
    let ages = list("extra.max_age_ms");
    let mut classes = Vec::new();
    let mut class_names = Vec::new();
    for (i, class) in list("classes").iter().enumerate() {
        let key = |name: &str| format!("classes[{i}].{name}");
        let num = |name: &str, absent| faults.or(number(class.get(name), &key(name), absent), 0.0);
        let need = match word(reads.get(i), "extra.class_read", "fresh") {
            "write" => Consistency::Write,
            "fresh" => Consistency::Strong,
            "session" => Consistency::Session,
            "bounded" => Consistency::BoundedStaleness(span(
                faults.or(number(ages.get(i), "extra.max_age_ms", None), 0.0),
            )),
            "any" => Consistency::Any,
            _ => faults
                .or(bad("extra.class_read", "write, fresh, session, bounded or any"), Consistency::Strong),
        };
        let effect = match word(class.get("idempotency"), &key("idempotency"), "single_shot") {
            "free" => Idempotency::Idempotent,
            "guarded" => Idempotency::WithKey {
                scope: match word(class.get("dedup_scope"), &key("dedup_scope"), "cell") {
                    "all" => DedupScope::AllServers,
                    "zone" => DedupScope::Zone,
                    "cell" => DedupScope::Group,
                    _ => faults.or(bad(&key("dedup_scope"), "all, zone or cell"), DedupScope::Group),
                },
                dedup_window: span(num("repeat_window_ms", None)),
            },
            "single_shot" => Idempotency::NotIdempotent,
            _ => faults
                .or(bad(&key("idempotency"), "free, guarded or single_shot"), Idempotency::NotIdempotent),
        };
        class_names.push(word(class.get("name"), &key("name"), "").to_string());
        classes.push(RequestClass {
            consistency: need,
            idempotency: effect,
            latency_objective: span(num("goal_time_ms", None)),
            client_timeout: span(num("deadline_ms", None)),
            priority_weight: num("credit", None),
            late_weight_fraction: num("late_worth", Some(0.0)),
        });
    }
    let mut tenants = Vec::new();
    for (i, tenant) in list("parties").iter().enumerate() {
        let key = format!("parties[{i}].quota_per_s");
        let quota_per_s = faults.or(number(tenant.get("quota_per_s"), &key, None), 0.0);
        tenants.push(Tenant { quota_per_second: quota_per_s });
    }
    let report_names = words(root, "load_info.names");
    let place = |name: &str| report_names.iter().position(|v| v == name);
    let reports = match word(find(root, "load_info.via"), "load_info.via", "silent") {
        "piggyback" => LoadReportSource::Responses,
        "pull" => LoadReportSource::HealthChecks,
        "silent" => LoadReportSource::Never,
        _ => faults.or(bad("load_info.via", "piggyback, pull or silent"), LoadReportSource::Never),
    };
    let list_mode = match word(find(root, "registry_mode"), "registry_mode", "automatic") {
        "automatic" => EndpointDiscovery::Pushed,
        "subscribe" => EndpointDiscovery::Polled,
        _ => faults.or(bad("registry_mode", "automatic or subscribe"), EndpointDiscovery::Pushed),
    };
    let checks = match word(find(root, "extra.guards"), "extra.guards", "silent") {
        "silent" => StaleReadPolicy::Served,
        "refuse" | "wait" => StaleReadPolicy::Rejected,
        _ => faults.or(bad("extra.guards", "silent, refuse or wait"), StaleReadPolicy::Served),
    };
    let max_retry_after =
        if flag(root, "limits.retry_after") { Some(span(num("limits.max_retry_after_ms"))) } else { None };
    let carried = classes
        .iter()
        .map(|c| c.consistency == Consistency::Session && tokens == SessionPositionSource::FromRequest)
        .collect();
    let (report_position, report_role) = (place("x0"), place("x1"));
    DeploymentSettings {
        class_names,
        zone_names: words(root, "dcs"),
        connection_idle_timeout: span(
            faults.or(
                number(find(root, "limits.conn_idle_ms"), "limits.conn_idle_ms", Some(30_000.0)),
                30_000.0,
            ),
        ),
        load_report_fields: report_names,
        position_epoch: span(zero_ms),
        session_position_in_request: carried,
        load_report_position_index: report_position,
        load_report_role_index: report_role,
        routing: Settings {
            proxy_count: num("balancers") as u32,
            zone: ZoneId(num("my_zone") as u16),
            classes,
            tenants,
            session_positions: tokens,
            stale_reads: checks,
            endpoint_discovery: list_mode,
            load_reports: reports,
            load_reports_have_position: report_position.is_some(),
            max_attempts: num("limits.attempts_cap") as u16,
            hedging_allowed: flag(root, "limits.parallel_tries"),
            cancellation_allowed: flag(root, "limits.may_cancel"),
            health_checks_allowed: flag(root, "limits.may_probe"),
            max_retry_after,
            connect_timeout: span(num_or_0("limits.connect_timeout_ms")),
            drain_grace: span(num("obligations.drain_grace_ms")),
            removal_is_advisory: flag(root, "obligations.soft_removal"),
            slow_start_initial_fraction: num("obligations.cold_share"),
            slow_start_window: span(num("obligations.cold_ms")),
            overload_factor: num("obligations.fall_multiple"),
            overload_window: span(num("obligations.fall_ms")),
        },
    }
}
