//! Rules for copies of rows: how a copy gets its position, which of two copies a holder keeps, and when a copy may
//! serve a read. The SQL that copy holders run implements the same rules. The model checker runs these functions.

use crate::Micros;
use birchreach_fault_injection::fault_injected;

/// A row's value as read from the row's own group, with a proven position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Copy<V> {
    /// The value that was read.
    pub value: V,
    /// The value includes all commits up to this position.
    pub position: Micros,
}

/// Returns the copy that results from two reads of one replica on one connection, or `None` if the first answer came
/// without a position.
///
/// The second read is sent after the first answer has arrived, so its value includes all commits up to the position in
/// the first answer (`position_before`). The position in the second answer (`position_with`) is not used, because the
/// database may have taken it after it read the row.
pub fn copy_from_reads<V>(
    position_before: Option<Micros>,
    value: V,
    position_with: Option<Micros>,
) -> Option<Copy<V>> {
    let position = if fault_injected!(UsesLaterPosition) { position_with } else { position_before };
    position.map(|position| Copy { value, position })
}

/// Returns the copy that a holder keeps when another one arrives: the one with the newer position. Copies may therefore
/// arrive late, twice and from several processes.
pub fn newer_copy<V>(kept: Option<Copy<V>>, arrived: Copy<V>) -> Copy<V> {
    match kept {
        Some(kept) if kept.position >= arrived.position && !fault_injected!(KeepsLastArrival) => kept,
        _ => arrived,
    }
}

/// Returns whether the kept copy may serve a read that needs all commits up to the position `needed`. A read that must
/// return the current value has no such position and is never served from a copy.
pub fn can_serve<V>(kept: Option<&Copy<V>>, needed: Micros) -> bool {
    kept.is_some_and(|kept| kept.position >= needed || fault_injected!(ServesAnyPosition))
}
