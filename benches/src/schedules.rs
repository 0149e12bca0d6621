//! Runs seeded fault schedules, several at a time. Each schedule uses several processes with hot keys and a shard split. The
//! complete report of each failed schedule is printed.

use crate::MeasurementResult;
use birchreach_test_support::groups::seeded_schedule::{SeededSchedule, Summary};
use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of seeds after which loopback addresses are reused.
const SEEDS_PER_ADDRESS_RANGE: u64 = 250;

/// The results of the schedules that have ended.
#[derive(Default)]
struct ScheduleResults {
    passed: Vec<Summary>,
    failures: Vec<String>,
}

/// Runs the schedules of all seeds, `concurrency` of them at a time, and prints the table.
pub(crate) fn run(
    program: &Path,
    folder: &Path,
    seeds: RangeInclusive<u64>,
    concurrency: usize,
) -> MeasurementResult {
    let next_seed = AtomicU64::new(*seeds.start());
    let last_seed = *seeds.end();
    let results: Mutex<ScheduleResults> = Mutex::default();
    std::thread::scope(|scope| {
        for thread in 0..concurrency {
            let (next_seed, results) = (&next_seed, &results);
            scope.spawn(move || {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed > last_seed {
                        return;
                    }
                    let result = run_seed(program, folder, thread, seed);
                    let mut results = results.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                    results.add(result);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    results.print();
    let failed = results.failures.len();
    if failed > 0 {
        return Err(format!("{failed} of {} schedules failed", failed + results.passed.len()).into());
    }
    Ok(())
}

/// Runs the schedule of one seed, at addresses that no other thread uses meanwhile.
fn run_seed(program: &Path, folder: &Path, thread: usize, seed: u64) -> Result<Summary, String> {
    let loopback_address = [127, 70 + thread as u8, (seed % SEEDS_PER_ADDRESS_RANGE) as u8, 1];
    let folder = folder.join(format!("seed-{seed}"));
    let result = SeededSchedule { seed, loopback_address, program, folder: &folder }.run();
    let _ = std::fs::remove_dir_all(folder);
    result
}

impl ScheduleResults {
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
            "| schedules | failed | served | refused | failed requests | broken with a killed proxy | reads judged | copies judged | served by copies | copies written | reads compared | injected differences | reported differences |"
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
