//! For tests: the process stops itself once at a named point, so that a test can send something at that moment. Without debug
//! assertions this does nothing.

/// Points at which the process can stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPoint {
    /// A client was idle for too long; it has not been read once more.
    Sweep,
    /// A client is to be shed; it has not been read once more.
    Shed,
    /// The last idle clients are to be closed; none has been read once more.
    CloseIdleClients,
}

/// Stops the process here, once, if the environment of the test names this point.
#[cfg(debug_assertions)]
pub(super) fn stop_process_at(point: StopPoint) {
    use std::sync::atomic::{AtomicBool, Ordering};
    static STOPPED: AtomicBool = AtomicBool::new(false);
    let name = match point {
        StopPoint::Sweep => "sweep",
        StopPoint::Shed => "shed",
        StopPoint::CloseIdleClients => "leave",
    };
    let wanted = std::env::var_os("BIRCHREACH_TEST_STOP_AT").is_some_and(|wanted| wanted == name);
    if wanted && !STOPPED.swap(true, Ordering::Relaxed) {
        let _ = signal_hook::low_level::raise(signal_hook::consts::SIGSTOP);
    }
}

/// Does nothing in a build without debug assertions.
#[cfg(not(debug_assertions))]
pub fn stop_process_at(_: StopPoint) {}
