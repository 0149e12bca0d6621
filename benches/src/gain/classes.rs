//! Request classes of the simulation.

use birchreach::{ClassId, Consistency, Idempotency, Micros, RequestClass};

/// Reads with bounded staleness.
pub(super) const READ_CLASS: ClassId = ClassId(0);
pub(super) const WRITE_CLASS: ClassId = ClassId(1);

const MAX_STALENESS_MICROS: Micros = 800_000;
const LATE_WEIGHT_FRACTION: f64 = 0.2;

/// All request classes, indexed by [`ClassId`].
pub(super) const CLASSES: [RequestClass; 2] = [
    RequestClass {
        consistency: Consistency::BoundedStaleness(MAX_STALENESS_MICROS),
        idempotency: Idempotency::Idempotent,
        latency_objective: 300_000,
        client_timeout: 1_200_000,
        priority_weight: 3.0,
        late_weight_fraction: LATE_WEIGHT_FRACTION,
    },
    RequestClass {
        consistency: Consistency::Write,
        idempotency: Idempotency::NotIdempotent,
        latency_objective: 750_000,
        client_timeout: 3_000_000,
        priority_weight: 6.0,
        late_weight_fraction: LATE_WEIGHT_FRACTION,
    },
];

pub(super) fn class(id: ClassId) -> &'static RequestClass {
    &CLASSES[usize::from(id.0)]
}
