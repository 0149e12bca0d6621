//! Seeded schedules of faults on several processes with hot keys and a split, many side by side; each that fails is printed whole.

use crate::MeasurementResult;
use birchreach_test_support::groups::seeded_schedule::{SeededSchedule, Summary};
use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Addresses are used again after so many seeds.
const SEEDS_PER_ADDRESS_RANGE: u64 = 250;

/// The schedules that were played.
#[derive(Default)]
struct Played {
    passed: Vec<Summary>,
    failures: Vec<String>,
}

/// Plays the schedules of all seeds, so many at once, and prints the table.
pub(crate) fn run(
    program: &Path,
    folder: &Path,
    seeds: RangeInclusive<u64>,
    side_by_side: usize,
) -> MeasurementResult {
    let next_seed = AtomicU64::new(*seeds.start());
    let last_seed = *seeds.end();
    let played: Mutex<Played> = Mutex::default();
    std::thread::scope(|scope| {
        for thread in 0..side_by_side {
            let (next_seed, played) = (&next_seed, &played);
            scope.spawn(move || {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed > last_seed {
                        return;
                    }
                    let result = play(program, folder, thread, seed);
                    let mut played = played.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                    played.add(result);
                }
            });
        }
    });
    let played = played.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    played.print();
    let failed = played.failures.len();
    if failed == 0 { Ok(()) } else { Err(format!("{failed} failed").into()) }
}

/// Plays one seed at addresses that no other thread uses meanwhile.
fn play(program: &Path, folder: &Path, thread: usize, seed: u64) -> Result<Summary, String> {
    let loopback_address = [127, 70 + thread as u8, (seed % SEEDS_PER_ADDRESS_RANGE) as u8, 1];
    let folder = folder.join(format!("seed-{seed}"));
    let result = SeededSchedule { seed, loopback_address, program, folder: &folder }.run();
    let _ = std::fs::remove_dir_all(folder);
    result
}

impl Played {
    fn add(&mut self, result: Result<Summary, String>) {
        match result {
            Ok(summary) => self.passed.push(summary),
            Err(failure) => {
                println!("FAILED {failure}");
                self.failures.push(failure);
            }
        }
    }

    fn print(&self) {
        let sum = |count: fn(&Summary) -> u64| self.passed.iter().map(count).sum::<u64>();
        println!(
            "| schedules | failed | served | refused | failed requests | broken with a killed proxy | reads judged | copies judged | served by copies | copies written | reads compared | planted faults | flags of them |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        println!(
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            self.passed.len() + self.failures.len(),
            self.failures.len(),
            sum(|summary| summary.served),
            sum(|summary| summary.rejected),
            sum(|summary| summary.failed),
            sum(|summary| summary.disconnected),
            sum(|summary| summary.checked_reads as u64),
            sum(|summary| summary.checked_copies as u64),
            sum(|summary| summary.copy_reads as u64),
            sum(|summary| summary.copy_writes as u64),
            sum(|summary| summary.dual_reads as u64),
            sum(|summary| summary.injected_differences as u64),
            sum(|summary| summary.reported_differences as u64)
        );
    }
}
