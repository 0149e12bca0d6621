//! Processor time of a process, in total and per call.

use birchreach_test_support::process::Process;
use std::thread;
use std::time::Duration;

/// Wait after the last call, so that work still in progress is counted with the calls.
const SETTLING_TIME: Duration = Duration::from_millis(50);
const MICROS_PER_SECOND: f64 = 1e6;

/// Makes `calls` calls and returns the mean processor time of the process for each, in microseconds.
pub(crate) fn mean_cpu_micros(process: &Process, calls: u64, mut call: impl FnMut()) -> f64 {
    let before = process.cpu_time().unwrap_or_default();
    (0..calls).for_each(|_| call());
    thread::sleep(SETTLING_TIME);
    cpu_micros_since(process, before) / calls as f64
}

/// Returns the processor time that the process has used beyond `before`, in microseconds.
pub(crate) fn cpu_micros_since(process: &Process, before: Duration) -> f64 {
    let used = process.cpu_time().unwrap_or_default().saturating_sub(before);
    used.as_secs_f64() * MICROS_PER_SECOND
}
