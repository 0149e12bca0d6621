//! Ids of background statements.

use super::{BackgroundStatementId, BackgroundStatementIds};

#[test]
fn statement_ids_increase_from_the_incarnation() {
    let mut ids = BackgroundStatementIds::new(41);

    assert_eq!(ids.next_id(), BackgroundStatementId(42));
    assert_eq!(ids.next_id(), BackgroundStatementId(43));
}

#[test]
fn statement_ids_wrap_around_to_zero() {
    let mut ids = BackgroundStatementIds::new(u64::MAX);

    assert_eq!(ids.next_id(), BackgroundStatementId(0));
}

#[test]
fn a_statement_id_has_sixteen_hexadecimal_digits() {
    assert_eq!(BackgroundStatementId(0x2a).to_string(), "000000000000002a");
    assert_eq!(BackgroundStatementId(u64::MAX).to_string(), "ffffffffffffffff");
}
