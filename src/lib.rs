//! Routing decisions of a proxy in front of a primary and its replicas.
//!
//! The crate does no I/O, reads no clock and starts no thread. Pass each [`Event`] with the current time to
//! [`Router::handle`] and carry out the returned [`Action`]s in order. The same events with the same seed produce the
//! same actions. `src/policy/mod.rs` lists the modules and the decisions that each of them makes.
//!
//! The caller guarantees that
//!
//! - time never decreases;
//! - each request id is used only once;
//! - each [`Action::Send`] is followed by exactly one [`Event::AttemptCompleted`];
//! - each [`Action::Timer`] is followed by an [`Event::Timer`] once its delay has elapsed, never earlier.
//!
//! Events that refer to an unknown request, attempt or server are ignored.
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
//! // A proxy carries out each action and reports the result as an event.
//! let mut sent = Vec::new();
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Send { request, server, .. } => sent.push((request, server)),
//!         Action::Timer { .. } => {} // send Event::Timer after the delay
//!         other => println!("{other:?}"),
//!     }
//! }
//! assert_eq!(sent, [(RequestId(1), ServerId(2))], "a read goes to the replica");
//! for (request, server) in sent {
//!     let result = AttemptResult {
//!         request,
//!         attempt: AttemptNumber(0),
//!         server,
//!         outcome: AttemptOutcome::Ok,
//!         elapsed: 30_000,
//!         request_finished: true, // the answer was forwarded to the client
//!         status: Some(ServerStatus { role: Role::Replica, position: Some(30_000) }),
//!         load_report: None,
//!     };
//!     router.handle(32_000, Event::AttemptCompleted(result), &mut actions);
//! }
//! assert_eq!(router.open_request_count(), 0);
//! // To shut down gracefully, send no more `Event::Request` and handle the other events until no request is open.
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod estimates;
mod interface;
mod policy;

pub use interface::*;
pub use policy::Router;
