//! The settings JSON of the platform, as a proxy's configuration and the simulator's first message hold it.
//!
//! This crate is the only place that knows the platform's key names, values and units; it maps them to the types of the
//! decision crate. Unknown keys are skipped; [`warnings`] lists them.
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
use classes::{NamedClass, classes};
pub use error::{ExpectedValue, FoundValue, SettingsError};
use reader::Reader;
use serde_json::Value;
pub use warning::{SettingsWarning, WarningKind};
pub use warnings::warnings;

/// Name of the value in a load report that holds the log position.
const POSITION_FIELD: &str = "x0";
/// Name of the value in a load report that holds the role.
const ROLE_FIELD: &str = "x1";
/// How long servers keep an idle connection where the platform doesn't say.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 30_000.0;

/// Settings of a deployment: those of the router, and what its hosts need beside them.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    /// Settings of the router.
    pub routing: Settings,
    /// Names of the request classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the zones; a [`ZoneId`] is an index into this list.
    pub zone_names: Vec<String>,
    /// Names of the values in a load report, in their order.
    pub load_report_fields: Vec<String>,
    /// Servers close a connection that has been idle for this time, or sooner.
    pub connection_idle_timeout: Micros,
    /// The clock time from which log positions are counted.
    pub position_epoch: Micros,
    /// For each class: its requests carry the time since their session's last write.
    pub session_position_in_request: Vec<bool>,
    /// Index of the log position among the values of a load report.
    pub load_report_position_index: Option<usize>,
    /// Index of the role among the values of a load report.
    pub load_report_role_index: Option<usize>,
}

/// Reads the settings from their text.
///
/// # Errors
/// The first error found.
pub fn parse(text: &str) -> Result<DeploymentSettings, SettingsError> {
    let root: Value = serde_json::from_str(text).map_err(SettingsError::InvalidJson)?;
    from_value(&root)
}

/// Reads the settings from parsed JSON.
///
/// # Errors
/// The first error found.
pub fn from_value(root: &Value) -> Result<DeploymentSettings, SettingsError> {
    let (settings, errors) = from_value_with_errors(root);
    errors.into_iter().next().map_or(Ok(settings), Err)
}

/// Reads the settings from parsed JSON and returns all errors. A value with an error is replaced by a default.
pub fn from_value_with_errors(root: &Value) -> (DeploymentSettings, Vec<SettingsError>) {
    let reader = Reader::new(root);
    let settings = read(&reader);
    (settings, reader.into_errors())
}

/// Reads all settings. The order of reading is that of the errors.
fn read(reader: &Reader) -> DeploymentSettings {
    let position_epoch = reader.micros_or("extra.counted_from_ms", 0.0);
    let session_positions = session_positions(reader);
    let (class_names, classes) = split_names(classes(reader));
    let tenants = tenants(reader);
    let load_report_fields = reader.strings("load_info.names");
    let index_of = |field: &str| load_report_fields.iter().position(|name| name == field);
    let (position_index, role_index) = (index_of(POSITION_FIELD), index_of(ROLE_FIELD));
    let from_request = session_positions == SessionPositionSource::FromRequest;
    let carries = |class: &RequestClass| class.consistency == Consistency::Session && from_request;
    let session_position_in_request = classes.iter().map(carries).collect();
    let routing = routing(reader, classes, tenants, session_positions, position_index.is_some());
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

/// Reads the settings of the router, except for those that the caller has read already.
fn routing(
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
        load_reports: load_reports(reader),
        load_reports_have_position,
        endpoint_discovery: endpoint_discovery(reader),
        stale_reads: stale_reads(reader),
        max_retry_after: max_retry_after(reader),
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

/// The names of the classes, and apart from them their rules.
fn split_names(classes: Vec<NamedClass>) -> (Vec<String>, Vec<RequestClass>) {
    classes.into_iter().map(|class| (class.name, class.rules)).unzip()
}

/// Where the position of a session's last write is taken from.
fn session_positions(reader: &Reader) -> SessionPositionSource {
    let choices = [
        ("carried", SessionPositionSource::FromRequest),
        ("remembered", SessionPositionSource::FromObservedWrites),
    ];
    reader.choice("extra.tokens", &choices, SessionPositionSource::FromRequest)
}

fn tenants(reader: &Reader) -> Vec<Tenant> {
    let tenants = reader.list("parties").iter().enumerate();
    tenants
        .map(|(index, tenant)| {
            let key = format!("parties[{index}].quota_per_s");
            Tenant { quota_per_second: reader.required_number_in(tenant.get("quota_per_s"), &key) }
        })
        .collect()
}

/// Which messages of servers have load reports.
fn load_reports(reader: &Reader) -> LoadReportSource {
    let choices = [
        ("piggyback", LoadReportSource::Responses),
        ("pull", LoadReportSource::HealthChecks),
        ("silent", LoadReportSource::Never),
    ];
    reader.choice("load_info.via", &choices, LoadReportSource::Never)
}

/// Whether the endpoint list is pushed or polled.
fn endpoint_discovery(reader: &Reader) -> EndpointDiscovery {
    let choices = [("automatic", EndpointDiscovery::Pushed), ("subscribe", EndpointDiscovery::Polled)];
    reader.choice("registry_mode", &choices, EndpointDiscovery::Pushed)
}

/// What servers do with a read that they are too far behind for.
fn stale_reads(reader: &Reader) -> StaleReadPolicy {
    let choices = [
        ("silent", StaleReadPolicy::Served),
        ("refuse", StaleReadPolicy::Rejected),
        ("wait", StaleReadPolicy::Rejected),
    ];
    reader.choice("extra.guards", &choices, StaleReadPolicy::Served)
}

/// The longest Retry-After; none if rejections have none.
fn max_retry_after(reader: &Reader) -> Option<Micros> {
    let advised = reader.flag("limits.retry_after");
    advised.then(|| reader.required_micros("limits.max_retry_after_ms"))
}
