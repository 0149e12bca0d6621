//! The times of the shutdown against those of SIGTERM and SIGKILL.

use super::*;

/// For a loop that shares its processor core.
const MARGIN_MICROS: Micros = 100_000;

/// Each connection that arrives is accepted, and each request that is accepted has its whole timeout before the process may be
/// killed.
#[test]
fn a_request_accepted_after_sigterm_reaches_its_timeout_before_sigkill() {
    // Given the time after which a request has no whole timeout left before SIGKILL
    let latest = SAFE_ACCEPT_PERIOD_MICROS - MARGIN_MICROS;

    // When idle clients are closed without a handover, then all that arrives is accepted, and in time
    let without_handover = CLOSE_IDLE_AFTER_MICROS;
    assert!(
        (LATE_ARRIVAL_PERIOD_MICROS + MARGIN_MICROS..=latest).contains(&without_handover),
        "{without_handover}"
    );

    // When the listener is handed over, then no connection arrives here: only SIGKILL bounds the time
    let with_handover = CLOSE_IDLE_AFTER_HANDOVER_MICROS;
    assert!((0..=latest).contains(&with_handover), "{with_handover}");
}
