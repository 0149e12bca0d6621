//! State about database servers that proxies share with one another: merge rules without I/O or clock, the protocol that carries
//! the state, and the snapshot that stores it.
//!
//! [`PeerState`] holds what was observed of each server ([`Observation`]) and merges what other proxies send ([`TransferPart`]).
//! [`advice`] lists the decisions that this state may influence. [`request_scheduler::RequestScheduler`] decides which peers a
//! new proxy sends requests to and how long its start waits for them; [`provider::StateProvider`] decides which requests a running
//! proxy answers, so that its clients are not slowed down.
//!
//! This crate owns observations, their ages and their origins. It never elects a primary, sends nothing itself, and depends on
//! no socket, no PostgreSQL and no type of another crate of this workspace: [`Micros`] and [`Role`] are defined here again so
//! that the stored and sent formats do not change with the decision module's types (`proxy/src/peer_state.rs` maps them).
//!
//! Invariants, each with the test that holds it (`tests/`):
//!
//! 1. A merge is commutative, associative and idempotent (`merges_are_a_semilattice`).
//! 2. No observation gets younger in a transfer (`ages_only_add_up_and_positions_were_observed`).
//! 3. Nothing of another server incarnation or group than the endpoint list's is used (`another_incarnation_is_another_server`).
//! 4. A position that is returned was observed of that incarnation (`ages_only_add_up_and_positions_were_observed`).
//! 5. A server that was seen as a replica after being seen as primary, or whose observation as primary is older than another's, is
//!    not the first candidate (`former_primaries_are_not_the_first_candidates`).
//! 6. An observation that is sent back to its observer is dropped (`own_observations_do_not_come_back`).
//! 7. A datagram is accepted once, complete, under a valid key, and a sender that exceeds its rate is limited
//!    (`datagrams_are_accepted_once_and_complete`, `the_rate_of_valid_datagrams_is_limited`).
//! 8. A full exchange is complete and in order, or rejected (`a_full_exchange_is_complete_or_rejected`).
//! 9. Tables and messages are bounded whatever is received (`tables_are_bounded`, `malformed_frames_are_rejected`).

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

/// A span of time, or an instant on the local clock, in microseconds.
pub type Micros = i64;
