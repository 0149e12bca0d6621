//! Settings of the router: request classes, limits and obligations towards the servers.

use super::{Micros, ZoneId};

/// Which data a class of requests has to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write: only the primary accepts it.
    Write,
    /// Every commit made before the request arrived.
    Strong,
    /// Every write of its own session.
    Session,
    /// Data at most this old when the response is sent.
    BoundedStaleness(Micros),
    /// Any member of the group may answer.
    Any,
}

impl Consistency {
    /// Only the primary may serve the request.
    pub fn requires_primary(self) -> bool {
        matches!(self, Consistency::Write | Consistency::Strong)
    }

    /// The maximum age of the data, where it is bounded.
    pub fn max_staleness(self) -> Option<Micros> {
        if let Consistency::BoundedStaleness(age) = self { Some(age) } else { None }
    }
}

/// Which servers recognise and drop a repeated request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    AllServers,
    /// Servers in the zone of the first server that may have run the request.
    Zone,
    /// Servers of the request's group.
    Group,
}

/// What happens if a request runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No harm: it may be retried at will.
    Idempotent,
    /// The servers in `scope` drop a repeat for `dedup_window` after the first attempt that may have run.
    WithKey {
        /// Servers that drop repeats.
        scope: DedupScope,
        /// For how long they do.
        dedup_window: Micros,
    },
    /// Harm: it may be retried only while no attempt can have run.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Which data it has to see.
    pub consistency: Consistency,
    /// What happens if a request runs twice.
    pub idempotency: Idempotency,
    /// A response within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// Clients give up after this time.
    pub client_timeout: Micros,
    /// Relative value of a response.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the latency objective still earns.
    pub late_weight_fraction: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all proxies, that count in full.
    pub quota_per_second: f64,
}

/// Where the position comes from that a session read has to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPositionSource {
    /// The request carries the position of the session's last write.
    FromRequest,
    /// The router records the commit positions of writes that it has seen answered.
    FromObservedWrites,
}

/// What a server does with a read for which its data is too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// It serves the read from the data it has.
    Served,
    /// It rejects the read, at once or after a short wait.
    Rejected,
}

/// How the endpoint list reaches the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointDiscovery {
    /// Changes arrive without a request.
    Pushed,
    /// Changes arrive only after [`Action::WatchEndpoints`](super::Action::WatchEndpoints).
    Polled,
}

/// Which messages carry a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Responses and health checks.
    Responses,
    /// Health checks.
    HealthChecks,
    /// None.
    Never,
}

/// Settings of a router, given at its start and whenever they change.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of proxies that share the servers.
    pub proxy_count: u32,
    /// Zone of this router.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The tenants; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// Where the required positions of session reads come from.
    pub session_positions: SessionPositionSource,
    /// What servers do with reads for which their data is too old.
    pub stale_reads: StaleReadPolicy,
    /// How the endpoint list arrives.
    pub endpoint_discovery: EndpointDiscovery,
    /// Which messages carry load reports.
    pub load_reports: LoadReportSource,
    /// Load reports contain a log position.
    pub load_reports_have_position: bool,
    /// Maximum number of attempts for a request.
    pub max_attempts: u16,
    /// Two attempts of one request may be in flight at once (hedged requests).
    pub hedging_allowed: bool,
    /// [`Action::Cancel`](super::Action::Cancel) is allowed.
    pub cancellation_allowed: bool,
    /// [`Action::HealthCheck`](super::Action::HealthCheck) is allowed.
    pub health_checks_allowed: bool,
    /// The longest retry delay that clients honour, if they honour any.
    pub max_retry_after: Option<Micros>,
    /// A connection attempt fails after this time. One that fails sooner was refused.
    pub connect_timeout: Micros,
    /// A draining or removed server may get no new work later than this after the change.
    pub drain_grace: Micros,
    /// Only draining is binding: a server that is listed as removed, or missing from the list, without having drained
    /// may still be sent work.
    pub removal_is_advisory: bool,
    /// Slow start: fraction of its capacity that a server has at its start.
    pub slow_start_initial_fraction: f64,
    /// Slow start: time after which a server has its full capacity.
    pub slow_start_window: Micros,
    /// Slow start: a server fails that gets more than this multiple of its present capacity for the overload window.
    pub overload_factor: f64,
    /// Slow start: the time over which that overload is measured.
    pub overload_window: Micros,
}
