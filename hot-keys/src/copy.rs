//! What a copy of a row is, which of two copies is kept, and when one may serve a read. The SQL that copy holders run implements the same
//! rules; the model checker runs these functions.

use crate::Micros;
use birchreach_fault_injection::fault_injected;

/// A row's value as its own group had it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Copy<V> {
    /// The value.
    pub value: V,
    /// The value includes all commits up to this position.
    pub position: Micros,
}

/// The copy that results from two reads of one replica on one connection; none without a position before the second read.
///
/// The second read is sent after the first answer, so its value includes all commits up to the position that came with that answer.
/// The position that comes with the second answer may have been taken after its row was read, and is not used.
pub fn copy_from_reads<V>(
    position_before: Option<Micros>,
    value: V,
    position_with: Option<Micros>,
) -> Option<Copy<V>> {
    let position = if fault_injected!(UsesLaterPosition) { position_with } else { position_before };
    position.map(|position| Copy { value, position })
}

/// The copy that a holder keeps when another arrives: the one with the newer position, so that copies may arrive late, twice and from
/// several processes.
pub fn newer_copy<V>(kept: Option<Copy<V>>, arrived: Copy<V>) -> Copy<V> {
    match kept {
        Some(kept) if kept.position >= arrived.position && !fault_injected!(KeepsLastWrite) => kept,
        _ => arrived,
    }
}

/// Whether the kept copy may serve a read that needs all commits up to a position. A read that must be current has no such position,
/// and is never served from a copy.
pub fn can_serve<V>(kept: Option<&Copy<V>>, needed: Micros) -> bool {
    kept.is_some_and(|kept| kept.position >= needed || fault_injected!(ServesAnyPosition))
}
