//! Measures the processor time of a log line in two builds of the proxy, while clients connect and disconnect.

use crate::MeasurementResult;
use crate::process_cpu::mean_cpu_micros;
use birchreach_test_support::process::Process;
use birchreach_test_support::rig::Rig;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Time after which the log's rate limit allows a full burst again.
const BURST_RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Number of connections whose log lines fit into the burst.
const LOGGED_CONNECTIONS: u64 = 200;
/// Number of connections that use up the burst.
const EXCESS_CONNECTIONS: u64 = 3_000;
/// Number of connections whose log lines are dropped.
const DROPPED_CONNECTIONS: u64 = 10_000;

/// A running process of one of the two builds.
struct MeasuredBuild {
    name: &'static str,
    process: Process,
}

/// Measures the processor time per connection and prints the table. The proxy writes a log line for each connection within
/// the rate limit, and drops the line of each connection beyond the limit.
pub(crate) fn run(program: &Path, against: &Path, folder: &Path, rounds: u32) -> MeasurementResult {
    let against = std::fs::canonicalize(against)?;
    let rig_before = Rig::new(1, [127, 94, 0, 1], &against, &folder.join("before"))?;
    let rig_after = Rig::new(1, [127, 94, 1, 1], program, &folder.join("after"))?;
    let builds = [MeasuredBuild::start("before", &rig_before)?, MeasuredBuild::start("after", &rig_after)?];
    println!(
        "| clients that come and go | round | written, CPU us each | dropped, CPU us each |\n| --- | --- | --- | --- |"
    );
    for round in 0..rounds {
        for program in &builds {
            program.print_row(round)?;
        }
    }
    Ok(())
}

impl MeasuredBuild {
    fn start(name: &'static str, rig: &Rig) -> std::io::Result<MeasuredBuild> {
        Ok(MeasuredBuild { name, process: rig.start(1, None, None)? })
    }

    fn print_row(&self, round: u32) -> MeasurementResult {
        let address = self.process.client_address().ok_or("proxy has no client address")?;
        let connect = || drop(TcpStream::connect(address));
        thread::sleep(BURST_RECOVERY_TIME);
        let written = mean_cpu_micros(&self.process, LOGGED_CONNECTIONS, connect);
        let _ = mean_cpu_micros(&self.process, EXCESS_CONNECTIONS, connect);
        let dropped = mean_cpu_micros(&self.process, DROPPED_CONNECTIONS, connect);
        println!("| {} | {round} | {written:.1} | {dropped:.1} |", self.name);
        Ok(())
    }
}
