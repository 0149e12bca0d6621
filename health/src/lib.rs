//! The crate decides what a proxy reports to the load balancers in front of it. It also implements the connection state
//! machines of two protocols by which balancers poll the proxy, agent-check and HTTP. The crate does no I/O and reads
//! no clock.
//!
//! [`Monitor`] receives [`HealthEvent`]s with their times and maintains one [`Verdict`]. The caller runs
//! [`Monitor::update`] at [`Monitor::next_change`] and sends the probes that the monitor requests. [`query`] parses the
//! text of a balancer's question into a [`HealthQuery`]. [`agent`] and [`http`] turn verdicts into replies.
//!
//! The crate owns the evidence about servers, the capabilities derived from that evidence, the balancer weight and the
//! probe budget. It never routes, rejects or delays a request.
//!
//! The crate depends on no other crate of the project, so that the proxy, the benches and the options reader can use
//! and test its decisions without the routing decisions. It therefore has its own [`Micros`], [`ServerId`],
//! [`GroupId`] and [`Role`]. One file of the proxy translates between these types and those of the routing crate.
//!
//! Invariants, each with the test in `tests/` that checks it:
//!
//! 1. Writes are reported as available only if a primary was proven within the proof window, or, with
//!    [`IdleGroupPolicy::TrustEndpointList`], while no evidence contradicts the endpoint list (`histories/`).
//! 2. A capability is withdrawn only for a cause that exists at that time (`histories/`).
//! 3. Writes that were withdrawn because of evidence are restored only by a later proof (`histories/`).
//! 4. The minimum time in each state bounds the rate of transitions (`transitions_are_bounded`).
//! 5. A cause that all proxies share doesn't change the overall weight (`histories/`).
//! 6. The weight changes by a bounded factor per second. It is 0 only while the entire proxy is unavailable
//!    (`the_weight_changes_by_a_bounded_factor`).
//! 7. Probes stay within their budgets (`probes_stay_within_their_budget`).
//! 8. Between events, the verdict changes only at [`Monitor::next_change`] (`the_verdict_changes_only_at_next_change`).

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

/// Identifies a group of servers. The caller assigns the number; JSON reports contain it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct GroupId(pub u32);

/// Identifies a server. The caller assigns the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// The replication role that a server reports for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The server accepts writes.
    Primary,
    /// The server serves only reads.
    Replica,
}

/// Returns the earlier of two optional times, or `None` if both are absent.
fn earliest(first: Option<Micros>, second: Option<Micros>) -> Option<Micros> {
    first.into_iter().chain(second).min()
}
