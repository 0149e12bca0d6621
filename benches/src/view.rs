//! The view of the fleet on real processes: how long it takes to settle after joins, crashes, partitions and stops at several loss
//! rates, which live members are removed, and processor time and bytes of each process.

use crate::MeasurementResult;
use birchreach_test_support::fleet::{Fleet, admin_call, check_settled, fleet_value};
use birchreach_test_support::process::Process;
use birchreach_test_support::relay::NetworkFaults;
use std::fmt;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A view that has not settled by then is reported as such.
const MAX_WAIT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long nothing happens while cost is measured.
const IDLE_TIME: Duration = Duration::from_secs(30);
const PARTITION_TIME: Duration = Duration::from_secs(30);
const STOP_TIME: Duration = Duration::from_secs(20);
const LOSS_FRACTIONS: [f64; 3] = [0.0, 0.05, 0.2];
const SENT_BYTES_METRIC: &str = "birchreach_fleet_bytes_total{way=\"Sent\"}";

/// How long something took to hold; none if it did not within [`MAX_WAIT`].
struct SettlingTime(Option<Duration>);

impl fmt::Display for SettlingTime {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(time) => write!(f, "{:.1}", time.as_secs_f64()),
            None => write!(f, "not in {}", MAX_WAIT.as_secs()),
        }
    }
}

/// Waits until a condition holds.
fn wait_until(mut holds: impl FnMut() -> bool) -> SettlingTime {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > MAX_WAIT {
            return SettlingTime(None);
        }
        sleep(POLL_INTERVAL);
    }
    SettlingTime(Some(start.elapsed()))
}

/// What the processes cost at rest.
struct IdleCost {
    /// Members removed by the others.
    removals: usize,
    cpu_percent_per_process: f64,
    sent_bytes_per_s_per_process: f64,
}

/// Counters of all processes together.
struct Counters {
    cpu_time: Duration,
    sent_bytes: f64,
    removals: usize,
}

/// Measures the view at each loss rate, and prints the table.
pub(crate) fn run(program: &Path, folder: &Path, processes: usize, seed: u64) -> MeasurementResult {
    println!(
        "| processes | loss | join | one crash noticed | back | heal | after a stop of 20 s | false removals in 30 s | CPU each, % | bytes/s each |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for (number, loss_fraction) in LOSS_FRACTIONS.into_iter().enumerate() {
        let fleet = Fleet::new(processes, [127, 91, number as u8, 1], program, folder, seed)?;
        let mut measurement = Measurement::start(fleet, processes, loss_fraction)?;
        measurement.print_row()?;
    }
    Ok(())
}

/// A fleet whose network loses datagrams at one rate.
struct Measurement {
    processes: Vec<Process>,
    loss_fraction: f64,
    fleet: Fleet,
}

impl Measurement {
    fn start(fleet: Fleet, processes: usize, loss_fraction: f64) -> std::io::Result<Measurement> {
        fleet.relays.set_faults(NetworkFaults { loss_fraction, ..NetworkFaults::default() });
        let processes = (0..processes).map(|process| fleet.start(process, None)).collect::<Result<_, _>>()?;
        Ok(Measurement { processes, loss_fraction, fleet })
    }

    fn print_row(&mut self) -> MeasurementResult {
        let affected = self.processes.len() / 2;
        let join = self.wait_for_agreement();
        let cost = self.measure_idle_cost();
        let crash = self.crash(affected);
        self.processes[affected] = self.fleet.start(affected, None)?;
        let restart = self.wait_for_agreement();
        let heal = self.partition();
        let stop = self.stop_and_continue(affected);
        println!(
            "| {} | {:.0}% | {join} | {crash} | {restart} | {heal} | {stop} | {} | {:.2} | {:.0} |",
            self.processes.len(),
            self.loss_fraction * 100.0,
            cost.removals,
            cost.cpu_percent_per_process,
            cost.sent_bytes_per_s_per_process
        );
        Ok(())
    }

    /// Waits until all processes have one settled view.
    fn wait_for_agreement(&self) -> SettlingTime {
        let processes: Vec<&Process> = self.processes.iter().collect();
        wait_until(|| check_settled(processes.len(), &processes).is_ok())
    }

    fn measure_idle_cost(&self) -> IdleCost {
        let before = self.counters();
        sleep(IDLE_TIME);
        let after = self.counters();
        let per_s_per_process = |sum: f64| sum / self.processes.len() as f64 / IDLE_TIME.as_secs_f64();
        let cpu_seconds = after.cpu_time.as_secs_f64() - before.cpu_time.as_secs_f64();
        IdleCost {
            removals: after.removals - before.removals,
            cpu_percent_per_process: per_s_per_process(cpu_seconds) * 100.0,
            sent_bytes_per_s_per_process: per_s_per_process(after.sent_bytes - before.sent_bytes),
        }
    }

    fn counters(&self) -> Counters {
        Counters {
            cpu_time: self.processes.iter().filter_map(Process::cpu_time).sum(),
            sent_bytes: self.processes.iter().map(|process| metric(process, SENT_BYTES_METRIC)).sum(),
            removals: self
                .processes
                .iter()
                .flat_map(Process::log)
                .filter(|line| line.contains("event=fleet-member-removed"))
                .count(),
        }
    }

    /// Kills a process; how long until all others have removed it.
    fn crash(&self, crashed: usize) -> SettlingTime {
        self.processes[crashed].signal("KILL");
        let (before, after) = (&self.processes[..crashed], &self.processes[crashed + 1..]);
        let remaining = (self.processes.len() - 1).to_string();
        wait_until(|| before.iter().chain(after).all(|process| fleet_value(process, "members=") == remaining))
    }

    /// Separates the halves of the fleet for a time; how long until they have one view again.
    fn partition(&self) -> SettlingTime {
        let processes = self.processes.len();
        self.set_faults(NetworkFaults::partition(processes / 2, processes));
        sleep(PARTITION_TIME);
        self.set_faults(NetworkFaults::default());
        self.wait_for_agreement()
    }

    /// Sets the network's faults, beside the loss.
    fn set_faults(&self, faults: NetworkFaults) {
        self.fleet.relays.set_faults(NetworkFaults { loss_fraction: self.loss_fraction, ..faults });
    }

    /// Stops a process for a time; how long until it is in everybody's view again.
    fn stop_and_continue(&self, stopped: usize) -> SettlingTime {
        self.processes[stopped].signal("STOP");
        sleep(STOP_TIME);
        self.processes[stopped].signal("CONT");
        self.wait_for_agreement()
    }
}

/// The value of a metric of one process; zero without one.
fn metric(process: &Process, name: &str) -> f64 {
    let text = admin_call(process, "metrics");
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or(0.0)
}
