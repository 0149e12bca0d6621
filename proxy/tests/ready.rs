//! Processes that start at once while discovery is down.

use birchreach_test_support::client::Client;
use birchreach_test_support::rig::Rig;
use std::path::Path;

/// Each answers an empty query, by which a front takes it in: nothing at the start waits for discovery or for other processes.
#[test]
fn many_processes_that_start_at_once_are_ready_without_discovery() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("ready");
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(1, [127, 88, 222, 1], program, &folder).unwrap();
    rig.discovery.stop();
    std::thread::scope(|scope| {
        let rig = &rig;
        let started: Vec<_> = (1..=40).map(|n| scope.spawn(move || rig.start(n, None, None))).collect();
        for process in started {
            let process = process.join().unwrap().unwrap();
            let mut front = Client::connect(process.clients().unwrap()).unwrap();
            front.run("").unwrap();
        }
    });
}
