//! Fleet membership of proxy processes that are connected by relays: partitions, crashes, pauses, restarts, and invalid datagrams.

use birchreach_test_support::fleet::{Fleet, admin_call, check_settled, fleet_value};
use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::relay::NetworkFaults;
use birchreach_test_support::schedule::Schedule;
use std::net::{TcpListener, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

/// Creates a fleet without starting its processes. `test_number` selects the folder and addresses, which no other test uses.
fn new_fleet(test_number: u8, process_count: usize) -> Fleet {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{test_number}"));
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    Fleet::new(process_count, [127, 88, 230 + test_number, 1], program, &folder, u64::from(test_number))
        .unwrap()
}

/// Waits until all of the processes report a settled fleet of `member_count` members.
fn wait_until_settled<'a>(what: &str, member_count: usize, processes: impl IntoIterator<Item = &'a Process>) {
    let processes: Vec<&Process> = processes.into_iter().collect();
    let start = Instant::now();
    while let Err(views) = check_settled(member_count, &processes) {
        assert!(start.elapsed() < 2 * MAX_WAIT, "{what}: {views}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn pids(processes: &[Process]) -> Vec<u32> {
    processes.iter().map(Process::pid).collect()
}

fn incarnations(processes: &[Process]) -> Vec<String> {
    processes.iter().map(incarnation).collect()
}

/// Returns the incarnation that the process reports for itself.
fn incarnation(process: &Process) -> String {
    fleet_value(process, "boot=")
}

/// Partitions two of five processes from the others and heals the partition. The relays also duplicate, delay, reorder and corrupt
/// datagrams.
fn partition_and_heal(fleet: &Fleet, processes: &[Process]) {
    let faults = NetworkFaults {
        duplicate_fraction: 0.1,
        corrupt_fraction: 0.05,
        max_delay: Duration::from_millis(30),
        ..NetworkFaults::partition(2, 5)
    };
    fleet.relays.set_faults(faults.clone());
    wait_until_settled("partition of two", 2, &processes[..2]);
    wait_until_settled("partition of three", 3, &processes[2..]);
    assert_eq!(
        fleet_value(&processes[0], "divisor="),
        "5",
        "two partitioned processes divide quotas as if they were the whole fleet"
    );
    fleet.relays.set_faults(NetworkFaults { blocked: Default::default(), ..faults });
    wait_until_settled("heal", 5, processes);
}

/// Pauses the last process until all others have removed it, and resumes it.
fn pause_and_resume_the_last(processes: &[Process]) {
    processes[4].signal("STOP");
    wait_until_settled("pause", 4, &processes[..4]);
    processes[4].signal("CONT");
    wait_until_settled("resume", 5, processes);
    processes[4].wait_for_log_line(&["event=fleet-epoch-renewed"]).expect("the process was removed");
}

/// Kills the second process and starts it again under its name. The new process has no state.
fn kill_and_restart_the_second(fleet: &Fleet, processes: &mut [Process]) {
    let before = (incarnations(processes), pids(processes));
    processes[1].signal("KILL");
    processes[1] = fleet.start(1, None).unwrap();
    wait_until_settled("restart", 5, &*processes);
    assert_ne!((incarnations(processes), pids(processes)), before);
}

#[test]
fn a_fleet_settles_after_partitions_pauses_crashes_and_restarts() {
    // Given a settled fleet of five
    let fleet = new_fleet(1, 5);
    let mut processes: Vec<Process> = (0..5).map(|n| fleet.start(n, None).unwrap()).collect();
    wait_until_settled("join", 5, &processes);
    // When the fleet is partitioned, a process is paused, and a process is restarted, then the fleet settles each time
    partition_and_heal(&fleet, &processes);
    pause_and_resume_the_last(&processes);
    kill_and_restart_the_second(&fleet, &mut processes);
    // When a process shuts down gracefully, then the others settle without it
    processes[0].signal("TERM");
    wait_until_settled("leave", 4, &processes[1..]);
}

/// Sends datagrams to a process that do not come from the fleet: an empty one, a short one, a long one, and one with a wrong
/// authentication code.
fn send_invalid_datagrams(fleet: &Fleet, process: usize) {
    let socket = UdpSocket::bind((fleet.rig.loopback_address(), 0)).unwrap();
    for bytes in [
        &b""[..],
        b"bd",
        &[b'b'; 1_401],
        b"bd\x01\0\0\0\x01 and what else there may be, for long enough to be a datagram of ours",
    ] {
        socket.send_to(bytes, fleet.relays.process_addresses[process]).unwrap();
    }
}

/// Waits until a process has counted a datagram with a wrong authentication code.
fn wait_for_wrong_code(process: &Process) {
    let start = Instant::now();
    while !admin_call(process, "metrics").contains("reason=\"wrong-code\"} 1") {
        assert!(start.elapsed() < MAX_WAIT, "{}", admin_call(process, "metrics"));
    }
}

#[test]
fn invalid_datagrams_are_counted_and_dropped_and_an_isolated_process_reports_itself_blind() {
    // Given a process that receives no datagrams from other processes
    let fleet = new_fleet(2, 3);
    let one = fleet.start(0, None).unwrap();
    one.wait_for_log_line(&["event=fleet ", "state=blind"]).expect("the process receives no datagrams");
    // When it receives invalid datagrams
    send_invalid_datagrams(&fleet, 0);
    // Then it counts them, and still reports itself as the only member
    wait_for_wrong_code(&one);
    let metrics = admin_call(&one, "metrics");
    assert!(
        metrics.contains("\nbirchreach_fleet_dropped_total{reason=\"no-datagram\"} 3")
            && metrics.ends_with("# EOF\n"),
        "{metrics}"
    );
    assert_eq!((fleet_value(&one, "state="), fleet_value(&one, "members=")), ("blind".into(), "1".into()));
    // When a second process starts, then both settle
    let two = fleet.start(1, None).unwrap();
    wait_until_settled("two", 2, [&one, &two]);
}

#[test]
fn a_process_without_options_rejects_the_fleet_and_metrics_calls() {
    // Given a process without options
    let fleet = new_fleet(4, 1);
    let process = fleet.rig.start(9, None, None).unwrap();
    // When an operator calls `fleet` and `metrics`, then the process rejects both calls
    assert!(
        admin_call(&process, "fleet").starts_with("NO no such call")
            && admin_call(&process, "metrics").starts_with("NO no such call")
    );
}

#[test]
fn only_one_of_two_processes_of_a_proxy_is_a_member() {
    // Given a settled fleet of three, one of which has a listener that another process can share
    let fleet = new_fleet(3, 3);
    let shared = TcpListener::bind((fleet.rig.loopback_address(), 0)).unwrap();
    let mut predecessor = fleet.start(0, Some(&shared)).unwrap();
    let (one, two) = (fleet.start(1, None).unwrap(), fleet.start(2, None).unwrap());
    wait_until_settled("join", 3, [&predecessor, &one, &two]);
    let before = incarnation(&predecessor);
    // When a successor starts with the same name and address, then the predecessor leaves, and the successor joins
    let successor = fleet.start(0, Some(&shared)).unwrap();
    successor.wait_for_log_line(&["event=fleet-listening"]).expect("the predecessor closes its socket");
    wait_until_settled("handover", 3, [&successor, &one, &two]);
    assert_ne!(incarnation(&successor), before);
    // When the successor crashes, then the predecessor joins again, under a new epoch
    drop(successor);
    wait_until_settled("predecessor rejoins", 3, [&predecessor, &one, &two]);
    assert_eq!(incarnation(&predecessor), before);
    // When the next successor has taken over and the predecessor shuts down, then the fleet stays settled
    let successor = fleet.start(0, Some(&shared)).unwrap();
    wait_until_settled("next handover", 3, [&successor, &one, &two]);
    predecessor.signal("TERM");
    assert_eq!(predecessor.wait_for_exit(), Some(0));
    wait_until_settled("after the shutdown", 3, [&successor, &one, &two]);
    // And no other process saw both
    let saw_both =
        |process: &Process| process.log().iter().any(|line| line.contains("event=fleet-name-conflict"));
    assert!([&one, &two].iter().all(|process| !saw_both(process)), "another process saw both");
}

/// The seed determines the faults. After the last fault, all processes must report the same members.
#[test]
fn a_fleet_settles_after_a_seeded_schedule_of_faults() {
    // Given a fleet of four
    let fleet = new_fleet(5, 4);
    let mut processes: Vec<Option<Process>> = (0..4).map(|n| fleet.start(n, None).ok()).collect();
    // When a schedule of faults has run, then the fleet settles
    let schedule = Schedule::generate(3, 4, 6, Duration::from_secs(5));
    schedule.run(&fleet, &mut processes).unwrap();
    schedule.recover(&fleet, &mut processes, 2 * MAX_WAIT).unwrap();
    // And at least one process received the complete state of another
    let has_exchanged = |process: &Process| {
        let log = process.log();
        log.iter().any(|line| line.contains("conn=fleet") && line.contains("reason=received"))
    };
    assert!(processes.iter().flatten().any(has_exchanged), "no full exchange was completed");
}
