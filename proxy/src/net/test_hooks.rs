//! A seam for tests: the process stops itself once at a named point, so that a test can make something arrive in just that instant.
//! Built with debug assertions only: a release build has none of it.

/// Points at which the process can stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// A client's time is over; it has not been looked at once more.
    Sweep,
    /// A client is to make room; it has not been looked at once more.
    Shed,
    /// The last idle clients are to go; nobody has been looked at once more.
    Leave,
}

/// Stops here if the test's environment names this point, once in the life of the process.
#[cfg(debug_assertions)]
pub fn at(point: Point) {
    use std::sync::atomic::{AtomicBool, Ordering};
    static STOPPED: AtomicBool = AtomicBool::new(false);
    let named = match point {
        Point::Sweep => "sweep",
        Point::Shed => "shed",
        Point::Leave => "leave",
    };
    let wanted = std::env::var_os("BIRCHREACH_TEST_STOP_AT").is_some_and(|name| name == named);
    if wanted && !STOPPED.swap(true, Ordering::Relaxed) {
        let _ = signal_hook::low_level::raise(signal_hook::consts::SIGSTOP);
    }
}

#[cfg(not(debug_assertions))]
pub fn at(_: Point) {}
