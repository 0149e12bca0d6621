//! Processor time that a process spends on calls.

use birchreach_test_support::process::Process;
use std::thread;
use std::time::Duration;

/// What is still under way after the last call belongs to it.
const SETTLING_TIME: Duration = Duration::from_millis(50);
const MICROS_PER_SECOND: f64 = 1e6;

/// Mean CPU microseconds of the process for each of so many calls.
pub(crate) fn mean_cpu_micros(process: &Process, calls: u64, mut call: impl FnMut()) -> f64 {
    let before = process.cpu_time().unwrap_or_default();
    (0..calls).for_each(|_| call());
    thread::sleep(SETTLING_TIME);
    cpu_micros_since(process, before) / calls as f64
}

/// CPU microseconds of the process since it had used `before`.
pub(crate) fn cpu_micros_since(process: &Process, before: Duration) -> f64 {
    let used = process.cpu_time().unwrap_or_default().saturating_sub(before);
    used.as_secs_f64() * MICROS_PER_SECOND
}
