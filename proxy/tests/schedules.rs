//! Seeded schedules of faults on four processes with hot keys and a split: the same ones each time. Thousands more are played by
//! `birchreach-measure schedules`; a seed that failed there once stands here for good.

use birchreach_test_support::groups::play::{Summary, play_schedule};
use sha2::{Digest, Sha256};
use std::path::Path;

fn hash(key: &str) -> u32 {
    Sha256::digest(key.as_bytes()).first_chunk::<4>().map_or(0, |b| u32::from_be_bytes(*b))
}

fn below(key: &str) -> bool {
    hash(key) < 1 << 31
}

fn above(key: &str) -> bool {
    !below(key)
}

fn played(seed: u64) -> Summary {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("schedule-{seed}"));
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let own = [127, 85, (seed % 250) as u8, 1];
    play_schedule(seed, own, program, &folder, hash, below, above).unwrap_or_else(|why| panic!("{why}"))
}

/// 7: a child's primary is deposed and does not know it; 31: a process is stopped while a database starts anew.
#[test]
fn schedules_break_nothing() {
    let sums: Vec<Summary> = std::thread::scope(|scope| {
        let all = [2, 7, 31].map(|seed| scope.spawn(move || played(seed)));
        all.into_iter().map(|one| one.join().unwrap()).collect()
    });
    let sum = |of: fn(&Summary) -> usize| sums.iter().map(of).sum::<usize>();
    assert!(sum(|s| s.checked_reads) > 500 && sum(|s| s.checked_copies) > 10, "it shows nothing: {sums:?}");
    assert!(sum(|s| s.dual_reads) > 100 && sum(|s| s.copy_reads) > 10, "it shows nothing: {sums:?}");
}
