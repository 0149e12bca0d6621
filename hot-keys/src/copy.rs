//! What a copy of a row is, how two of them are joined, and when one may answer. The same rules stand in the SQL that guests run; the
//! model checker runs these.

use crate::Micros;
use birchreach_fault_injection::fault_injected;

/// A value as it was at home, with a position up to which it holds all that was committed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Copy<V> {
    pub value: V,
    pub position: Micros,
}

/// Two reads of one replica on one connection. `told`: the position that came with the first answer.
///
/// The second read was sent after that position was told, so its value holds all that was committed up to it. What came with the
/// second answer may have been told after its row was read, and is not used.
pub fn copy_from_reads<V>(told: Option<Micros>, value: V, told_with_it: Option<Micros>) -> Option<Copy<V>> {
    let position = if fault_injected!(UsesLaterPosition) { told_with_it } else { told };
    position.map(|position| Copy { value, position })
}

/// What a guest has after a copy arrived: the newer position stands, so that copies may come late, twice and from several at once.
pub fn newer_copy<V>(kept: Option<Copy<V>>, come: Copy<V>) -> Copy<V> {
    match kept {
        Some(kept) if kept.position >= come.position && !fault_injected!(KeepsLastWrite) => kept,
        _ => come,
    }
}

/// The position that a read needs: none that must be current has any, and no copy will do.
pub fn can_serve<V>(kept: Option<&Copy<V>>, needed: Micros) -> bool {
    kept.is_some_and(|kept| kept.position >= needed || fault_injected!(ServesAnyPosition))
}
