//! State about database servers that proxies share with one another: merge rules, the transfer protocol and
//! the snapshot format.
//!
//! [`PeerState`] holds the observations of each server ([`Observation`]) and merges those that other proxies
//! send ([`TransferPart`]). [`advice`] lists the decisions that this state may influence.
//! [`request_scheduler::RequestScheduler`] selects the peers from which a new proxy requests state and limits
//! how long its start waits for them. [`provider::StateProvider`] limits how many requests a running proxy
//! answers, and how fast, to protect the latency of its clients.
//!
//! This crate owns observations, their ages and their origins. It elects no primary, does no I/O and reads no
//! clock. It does not depend on PostgreSQL or on the types of another crate of this workspace: [`Micros`] and
//! [`Role`] are defined again here so that the wire format and the stored format do not change with the types
//! of the decision module. `proxy/src/peer_state.rs` converts between them.
//!
//! Invariants, each with the test in `tests/` that checks it:
//!
//! 1. A merge is commutative, associative and idempotent (`merges_are_a_semilattice`).
//! 2. A transfer never makes an observation younger (`ages_only_add_up_and_positions_were_observed`).
//! 3. Facts of another incarnation or group than the one on the endpoint list are not used
//!    (`another_incarnation_is_another_server`).
//! 4. A returned position was observed on that incarnation (`ages_only_add_up_and_positions_were_observed`).
//! 5. A server is not the first candidate if it was observed as a replica after it was observed as the
//!    primary, or if another server was observed as the primary later
//!    (`former_primaries_are_not_the_first_candidates`).
//! 6. An observation that returns to its observer is dropped (`own_observations_do_not_come_back`).
//! 7. A datagram is accepted once, and only if it is complete and authenticated with a valid key. The rate of
//!    each sender is limited (`datagrams_are_accepted_once_and_complete`,
//!    `the_rate_of_valid_datagrams_is_limited`).
//! 8. A full exchange is complete and in order, or rejected (`a_full_exchange_is_complete_or_rejected`).
//! 9. Tables and messages are bounded for any input (`tables_are_bounded`, `malformed_frames_are_rejected`).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod advice;
pub mod datagram;
pub mod frame;
pub mod full_exchange;
mod keys;
mod observation;
mod peer_state;
pub mod provider;
pub mod request_scheduler;
mod server_facts;
pub mod snapshot;
mod transfer;
pub mod transfer_protocol;

pub use keys::{KeysError, NameHasher};
pub use observation::{Observation, ObservationSource, Role};
pub use peer_state::{KnownServer, PeerState};
pub use server_facts::{ServerFacts, ServerIncarnation};
pub use transfer::{TransferPart, TransferredFact, TransferredServer};

/// A duration, or an instant on the local clock, in microseconds.
pub type Micros = i64;
