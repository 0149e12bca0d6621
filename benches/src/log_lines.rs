//! What a log line costs: two programs side by side, before clients that connect and leave.

use crate::MeasurementResult;
use crate::process_cpu::mean_cpu_micros;
use birchreach_test_support::process::Process;
use birchreach_test_support::rig::Rig;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// The log's rate limit allows its burst again after this time.
const BURST_RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Connections whose lines are within the burst.
const LOGGED_CONNECTIONS: u64 = 200;
/// Connections that use up the burst.
const EXCESS_CONNECTIONS: u64 = 3_000;
/// Connections whose lines are dropped.
const DROPPED_CONNECTIONS: u64 = 10_000;

/// A process of one of the two programs.
struct MeasuredProgram {
    name: &'static str,
    process: Process,
}

/// Measures clients that connect and leave, each with a line in the log: within the rate limit it is written, beyond it it is
/// dropped.
pub(crate) fn run(program: &Path, against: &Path, folder: &Path, rounds: u32) -> MeasurementResult {
    let against = std::fs::canonicalize(against)?;
    let rig_before = Rig::new(1, [127, 94, 0, 1], &against, &folder.join("before"))?;
    let rig_after = Rig::new(1, [127, 94, 1, 1], program, &folder.join("after"))?;
    let programs =
        [MeasuredProgram::start("before", &rig_before)?, MeasuredProgram::start("after", &rig_after)?];
    println!(
        "| clients that come and go | round | written, CPU us each | dropped, CPU us each |\n| --- | --- | --- | --- |"
    );
    for round in 0..rounds {
        for program in &programs {
            program.print_row(round)?;
        }
    }
    Ok(())
}

impl MeasuredProgram {
    fn start(name: &'static str, rig: &Rig) -> std::io::Result<MeasuredProgram> {
        Ok(MeasuredProgram { name, process: rig.start(1, None, None)? })
    }

    fn print_row(&self, round: u32) -> MeasurementResult {
        let address = self.process.client_address().ok_or("no clients")?;
        let connect = || drop(TcpStream::connect(address));
        thread::sleep(BURST_RECOVERY_TIME);
        let written = mean_cpu_micros(&self.process, LOGGED_CONNECTIONS, connect);
        let _ = mean_cpu_micros(&self.process, EXCESS_CONNECTIONS, connect);
        let dropped = mean_cpu_micros(&self.process, DROPPED_CONNECTIONS, connect);
        println!("| {} | {round} | {written:.1} | {dropped:.1} |", self.name);
        Ok(())
    }
}
