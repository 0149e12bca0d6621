//! Measures the membership view of a fleet of real processes at several loss rates: the time to settle after joins, crashes,
//! partitions and stops, the false removals of live members, and the processor time and bytes sent of each process.

use crate::MeasurementResult;
use birchreach_test_support::fleet::{Fleet, admin_call, check_settled, fleet_value};
use birchreach_test_support::process::Process;
use birchreach_test_support::relay::NetworkFaults;
use std::fmt;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A view that has not settled within this time is reported as not settled.
const MAX_WAIT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Duration of the measurement of cost, in which no fault happens.
const IDLE_TIME: Duration = Duration::from_secs(30);
const PARTITION_TIME: Duration = Duration::from_secs(30);
const STOP_TIME: Duration = Duration::from_secs(20);
const LOSS_FRACTIONS: [f64; 3] = [0.0, 0.05, 0.2];
const SENT_BYTES_METRIC: &str = "birchreach_fleet_bytes_total{way=\"Sent\"}";

/// The time until a condition held; `None` if the condition did not hold within [`MAX_WAIT`].
struct SettlingTime(Option<Duration>);

impl fmt::Display for SettlingTime {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(time) => write!(f, "{:.1}", time.as_secs_f64()),
            None => write!(f, "not in {}", MAX_WAIT.as_secs()),
        }
    }
}

/// Waits until `holds` returns true, at most [`MAX_WAIT`].
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

/// Removals and resource use of the processes while no fault happens.
struct IdleCost {
    /// Removals of live members by other members.
    removals: usize,
    cpu_percent_per_process: f64,
    sent_bytes_per_s_per_process: f64,
}

/// Counters, summed over all processes.
struct Counters {
    cpu_time: Duration,
    sent_bytes: f64,
    removals: usize,
}

/// Measures a fleet at each loss rate, and prints the table.
pub(crate) fn run(program: &Path, folder: &Path, processes: usize, seed: u64) -> MeasurementResult {
    println!(
        "| processes | loss | join | one crash noticed | back | heal | after a stop of 20 s | false removals in 30 s | CPU each, % | bytes/s each |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for (number, loss_fraction) in LOSS_FRACTIONS.into_iter().enumerate() {
        let fleet = Fleet::new(processes, [127, 91, number as u8, 1], program, folder, seed)?;
        let mut measurement = FleetMeasurement::start(fleet, processes, loss_fraction)?;
        measurement.print_row()?;
    }
    Ok(())
}

/// A running fleet whose network loses a fixed fraction of the datagrams.
struct FleetMeasurement {
    processes: Vec<Process>,
    loss_fraction: f64,
    fleet: Fleet,
}

impl FleetMeasurement {
    fn start(fleet: Fleet, processes: usize, loss_fraction: f64) -> std::io::Result<FleetMeasurement> {
        fleet.relays.set_faults(NetworkFaults { loss_fraction, ..NetworkFaults::default() });
        let processes = (0..processes).map(|process| fleet.start(process, None)).collect::<Result<_, _>>()?;
        Ok(FleetMeasurement { processes, loss_fraction, fleet })
    }

    fn print_row(&mut self) -> MeasurementResult {
        let affected = self.processes.len() / 2;
        let join = self.wait_for_agreement();
        let cost = self.measure_idle_cost();
        let crash = self.measure_crash(affected);
        self.processes[affected] = self.fleet.start(affected, None)?;
        let restart = self.wait_for_agreement();
        let heal = self.measure_partition();
        let stop = self.measure_stop(affected);
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

    /// Waits until all processes have the same settled view.
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

    /// Kills a process, and returns the time until all other processes have removed it.
    fn measure_crash(&self, crashed: usize) -> SettlingTime {
        self.processes[crashed].signal("KILL");
        let (before, after) = (&self.processes[..crashed], &self.processes[crashed + 1..]);
        let remaining = (self.processes.len() - 1).to_string();
        wait_until(|| before.iter().chain(after).all(|process| fleet_value(process, "members=") == remaining))
    }

    /// Partitions the fleet into halves for [`PARTITION_TIME`], and returns the time until they agree again.
    fn measure_partition(&self) -> SettlingTime {
        let processes = self.processes.len();
        self.set_faults(NetworkFaults::partition(processes / 2, processes));
        sleep(PARTITION_TIME);
        self.set_faults(NetworkFaults::default());
        self.wait_for_agreement()
    }

    /// Sets the network's faults, and keeps the loss rate.
    fn set_faults(&self, faults: NetworkFaults) {
        self.fleet.relays.set_faults(NetworkFaults { loss_fraction: self.loss_fraction, ..faults });
    }

    /// Stops a process for [`STOP_TIME`], and returns the time until all processes agree on a view with the process in it.
    fn measure_stop(&self, stopped: usize) -> SettlingTime {
        self.processes[stopped].signal("STOP");
        sleep(STOP_TIME);
        self.processes[stopped].signal("CONT");
        self.wait_for_agreement()
    }
}

/// Returns the value of a metric of one process, or zero if the process does not export the metric.
fn metric(process: &Process, name: &str) -> f64 {
    let text = admin_call(process, "metrics");
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or(0.0)
}
