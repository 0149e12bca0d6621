//! The view of the fleet on real processes: time to settle after joins, crashes, cuts and stops at several losses, members that are
//! removed though they are well, and processor time and bytes of each.

use crate::Done;
use birchreach_test_support::fleet::{Fleet, ask, settled, word};
use birchreach_test_support::process::Process;
use birchreach_test_support::relay::Rules;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A view that has not settled by then is reported as such.
const MAX_WAIT: Duration = Duration::from_secs(90);
const QUIET: Duration = Duration::from_secs(30);

fn until(mut holds: impl FnMut() -> bool) -> String {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > MAX_WAIT {
            return format!("not in {}", MAX_WAIT.as_secs());
        }
        sleep(Duration::from_millis(50));
    }
    format!("{:.1}", start.elapsed().as_secs_f64())
}

fn agreed(all: &[Process]) -> String {
    let all: Vec<&Process> = all.iter().collect();
    until(|| settled(all.len(), &all).is_ok())
}

/// A figure of all processes' metrics.
fn sum(all: &[Process], name: &str) -> f64 {
    let of = |p: &Process| {
        let text = ask(p, "metrics");
        let value = text.lines().find_map(|l| l.strip_prefix(name)?.trim().parse::<f64>().ok());
        value.unwrap_or(0.0)
    };
    all.iter().map(of).sum()
}

fn removals(all: &[Process]) -> usize {
    all.iter().flat_map(Process::log).filter(|l| l.contains("event=fleet-member-removed")).count()
}

pub fn run(program: &Path, folder: &Path, processes: usize, seed: u64) -> Done {
    println!(
        "| processes | loss | join | one crash noticed | back | heal | after a stop of 20 s | false removals in 30 s | CPU each, % | bytes/s each |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for (n, loss) in [0.0, 0.05, 0.2].into_iter().enumerate() {
        let fleet = Fleet::new(processes, [127, 91, n as u8, 1], program, folder, seed)?;
        fleet.relays.set(Rules { loss, ..Rules::default() });
        let mut all = (0..processes).map(|n| fleet.start(n, None)).collect::<Result<Vec<_>, _>>()?;
        let join = agreed(&all);
        let cpu = |all: &[Process]| all.iter().filter_map(Process::cpu).sum::<Duration>().as_secs_f64();
        let bytes = |all: &[Process]| sum(all, "birchreach_fleet_bytes_total{way=\"Sent\"}");
        let (before, sent, removed) = (cpu(&all), bytes(&all), removals(&all));
        sleep(QUIET);
        let each = |sum: f64| sum / processes as f64 / QUIET.as_secs_f64();
        let (cpu, sent, removed) =
            (each(cpu(&all) - before) * 100.0, each(bytes(&all) - sent), removals(&all) - removed);
        let one = processes / 2;
        all[one].signal("KILL");
        let others: Vec<&Process> =
            all.iter().enumerate().filter(|(n, _)| *n != one).map(|(_, p)| p).collect();
        let short = (processes - 1).to_string();
        let crash = until(|| others.iter().all(|p| word(p, "members=") == short));
        all[one] = fleet.start(one, None)?;
        let back = agreed(&all);
        fleet.relays.set(Rules { loss, ..Rules::halves(processes / 2, processes) });
        sleep(QUIET);
        fleet.relays.set(Rules { loss, ..Rules::default() });
        let heal = agreed(&all);
        all[one].signal("STOP");
        sleep(Duration::from_secs(20));
        all[one].signal("CONT");
        let stop = agreed(&all);
        println!(
            "| {processes} | {:.0}% | {join} | {crash} | {back} | {heal} | {stop} | {removed} | {cpu:.2} | {sent:.0} |",
            loss * 100.0
        );
    }
    Ok(())
}
