//! Processes that start at the same time while discovery is unreachable.

use birchreach_test_support::client::Client;
use birchreach_test_support::rig::Rig;
use std::path::Path;

const PROCESSES: u64 = 40;
const EMPTY_QUERY: &str = "";

/// A load balancer adds a process to its rotation when the process answers an empty query. The start of a process must wait neither for
/// discovery nor for other processes.
#[test]
fn many_processes_that_start_at_once_are_ready_without_discovery() {
    // Given an unreachable discovery agent.
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("ready");
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(1, [127, 88, 222, 1], program, &folder).unwrap();
    rig.discovery.stop();

    // When all processes start at the same time, then each of them answers an empty query.
    std::thread::scope(|scope| {
        let rig = &rig;
        let start = |number| scope.spawn(move || rig.start(number, None, None));
        let started: Vec<_> = (1..=PROCESSES).map(start).collect();

        for process in started {
            let process = process.join().unwrap().unwrap();
            let mut balancer = Client::connect(process.client_address().unwrap()).unwrap();
            balancer.run_statement(EMPTY_QUERY).unwrap();
        }
    });
}
