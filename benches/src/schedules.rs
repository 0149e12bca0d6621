//! Seeded schedules of faults on several processes with hot keys and a split, many side by side; each that fails is printed whole.

use crate::Done;
use birchreach_test_support::groups::play::{Summary, play_schedule};
use sha2::{Digest, Sha256};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

fn hash(key: &str) -> u32 {
    Sha256::digest(key.as_bytes()).first_chunk::<4>().map_or(0, |b| u32::from_be_bytes(*b))
}

fn below(key: &str) -> bool {
    hash(key) < 1 << 31
}

fn above(key: &str) -> bool {
    !below(key)
}

pub fn run(program: &Path, folder: &Path, from: u64, to: u64, side_by_side: usize) -> Done {
    let next = AtomicU64::new(from);
    let sums: Mutex<(Vec<Summary>, Vec<String>)> = Mutex::default();
    std::thread::scope(|scope| {
        for place in 0..side_by_side {
            let (next, sums) = (&next, &sums);
            scope.spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > to {
                        return;
                    }
                    // Addresses that nobody else uses meanwhile.
                    let own = [127, 70 + place as u8, (seed % 250) as u8, 1];
                    let done = play_schedule(
                        seed,
                        own,
                        program,
                        &folder.join(format!("seed-{seed}")),
                        hash,
                        below,
                        above,
                    );
                    let _ = std::fs::remove_dir_all(folder.join(format!("seed-{seed}")));
                    let mut sums = sums.lock().unwrap_or_else(|e| e.into_inner());
                    match done {
                        Ok(summary) => sums.0.push(summary),
                        Err(why) => {
                            println!("FAILED {why}");
                            sums.1.push(why);
                        }
                    }
                }
            });
        }
    });
    let (well, failed) = sums.into_inner().unwrap_or_else(|e| e.into_inner());
    let sum = |of: &dyn Fn(&Summary) -> u64| well.iter().map(of).sum::<u64>();
    println!(
        "| schedules | failed | served | refused | failed requests | broken with a killed proxy | reads judged | copies judged | served by copies | copies written | reads compared | planted faults | flags of them |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    println!(
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        well.len() + failed.len(),
        failed.len(),
        sum(&|s| s.served),
        sum(&|s| s.rejected),
        sum(&|s| s.failed),
        sum(&|s| s.disconnected),
        sum(&|s| s.checked_reads as u64),
        sum(&|s| s.checked_copies as u64),
        sum(&|s| s.copy_reads as u64),
        sum(&|s| s.copy_writes as u64),
        sum(&|s| s.dual_reads as u64),
        sum(&|s| s.planted_differences as u64),
        sum(&|s| s.reported_differences as u64)
    );
    if failed.is_empty() { Ok(()) } else { Err(format!("{} failed", failed.len()).into()) }
}
