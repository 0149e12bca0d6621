//! A hook for tests: the process stops itself once at a named point, so that a test can send input at that moment.
//! Builds without debug assertions never stop.

/// The points at which the process can stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPoint {
    /// A client's socket is ready, and its input has not been read yet.
    ClientReady,
    /// A client was idle for too long, and its final read has not happened yet.
    CloseExpired,
    /// A client is about to be shed, and its final read has not happened yet.
    Shed,
    /// The last idle clients are about to be closed, and their final reads have not happened yet.
    CloseIdleClients,
}

/// Stops the process with SIGSTOP if the environment variable `BIRCHREACH_TEST_STOP_AT` names this point. Stops at most
/// once.
#[cfg(debug_assertions)]
pub(super) fn stop_process_at(point: StopPoint) {
    use std::sync::atomic::{AtomicBool, Ordering};
    static STOPPED: AtomicBool = AtomicBool::new(false);
    let name = match point {
        StopPoint::ClientReady => "client",
        StopPoint::CloseExpired => "sweep",
        StopPoint::Shed => "shed",
        StopPoint::CloseIdleClients => "leave",
    };
    let requested = std::env::var_os("BIRCHREACH_TEST_STOP_AT").is_some_and(|value| value == name);
    if requested && !STOPPED.swap(true, Ordering::Relaxed) {
        let _ = signal_hook::low_level::raise(signal_hook::consts::SIGSTOP);
    }
}

/// Does nothing, because this build has no debug assertions.
#[cfg(not(debug_assertions))]
pub(super) fn stop_process_at(_: StopPoint) {}
