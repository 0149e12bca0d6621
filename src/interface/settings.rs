//! Settings of the router: request classes, limits and the rules that the servers impose.

use super::{Micros, ZoneId};

/// Consistency that a class of requests requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write, which only the primary accepts.
    Write,
    /// A read that sees every commit made before the request arrived.
    Strong,
    /// A read that sees every write of its own session.
    Session,
    /// A read that sees data of at most this age when the response is sent.
    BoundedStaleness(Micros),
    /// A read that any member of the group may serve, however old its data is.
    Any,
}

impl Consistency {
    /// Whether only the primary may serve the request.
    pub fn requires_primary(self) -> bool {
        matches!(self, Consistency::Write | Consistency::Strong)
    }

    /// Maximum age of the data; `None` without a bound on the age.
    pub fn max_staleness(self) -> Option<Micros> {
        if let Consistency::BoundedStaleness(age) = self { Some(age) } else { None }
    }
}

/// Which servers recognise a duplicate request by its idempotency key and drop it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// The servers of all groups and zones.
    AllServers,
    /// The servers in the zone of the first server that may have run the request.
    Zone,
    /// The servers of the request's group.
    Group,
}

/// What happens if a request runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second execution has no further effect: the request may always be retried.
    Idempotent,
    /// The servers in `scope` drop duplicates for `dedup_window` after the first attempt that may have run.
    WithKey {
        /// Servers that drop duplicates.
        scope: DedupScope,
        /// Time after the first attempt that may have run during which duplicates are dropped.
        dedup_window: Micros,
    },
    /// A second execution has further effects: the request may be retried only while no attempt can have run.
    NotIdempotent,
}

/// The rules and objectives that the requests of a class share.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Which data a request has to see, or whether it is a write.
    pub consistency: Consistency,
    /// What happens if a request runs twice.
    pub idempotency: Idempotency,
    /// A response within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// Time after which clients stop waiting for a response.
    pub client_timeout: Micros,
    /// Value of a response relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the latency objective still earns.
    pub late_weight_fraction: f64,
}

/// The request rate that a tenant is entitled to. It affects no decision of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, summed over all proxies, that count in full.
    pub quota_per_second: f64,
}

/// Source of the log position that a session read has to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPositionSource {
    /// The request contains the commit position of the session's last write.
    FromRequest,
    /// The router records the commit positions in the responses to writes.
    FromObservedWrites,
}

/// How servers handle a read for which their data is too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// The server serves the read from the data that it has.
    Served,
    /// The server rejects the read, immediately or after a short wait.
    Rejected,
}

/// How the endpoint list reaches the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointDiscovery {
    /// Changes arrive without being requested.
    Pushed,
    /// Changes arrive only after [`Action::WatchEndpoints`](super::Action::WatchEndpoints).
    Polled,
}

/// Which messages carry a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Responses and health checks.
    Responses,
    /// Health checks only.
    HealthChecks,
    /// The servers send no load reports.
    Never,
}

/// Settings of a router. The caller passes them at the start and whenever they change.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of proxies that share the servers, this one included. 0 counts as 1.
    pub proxy_count: u32,
    /// Zone that this proxy runs in.
    pub zone: ZoneId,
    /// Request classes, indexed by [`ClassId`](super::ClassId).
    pub classes: Vec<RequestClass>,
    /// Tenants, indexed by [`TenantId`](super::TenantId); empty if none are configured.
    pub tenants: Vec<Tenant>,
    /// Source of the positions that session reads have to see.
    pub session_positions: SessionPositionSource,
    /// How servers handle reads for which their data is too old.
    pub stale_reads: StaleReadPolicy,
    /// How the endpoint list reaches the router.
    pub endpoint_discovery: EndpointDiscovery,
    /// Which messages carry load reports.
    pub load_reports: LoadReportSource,
    /// Whether load reports contain a log position.
    pub load_reports_have_position: bool,
    /// Maximum number of attempts for a request, the first one included.
    pub max_attempts: u16,
    /// Whether several attempts of one request may be in flight at the same time (hedged requests).
    pub hedging_allowed: bool,
    /// Whether the router may return [`Action::Cancel`](super::Action::Cancel).
    pub cancellation_allowed: bool,
    /// Whether the router may return [`Action::HealthCheck`](super::Action::HealthCheck).
    pub health_checks_allowed: bool,
    /// Longest retry delay that clients honour; `None` if they honour none.
    pub max_retry_after: Option<Micros>,
    /// Time after which a connection attempt fails. If it fails sooner, the connection was refused.
    pub connect_timeout: Micros,
    /// Time after the change of state from which a draining or removed server may get no new work.
    pub drain_grace: Micros,
    /// Whether work may still be sent to a server that is listed as removed, or is missing from the list, without
    /// having been draining before.
    pub removal_is_advisory: bool,
    /// Slow start: fraction of its capacity that a server has when its process starts.
    pub slow_start_initial_fraction: f64,
    /// Slow start: time after which a server has its full capacity.
    pub slow_start_window: Micros,
    /// Slow start: a server fails if its load exceeds this multiple of its current capacity for the overload window.
    pub overload_factor: f64,
    /// Slow start: time over which this overload is measured.
    pub overload_window: Micros,
}
