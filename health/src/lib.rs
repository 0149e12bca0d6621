//! Decides what a proxy reports to the load balancers in front of it, without I/O or clock, and implements the
//! connection state machines of two protocols by which balancers poll it (agent-check and HTTP).
//!
//! [`Monitor`] is fed [`HealthEvent`]s with their times and keeps one [`Verdict`]. The caller runs [`Monitor::update`]
//! at [`Monitor::next_change`] and sends the probes that the monitor requests. [`query`] parses what a balancer asks
//! for into a [`HealthQuery`]; [`agent`] and [`http`] turn verdicts into replies.
//!
//! The crate owns the evidence about servers, the capabilities reported from it, the balancer weight and the probe
//! budget. It never routes, rejects or delays a request.
//!
//! It depends on no other crate of the project, so that its decisions can be tested and used (by the proxy, the
//! benches and the options reader) without the routing decisions. Therefore it has its own [`Micros`], [`ServerId`],
//! [`GroupId`] and [`Role`]; the proxy translates between them and those of the decision crate in one file.
//!
//! Invariants, each with the test that holds it (in `tests/`):
//!
//! 1. A write capability is reported with a proof in the window, or with [`IdleGroupPolicy::TrustEndpointList`] while
//!    no evidence contradicts it (`histories/`).
//! 2. A capability is withdrawn only for a cause that held at that time (`histories/`).
//! 3. A capability that evidence withdrew comes back only by a later proof (`histories/`).
//! 4. The rate of transitions is bounded by the minimum time in each state (`transitions_are_bounded`).
//! 5. A cause that all proxies share doesn't change the overall weight (`histories/`).
//! 6. The weight changes by a bounded factor per second, and is 0 only where the proxy as a whole is unavailable
//!    (`the_weight_changes_by_a_bounded_factor`).
//! 7. Probes stay within their budgets (`probes_stay_within_their_budget`).
//! 8. Between events the verdict changes at [`Monitor::next_change`] only (`the_verdict_changes_only_at_next_change`).

#![warn(missing_docs)]

pub mod agent;
mod connectivity;
mod event;
mod evidence;
mod group;
pub mod http;
mod hysteresis;
mod labels;
mod monitor;
mod overall;
mod probe_budget;
mod probe_scheduler;
pub mod query;
mod read_window;
mod server_table;
mod settings;
mod settings_error;
mod verdict;
mod weight;

pub use event::{AttemptOutcome, HealthEvent};
pub use labels::{Operation, Reason, State};
pub use monitor::Monitor;
pub use query::HealthQuery;
pub use settings::{
    AggregationRule, HealthSettings, IdleGroupPolicy, OverloadPolicy, ProbeSettings, RequestClass,
    RequiredServer, SharedCausePolicy, WeightSettings,
};
pub use settings_error::SettingsError;
pub use verdict::{Capability, Change, GroupVerdict, Verdict};

/// A duration, or a time on the caller's monotonic clock, in microseconds.
pub type Micros = i64;

/// A group of servers, by the number that the caller gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct GroupId(pub u32);

/// A server, by the number that the caller gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// The replication role that a server reports for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It serves reads only.
    Replica,
}

/// The earlier of two times, where there is one.
fn earliest(one: Option<Micros>, other: Option<Micros>) -> Option<Micros> {
    one.into_iter().chain(other).min()
}
