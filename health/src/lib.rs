//! What a proxy may truthfully claim to the balancers before it: decisions without I/O or clock, and beside them the
//! machines of the protocols in which balancers ask.
//!
//! [`Monitor`] is fed [`HealthEvent`]s with their times and holds one [`Verdict`]; whoever drives it calls
//! [`Monitor::update`] at [`Monitor::next_change`], and sends the probes it asks for. [`agent`] and [`http`] turn calls
//! into [`HealthQuery`]s and verdicts into replies.
//!
//! It owns the evidence about servers, the claims made from it, the weight and the probes' budget. It never routes,
//! refuses or delays a request, and knows no socket, no PostgreSQL and no type of another crate.
//!
//! Invariants, each with the test that holds it (`tests/histories.rs`, `tests/fleet.rs`):
//!
//! 1. A write capability is claimed with a proof in the window, or with [`IdleGroupPolicy::TrustEndpointList`] while nothing that was heard
//!    speaks against it (`no_claim_without_proof`).
//! 2. A claim is withdrawn for a cause that stood when it was (`no_withdrawal_without_cause`).
//! 3. What evidence withdrew comes back by a later proof alone (`evidence_is_answered_by_proof_only`).
//! 4. Transitions are bounded by the times each state is held (`transitions_are_bounded`).
//! 5. A cause that all proxies share moves no weight of the whole (`a_shared_cause_moves_no_weight`).
//! 6. The weight moves by a bounded factor a second, and is 0 only where the whole is not able
//!    (`weight_moves_boundedly`).
//! 7. Probes stay within the budgets (`probes_stay_within_their_budget`).
//! 8. Between facts the verdict changes at [`Monitor::next_change`] only (`sleepers_miss_nothing`).

pub mod agent;
mod claim;
mod evidence;
pub mod http;
mod monitor;
mod probes;
mod settings;
mod verdict;
mod weight;

pub use monitor::{HealthEvent, Monitor, ProbeOutcome};
pub use settings::{
    AggregationRule, HealthSettings, IdleGroupPolicy, OverloadPolicy, ProbeSettings, RequestClass,
    RequiredServer, SettingsError, SharedCausePolicy, WeightSettings,
};
pub use verdict::{Capability, Change, GroupVerdict, HealthQuery, Operation, Reason, State, Verdict};

/// A span of time, or an instant on the driver's clock, in microseconds.
pub type Micros = i64;

/// A group of servers, by the number that the driver gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct GroupId(pub u32);
/// A server, by the number that the driver gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct ServerId(pub u32);

/// The part that a server says it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}
