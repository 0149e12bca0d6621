//! Compares the times of the shutdown with those of SIGTERM and SIGKILL.

use super::*;

/// The delay allowed for an event loop that shares its processor core.
const MARGIN_MICROS: Micros = 100_000;

/// If idle clients are closed too early, connections that still arrive are lost. If they are closed too late, they may send
/// requests that SIGKILL cuts off before their timeout.
#[test]
fn a_request_accepted_after_sigterm_reaches_its_timeout_before_sigkill() {
    // Given the time after which a request may be cut off by SIGKILL before its timeout
    let latest = SAFE_ACCEPT_PERIOD_MICROS - MARGIN_MICROS;

    // When idle clients are closed without a handover, then late connections have arrived and no request is cut off
    let without_handover = CLOSE_IDLE_AFTER_MICROS;
    assert!(
        (LATE_ARRIVAL_PERIOD_MICROS + MARGIN_MICROS..=latest).contains(&without_handover),
        "{without_handover}"
    );

    // When the listener is handed over, then no connection arrives here, and only SIGKILL limits the time
    let with_handover = CLOSE_IDLE_AFTER_HANDOVER_MICROS;
    assert!((0..=latest).contains(&with_handover), "{with_handover}");
}
