//! Reads the platform's settings JSON, which is part of a proxy's configuration and of the simulator's start records.
//!
//! Only this crate depends on the platform's key names, values and units. It maps them to the types of the decision
//! crate. Unknown keys are ignored; [`warnings()`] lists them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod classes;
mod error;
mod reader;
mod warning;
mod warnings;

use birchreach::{
    Consistency, EndpointDiscovery, LoadReportSource, Micros, RequestClass, SessionPositionSource, Settings,
    StaleReadPolicy, Tenant, ZoneId,
};
use classes::{NamedClass, read_classes};
pub use error::{ExpectedValue, FoundValue, SettingsError};
use reader::Reader;
use serde_json::Value;
pub use warning::{SettingsWarning, WarningKind};
pub use warnings::warnings;

/// Name of the value in a load report that contains the log position.
const POSITION_FIELD: &str = "x0";
/// Name of the value in a load report that contains the role.
const ROLE_FIELD: &str = "x1";
/// The idle timeout of connections if the settings have none.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 30_000.0;

/// Settings of a deployment: those of the router, and those that only the program around the router needs.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    /// Settings that are passed to the router.
    pub routing: Settings,
    /// Names of the request classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the zones; a [`ZoneId`] is an index into this list.
    pub zone_names: Vec<String>,
    /// Names of the values in a load report, in the order of the values.
    pub load_report_fields: Vec<String>,
    /// Servers close a connection after this idle time or earlier.
    pub connection_idle_timeout: Micros,
    /// The clock time from which log positions are counted.
    pub position_epoch: Micros,
    /// For each class, whether its requests carry the time since the last write of their session.
    pub session_position_in_request: Vec<bool>,
    /// Index of the log position among the values of a load report; `None` if load reports do not contain it.
    pub load_report_position_index: Option<usize>,
    /// Index of the role among the values of a load report; `None` if load reports do not contain it.
    pub load_report_role_index: Option<usize>,
}

/// Reads the settings from JSON text.
///
/// # Errors
/// Returns the first error that is found.
pub fn parse(text: &str) -> Result<DeploymentSettings, SettingsError> {
    let root: Value = serde_json::from_str(text).map_err(SettingsError::InvalidJson)?;
    from_value(&root)
}

/// Reads the settings from parsed JSON.
///
/// # Errors
/// Returns the first error that is found.
pub fn from_value(root: &Value) -> Result<DeploymentSettings, SettingsError> {
    let (settings, errors) = from_value_with_errors(root);
    errors.into_iter().next().map_or(Ok(settings), Err)
}

/// Reads the settings from parsed JSON and returns all errors. Each unusable value is replaced by a default.
pub fn from_value_with_errors(root: &Value) -> (DeploymentSettings, Vec<SettingsError>) {
    let reader = Reader::new(root);
    let settings = read_deployment(&reader);
    (settings, reader.into_errors())
}

/// Reads all settings. Errors are reported in the order in which this function reads the keys.
fn read_deployment(reader: &Reader) -> DeploymentSettings {
    let position_epoch = reader.micros_or("extra.counted_from_ms", 0.0);
    let session_positions = read_session_positions(reader);
    let (class_names, classes) = split_names(read_classes(reader));
    let tenants = read_tenants(reader);
    let load_report_fields = reader.strings("load_info.names");
    let index_of = |field: &str| load_report_fields.iter().position(|name| name == field);
    let (position_index, role_index) = (index_of(POSITION_FIELD), index_of(ROLE_FIELD));
    let positions_in_requests = session_positions == SessionPositionSource::FromRequest;
    let carries_position =
        |class: &RequestClass| positions_in_requests && class.consistency == Consistency::Session;
    let session_position_in_request = classes.iter().map(carries_position).collect();
    let routing = read_routing(reader, classes, tenants, session_positions, position_index.is_some());
    DeploymentSettings {
        routing,
        class_names,
        zone_names: reader.strings("dcs"),
        load_report_fields,
        connection_idle_timeout: reader.micros_or("limits.conn_idle_ms", DEFAULT_IDLE_TIMEOUT_MS),
        position_epoch,
        session_position_in_request,
        load_report_position_index: position_index,
        load_report_role_index: role_index,
    }
}

/// Reads the settings of the router, except for those that the caller has read and passes in.
fn read_routing(
    reader: &Reader,
    classes: Vec<RequestClass>,
    tenants: Vec<Tenant>,
    session_positions: SessionPositionSource,
    load_reports_have_position: bool,
) -> Settings {
    Settings {
        classes,
        tenants,
        session_positions,
        load_reports: read_load_reports(reader),
        load_reports_have_position,
        endpoint_discovery: read_endpoint_discovery(reader),
        stale_reads: read_stale_reads(reader),
        max_retry_after: read_max_retry_after(reader),
        proxy_count: reader.required_number("balancers") as u32,
        zone: ZoneId(reader.required_number("my_zone") as u16),
        max_attempts: reader.required_number("limits.attempts_cap") as u16,
        hedging_allowed: reader.flag("limits.parallel_tries"),
        cancellation_allowed: reader.flag("limits.may_cancel"),
        health_checks_allowed: reader.flag("limits.may_probe"),
        connect_timeout: reader.micros_or("limits.connect_timeout_ms", 0.0),
        drain_grace: reader.required_micros("obligations.drain_grace_ms"),
        removal_is_advisory: reader.flag("obligations.soft_removal"),
        slow_start_initial_fraction: reader.required_number("obligations.cold_share"),
        slow_start_window: reader.required_micros("obligations.cold_ms"),
        overload_factor: reader.required_number("obligations.fall_multiple"),
        overload_window: reader.required_micros("obligations.fall_ms"),
    }
}

/// Splits the classes into their names and their rules.
fn split_names(classes: Vec<NamedClass>) -> (Vec<String>, Vec<RequestClass>) {
    classes.into_iter().map(|class| (class.name, class.rules)).unzip()
}

/// Reads where the position of a session's last write comes from.
fn read_session_positions(reader: &Reader) -> SessionPositionSource {
    let choices = [
        ("carried", SessionPositionSource::FromRequest),
        ("remembered", SessionPositionSource::FromObservedWrites),
    ];
    reader.choice("extra.tokens", &choices, SessionPositionSource::FromRequest)
}

fn read_tenants(reader: &Reader) -> Vec<Tenant> {
    let tenants = reader.list("parties").iter().enumerate();
    tenants
        .map(|(index, tenant)| {
            let key = format!("parties[{index}].quota_per_s");
            Tenant { quota_per_second: reader.required_number_from(tenant.get("quota_per_s"), &key) }
        })
        .collect()
}

/// Reads which messages of servers contain load reports.
fn read_load_reports(reader: &Reader) -> LoadReportSource {
    let choices = [
        ("piggyback", LoadReportSource::Responses),
        ("pull", LoadReportSource::HealthChecks),
        ("silent", LoadReportSource::Never),
    ];
    reader.choice("load_info.via", &choices, LoadReportSource::Never)
}

/// Reads whether the endpoint list is pushed or polled.
fn read_endpoint_discovery(reader: &Reader) -> EndpointDiscovery {
    let choices = [("automatic", EndpointDiscovery::Pushed), ("subscribe", EndpointDiscovery::Polled)];
    reader.choice("registry_mode", &choices, EndpointDiscovery::Pushed)
}

/// Reads what a server does with a read for which its data is too old.
fn read_stale_reads(reader: &Reader) -> StaleReadPolicy {
    let choices = [
        ("silent", StaleReadPolicy::Served),
        ("refuse", StaleReadPolicy::Rejected),
        ("wait", StaleReadPolicy::Rejected),
    ];
    reader.choice("extra.guards", &choices, StaleReadPolicy::Served)
}

/// Reads the longest Retry-After. Returns `None` if rejections do not have a Retry-After.
fn read_max_retry_after(reader: &Reader) -> Option<Micros> {
    let is_allowed = reader.flag("limits.retry_after");
    is_allowed.then(|| reader.required_micros("limits.max_retry_after_ms"))
}
