//! The membership of the fleet on real processes, with relays between them: cuts, crashes, pauses, restarts, and foreign datagrams.

use birchreach_test_support::fleet::{Fleet, ask, settled, word};
use birchreach_test_support::process::{PATIENCE, Process};
use birchreach_test_support::relay::Rules;
use birchreach_test_support::schedule::Schedule;
use std::net::{TcpListener, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

fn fleet(n: u8, count: usize) -> Fleet {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{n}"));
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    Fleet::new(count, [127, 88, 230 + n, 1], program, &folder, u64::from(n)).unwrap()
}

fn settle(what: &str, members: usize, all: &[&Process]) {
    let start = Instant::now();
    while let Err(views) = settled(members, all) {
        assert!(start.elapsed() < 2 * PATIENCE, "{what}: {views}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_fleet_settles_after_cuts_crashes_pauses_and_restarts() {
    let fleet = fleet(1, 5);
    let mut all: Vec<Process> = (0..5).map(|n| fleet.start(n, None).unwrap()).collect();
    let of = |all: &[Process], which: std::ops::Range<usize>| -> Vec<u32> {
        which.map(|n| all[n].pid()).collect()
    };
    let views = |all: &[Process]| all.iter().map(|p| word(p, "boot=")).collect::<Vec<_>>();
    settle("join", 5, &all.iter().collect::<Vec<_>>());
    // Two against three, with datagrams that are duplicated, delayed, reordered and corrupted.
    let rules = Rules { twice: 0.1, spoilt: 0.05, delay: Duration::from_millis(30), ..Rules::halves(2, 5) };
    fleet.relays.set(rules.clone());
    settle("the two", 2, &all[..2].iter().collect::<Vec<_>>());
    settle("the three", 3, &all[2..].iter().collect::<Vec<_>>());
    assert_eq!(word(&all[0], "divisor="), "5", "two never act as if they were the whole fleet");
    fleet.relays.set(Rules { cut: Default::default(), ..rules });
    settle("heal", 5, &all.iter().collect::<Vec<_>>());
    // One is paused until all others have removed it, and resumes.
    all[4].signal("STOP");
    settle("stop", 4, &all[..4].iter().collect::<Vec<_>>());
    all[4].signal("CONT");
    settle("go on", 5, &all.iter().collect::<Vec<_>>());
    all[4].line(&["event=fleet-epoch-renewed"]).expect("it was removed");
    // One is killed and starts again under its name, with an empty memory.
    let (before, pids) = (views(&all), of(&all, 0..5));
    all[1].signal("KILL");
    all[1] = fleet.start(1, None).unwrap();
    settle("restart", 5, &all.iter().collect::<Vec<_>>());
    assert_ne!((views(&all), of(&all, 0..5)), (before, pids));
    // One shuts down gracefully.
    all[0].signal("TERM");
    settle("leave", 4, &all[1..].iter().collect::<Vec<_>>());
}

#[test]
fn foreign_datagrams_change_nothing_and_a_partitioned_process_reports_itself_blind() {
    let fleet = fleet(2, 3);
    let one = fleet.start(0, None).unwrap();
    one.line(&["event=fleet ", "state=blind"]).expect("it receives from nobody");
    let socket = UdpSocket::bind((fleet.rig.own(), 0)).unwrap();
    for bytes in [
        &b""[..],
        b"bd",
        &[b'b'; 1_401],
        b"bd\x01\0\0\0\x01 and what else there may be, for long enough to be a datagram of ours",
    ] {
        socket.send_to(bytes, fleet.relays.behind[0]).unwrap();
    }
    let start = Instant::now();
    while !ask(&one, "metrics").contains("reason=\"wrong-code\"} 1") {
        assert!(start.elapsed() < PATIENCE, "{}", ask(&one, "metrics"));
    }
    let metrics = ask(&one, "metrics");
    assert!(
        metrics.contains("\nbirchreach_fleet_dropped_total{reason=\"no-datagram\"} 3")
            && metrics.ends_with("# EOF\n"),
        "{metrics}"
    );
    assert_eq!((word(&one, "state="), word(&one, "members=")), ("blind".into(), "1".into()));
    // Without the options none of it is there.
    let plain = fleet.rig.start(9, None, None).unwrap();
    assert!(
        ask(&plain, "fleet").starts_with("NO no such call")
            && ask(&plain, "metrics").starts_with("NO no such call")
    );
    // A second process joins.
    let two = fleet.start(1, None).unwrap();
    settle("two", 2, &[&one, &two]);
}

#[test]
fn of_two_processes_of_one_proxy_one_is_a_member() {
    let fleet = fleet(3, 3);
    let shared = TcpListener::bind((fleet.rig.own(), 0)).unwrap();
    let mut predecessor = fleet.start(0, Some(&shared)).unwrap();
    let (one, two) = (fleet.start(1, None).unwrap(), fleet.start(2, None).unwrap());
    settle("join", 3, &[&predecessor, &one, &two]);
    let before = word(&predecessor, "boot=");
    // The successor starts beside it with its name and address: the predecessor leaves, and the successor joins.
    let successor = fleet.start(0, Some(&shared)).unwrap();
    successor.line(&["event=fleet-listening"]).expect("the predecessor closes its socket");
    settle("handover", 3, &[&successor, &one, &two]);
    assert_ne!(word(&successor, "boot="), before);
    // The successor crashes: the predecessor joins again, under a new epoch.
    drop(successor);
    settle("back", 3, &[&predecessor, &one, &two]);
    assert_eq!(word(&predecessor, "boot="), before);
    let successor = fleet.start(0, Some(&shared)).unwrap();
    settle("the next", 3, &[&successor, &one, &two]);
    predecessor.signal("TERM");
    assert_eq!(predecessor.ended(), Some(0));
    settle("and on", 3, &[&successor, &one, &two]);
    assert!(
        [&one, &two].iter().all(|p| !p.log().iter().any(|l| l.contains("event=fleet-name-conflict"))),
        "nobody saw both"
    );
}

/// Faults from a seed, the same each time: all come to one view once they are over.
#[test]
fn a_schedule_from_a_seed_settles() {
    let fleet = fleet(5, 4);
    let mut all: Vec<Option<Process>> = (0..4).map(|n| fleet.start(n, None).ok()).collect();
    let schedule = Schedule::draw(3, 4, 6, Duration::from_secs(5));
    schedule.play(&fleet, &mut all).unwrap();
    schedule.mend(&fleet, &mut all, 2 * PATIENCE).unwrap();
    let has_exchanged =
        |p: &Process| p.log().iter().any(|l| l.contains("conn=fleet") && l.contains("reason=received"));
    assert!(all.iter().flatten().any(has_exchanged), "no full exchange was completed");
}
