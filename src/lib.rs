//! birchreach makes the decisions of a router before a primary and its replicas.
//!
//! The module does no I/O: feed each [`Event`] with the time to [`Router::handle`] and carry out
//! the [`Action`]s in order. It reads no clock and uses no threads; the same events with the same
//! seed give the same actions.
//!
//! What the caller guarantees: time never goes back; a request id is not used twice; every
//! [`Action::Send`] is followed by exactly one [`Event::AttemptCompleted`]; every [`Action::Timer`] comes
//! back as [`Event::Timer`] no earlier than it was due. Anything else is ignored safely.
//!
//! ```
//! use birchreach::*;
//!
//! let settings = Settings {
//!     proxy_count: 1,
//!     zone: ZoneId(0),
//!     classes: vec![RequestClass {
//!         consistency: Consistency::Any,
//!         idempotency: Idempotency::Idempotent,
//!         latency_objective: 500_000,
//!         client_timeout: 2_000_000,
//!         priority_weight: 1.0,
//!         late_weight_fraction: 0.0,
//!     }],
//!     tenants: vec![],
//!     session_positions: SessionPositionSource::FromRequest,
//!     stale_reads: StaleReadPolicy::Served,
//!     endpoint_discovery: EndpointDiscovery::Pushed,
//!     load_reports: LoadReportSource::Never,
//!     load_reports_have_position: false,
//!     max_attempts: 3,
//!     hedging_allowed: true,
//!     cancellation_allowed: true,
//!     health_checks_allowed: false,
//!     max_retry_after: Some(1_000_000),
//!     connect_timeout: 250_000,
//!     drain_grace: 500_000,
//!     removal_is_advisory: false,
//!     slow_start_initial_fraction: 0.2,
//!     slow_start_window: 10_000_000,
//!     overload_factor: 2.0,
//!     overload_window: 1_500_000,
//! };
//! let mut actions = Vec::new();
//! let mut router = Router::new(settings, 7, 0, &mut actions);
//! let endpoint = |id, primary| Endpoint {
//!     server: ServerId(id),
//!     group: GroupId(0),
//!     zone: ZoneId(0),
//!     state: EndpointState::Ready,
//!     started_at: None,
//!     weight: 1.0,
//!     primary,
//! };
//! let list = EndpointList { complete: true, endpoints: vec![endpoint(1, true), endpoint(2, false)] };
//! router.handle(1_000, Event::EndpointsChanged(list), &mut actions);
//! actions.clear();
//!
//! let request = Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     group: GroupId(0),
//!     tenant: TenantId(0),
//!     timeout: 2_000_000,
//!     session: None,
//!     last_write_position: None,
//!     copy_candidates: vec![],
//! };
//! router.handle(2_000, Event::Request(request), &mut actions);
//! // The loop of a real router: do what each action says, and report back what came of it.
//! let mut to_report = Vec::new();
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Send { request, server, .. } => to_report.push((request, server)),
//!         Action::Timer { .. } => {} // wake the module with Event::Timer after that time
//!         other => println!("{other:?}"),
//!     }
//! }
//! assert_eq!(to_report, [(RequestId(1), ServerId(2))], "a read goes to the replica");
//! for (request, server) in to_report {
//!     let result = AttemptResult {
//!         request,
//!         attempt: AttemptNo(0),
//!         server,
//!         outcome: AttemptOutcome::Ok,
//!         elapsed: 30_000,
//!         request_finished: true, // the router has passed the answer on
//!         status: Some(ServerStatus { role: Role::Replica, position: Some(30_000) }),
//!         load_report: None,
//!     };
//!     router.handle(32_000, Event::AttemptCompleted(result), &mut actions);
//! }
//! assert_eq!(router.open_request_count(), 0);
//! // Shutting down: stop feeding requests, and go on until none is open.
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod estimates;
mod interface;
mod policy;

pub use interface::*;
pub use policy::Router;
