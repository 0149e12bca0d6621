//! Runs a fixed list of seeded fault schedules on four processes with hot keys and a shard split.
//! `birchreach-measure schedules` runs thousands more; a seed that failed there is added to this list and stays in it.

use birchreach_test_support::groups::seeded_schedule::{SeededSchedule, Summary};
use std::path::Path;

/// In seed 7, the primary of a child group is deposed and does not know it. In seed 31, a process is suspended while a database
/// restarts.
const SEEDS: [u64; 3] = [2, 7, 31];

/// Runs the schedule of a seed at loopback addresses that no other schedule uses. Panics if a check fails.
fn run_seed(seed: u64) -> Summary {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("schedule-{seed}"));
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let loopback_address = [127, 85, (seed % 250) as u8, 1];
    let schedule = SeededSchedule { seed, loopback_address, program, folder: &folder };
    schedule.run().unwrap_or_else(|failure| panic!("{failure}"))
}

#[test]
fn seeded_schedules_of_faults_break_no_invariant() {
    // Given schedules of faults, when they run concurrently, then no check fails
    let summaries: Vec<Summary> = std::thread::scope(|scope| {
        let threads = SEEDS.map(|seed| scope.spawn(move || run_seed(seed)));
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    // And the schedules cause enough reads and copies for the checks to be meaningful
    let total = |count: fn(&Summary) -> usize| summaries.iter().map(count).sum::<usize>();
    assert!(
        total(|summary| summary.checked_reads) > 500 && total(|summary| summary.checked_copies) > 10,
        "the schedules exercise too little: {summaries:?}"
    );
    assert!(
        total(|summary| summary.dual_reads) > 100 && total(|summary| summary.copy_reads) > 10,
        "the schedules exercise too little: {summaries:?}"
    );
}
