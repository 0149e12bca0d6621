//! What proxies may learn of servers from one another, weighed by age and origin: decisions without I/O or clock, and
//! beside them the frames in which it travels and the snapshot in which it rests.
//!
//! [`PeerState`] holds facts as they were seen ([`Observation`]) and joins what others tell; [`advice`] says the few things that
//! facts may be used for. [`request_scheduler::Joiner`] decides whom a newcomer asks and how long its start waits;
//! [`provider::Donor`] decides whom a running proxy answers, so that its clients lose nothing.
//!
//! It owns facts, their ages and their origins. It never makes a primary, sends nothing, and knows no socket, no
//! PostgreSQL and no type of another crate.
//!
//! Invariants, each with the test that holds it (`tests/`):
//!
//! 1. A join is commutative, associative and idempotent (`joins_are_a_semilattice`).
//! 2. Nothing grows younger on its way (`ages_only_add_up`).
//! 3. Nothing of another boot or group than the list's is used (`another_boot_is_another_server`).
//! 4. A position that is given out was seen of that boot (`positions_were_seen`).
//! 5. Who was seen as a replica after being seen as primary, or is older as primary than another, is not asked first
//!    (`former_primaries_are_not_asked_first`).
//! 6. What comes back to its observer is dropped (`own_words_do_not_come_back`).
//! 7. A datagram is taken once, whole, under a key, and no sender's flood costs more than its bucket
//!    (`datagrams_are_taken_once_and_whole`, `a_flood_of_good_datagrams_is_bounded`).
//! 8. A full exchange comes whole, in its order, or not at all (`an_exchange_is_whole_or_nothing`).
//! 9. Tables and messages are bounded whatever is told (`tables_are_bounded`, `noise_is_refused`).

pub mod advice;
pub mod datagram;
mod facts;
pub mod frame;
pub mod full_exchange;
mod keys;
pub mod provider;
pub mod request_scheduler;
pub mod snapshot;
mod transfer;
pub mod transfer_protocol;

pub use facts::{Observation, ObservationSource, PeerState, Role, ServerFacts, ServerIncarnation};
pub use keys::NameHasher;
pub use transfer::{TransferPart, TransferredFact, TransferredServer};

/// A span of time, or an instant on the holder's clock, in microseconds.
pub type Micros = i64;
