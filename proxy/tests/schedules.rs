//! Seeded schedules of faults on four processes with hot keys and a split: the same ones each time. Thousands more are played by
//! `birchreach-measure schedules`; a seed that failed there once stands here for good.

use birchreach_test_support::groups::play::{Summary, play_schedule};
use sha2::{Digest, Sha256};
use std::path::Path;

fn hash(key: &str) -> u32 {
    Sha256::digest(key.as_bytes()).first_chunk::<4>().map_or(0, |b| u32::from_be_bytes(*b))
}

fn goes_to_lower_child(key: &str) -> bool {
    hash(key) < 1 << 31
}

fn goes_to_upper_child(key: &str) -> bool {
    !goes_to_lower_child(key)
}

fn play_seed(seed: u64) -> Summary {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("schedule-{seed}"));
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let own = [127, 85, (seed % 250) as u8, 1];
    play_schedule(seed, own, program, &folder, hash, goes_to_lower_child, goes_to_upper_child)
        .unwrap_or_else(|why| panic!("{why}"))
}

/// Seed 7 has a child's primary that is deposed without knowing it, seed 31 a process that is suspended while a database restarts.
#[test]
fn seeded_schedules_of_faults_break_no_invariant() {
    let summaries: Vec<Summary> = std::thread::scope(|scope| {
        let all = [2, 7, 31].map(|seed| scope.spawn(move || play_seed(seed)));
        all.into_iter().map(|one| one.join().unwrap()).collect()
    });
    let total = |of: fn(&Summary) -> usize| summaries.iter().map(of).sum::<usize>();
    assert!(
        total(|s| s.checked_reads) > 500 && total(|s| s.checked_copies) > 10,
        "the schedules exercise too little: {summaries:?}"
    );
    assert!(
        total(|s| s.dual_reads) > 100 && total(|s| s.copy_reads) > 10,
        "the schedules exercise too little: {summaries:?}"
    );
}
