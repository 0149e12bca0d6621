//! Session writes while one process of a proxy replaces another: whichever process answered a write, the reads of its session see
//! it, also if the link between the processes is late, broken or invalid.
//!
//! The replica of the rig has stopped to apply commits. A session read that it answers misses every write.

mod chain;
mod grants;
mod rig;
mod roles;

use birchreach_test_support::process::MAX_WAIT;
use rig::{HandoverRig, OtherProcess, session_of, unix_micros, written_value};
use std::time::{Duration, Instant};

/// Longer than the time after which a process no longer relies on the last announcement.
const LATE: Duration = Duration::from_millis(200);
/// By then a process that has read the first messages, and does not answer them, counts as one of an earlier version.
const TIME_TO_ANSWER: Duration = Duration::from_millis(500);
/// The interval at which another process announces that all its writes are reported.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(10);

/// A session read older data than its own write: the processes did not know which writes the other one had answered.
#[test]
fn sessions_see_their_writes_through_either_process_during_a_replacement_and_afterwards() {
    // Given a process with clients, and a write that it has answered
    let rig = HandoverRig::new(1);
    let mut old = rig.start_process(1);
    let mut held_clients: Vec<_> = (0..3).map(|_| rig.connect()).collect();
    rig.write(&mut rig.connect(), "before");
    // When another process replaces it
    let new = rig.start_process(2);
    old.wait_for_log_line(&["event=successor-connected"]).unwrap();
    let connect_to_new = || rig.connect_while_stopped(&old);
    // Then sessions that wrote through the old process read through the new one, and the other way round
    rig.assert_write_is_seen(&mut connect_to_new(), "before");
    rig.write(&mut held_clients.pop().unwrap(), "during");
    rig.assert_write_is_seen(&mut connect_to_new(), "during");
    rig.write(&mut connect_to_new(), "by-new");
    rig.assert_write_is_seen(&mut held_clients.pop().unwrap(), "by-new");
    // And sessions still see what the old process answered when it has ended
    rig.write(&mut held_clients.pop().unwrap(), "last");
    old.signal("TERM");
    assert_eq!(old.wait_for_exit(), Some(0));
    new.wait_for_log_line(&["event=predecessor-disconnected"]).unwrap();
    assert!(new.find_log_line(&["event=session-writes-unknown"]).is_none(), "the old process has finished");
    for session in ["before", "during", "by-new", "last"] {
        rig.assert_write_is_seen(&mut rig.connect(), session);
    }
}

/// Waits until a read of a session that never wrote is served by the replica. `keep_up` is called before each try.
fn wait_until_replica_serves(rig: &HandoverRig, mut keep_up: impl FnMut()) {
    let start = Instant::now();
    loop {
        keep_up();
        if rig.read_is_served_by_replica("never-written") {
            return;
        }
        assert!(start.elapsed() < MAX_WAIT, "the replica serves no session read within {MAX_WAIT:?}");
        std::thread::sleep(ANNOUNCEMENT_INTERVAL);
    }
}

#[test]
fn a_write_that_the_predecessor_reports_is_seen_and_other_sessions_still_use_replicas() {
    // Given a predecessor that announces that all its writes are reported
    let rig = HandoverRig::new(2);
    let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
    rig.write_elsewhere("reported");
    wait_until_replica_serves(&rig, || predecessor.send_current());
    // When the predecessor reports a write of a session, then reads of the session see the write
    predecessor.send(&format!("committed {:016x} {}\n", session_of("reported"), unix_micros()));
    rig.assert_write_is_seen(&mut rig.connect(), "reported");
    // And the replica still serves other sessions
    wait_until_replica_serves(&rig, || predecessor.send_current());
}

#[test]
fn while_the_link_is_late_session_reads_see_writes_that_are_not_reported_yet() {
    // Given a predecessor that has announced that all its writes are reported
    let rig = HandoverRig::new(3);
    let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
    wait_until_replica_serves(&rig, || predecessor.send_current());
    // When its announcements stop and it answers a write, then reads of the session see the write
    std::thread::sleep(LATE);
    rig.write_elsewhere("late");
    rig.assert_write_is_seen(&mut rig.connect(), "late");
    // When it reports that it could not report all writes one by one, then reads of all sessions see them
    predecessor.send(&format!("missed {}\n", unix_micros()));
    for _ in 0..10 {
        predecessor.send_current();
        rig.assert_write_is_seen(&mut rig.connect(), "late");
    }
}

/// A stopped process does not read what has arrived on the link in the meantime. Its time of before the stop must not make the last
/// announcement look recent.
#[test]
fn a_process_that_was_stopped_before_it_reads_a_client_sees_writes_that_were_answered_meanwhile() {
    // Given a process that relies on announcements, and stops itself when a client has sent something
    let mut rig = HandoverRig::new(11);
    let unlinked = rig.start_unlinked_process();
    rig.stop_processes_at_client_input();
    let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
    let process = rig.process(1);
    assert_eq!(predecessor.read_line(), "yields 2");
    assert_eq!(predecessor.read_line(), "yields 0");
    predecessor.send_current();
    assert_eq!(predecessor.read_line(), "serving");
    let is_announced = |line: &str| line.starts_with("current ");
    assert!(is_announced(&predecessor.read_line()), "the process has read the announcement");
    predecessor.send_current();
    let mut client = rig.connect_and_wait_until_stopped(&process);
    // When the predecessor answers a write while the process is stopped, and the session then reads
    std::thread::sleep(LATE);
    rig.write_through(&unlinked, "meanwhile");
    let read = "SELECT blob FROM rows WHERE handle = 'meanwhile' /* id=f1,c=own,d=20000,cluster=0 */";
    client.send_statement(read).unwrap();
    process.signal("CONT");
    // Then the read sees the write
    client.read_reply().unwrap();
    assert_eq!(client.read_reply().unwrap(), written_value());
}

/// An earlier version sends no announcements, and closes the link at a message that it does not know.
#[test]
fn beside_a_predecessor_of_an_earlier_version_session_reads_see_all_writes() {
    // Given a predecessor of an earlier version, which reads what it is sent
    let rig = HandoverRig::new(4);
    let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
    assert_eq!(predecessor.read_line(), "yields 2");
    assert_eq!(predecessor.read_line(), "yields 0");
    // When it answers a write, then reads of the session see the write
    rig.write_elsewhere("unreported");
    rig.assert_write_is_seen(&mut rig.connect(), "unreported");
    // And it receives only messages that it knows, also after a write
    assert_eq!(predecessor.read_line(), "serving");
    std::thread::sleep(TIME_TO_ANSWER);
    rig.write(&mut rig.connect(), "own");
    rig.process(1).signal("TERM");
    assert_eq!(predecessor.read_line(), "", "no further message before the end of the link");
}

#[test]
fn after_the_link_has_broken_session_reads_see_writes_that_the_other_process_still_answers() {
    for (test, message) in [(5, None), (6, Some("current soon\n")), (7, Some("committed 1\n"))] {
        // Given a predecessor that has announced that all its writes are reported
        let rig = HandoverRig::new(test);
        let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
        wait_until_replica_serves(&rig, || predecessor.send_current());
        // When the link ends or carries an invalid message
        match message {
            Some(message) => predecessor.send(message),
            None => predecessor.close(),
        }
        rig.process(1).wait_for_log_line(&["event=session-writes-unknown"]).unwrap();
        // Then reads see a write that the predecessor answers later
        std::thread::sleep(LATE);
        rig.write_elsewhere("unreported");
        rig.assert_write_is_seen(&mut rig.connect(), "unreported");
    }
}

#[test]
fn after_the_other_process_has_finished_session_reads_use_replicas_again() {
    // Given a predecessor of which nothing was heard
    let rig = HandoverRig::new(8);
    let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
    assert!(!rig.read_is_served_by_replica("never-written"));
    // When it has finished and closes the link, then the replica serves sessions without a write
    predecessor.send("finished\n");
    predecessor.close();
    wait_until_replica_serves(&rig, || {});
}

#[test]
fn beside_a_successor_session_reads_see_the_writes_of_both() {
    // Given a process whose replica serves session reads
    let rig = HandoverRig::new(9);
    let process = rig.start_process(1);
    rig.write_elsewhere("unreported");
    assert!(rig.read_is_served_by_replica("never-written"));
    // When another process connects as its successor, then reads see a write that the successor has not reported
    let mut successor = OtherProcess::connect(&rig);
    process.wait_for_log_line(&["event=successor-connected"]).unwrap();
    rig.assert_write_is_seen(&mut rig.connect(), "unreported");
    // When the successor understands reports, then it receives those of the process
    successor.send("yields 0\n");
    assert!(successor.read_line().starts_with("missed "), "the writes before the link");
    assert!(successor.read_line().starts_with("current "));
    rig.write(&mut rig.connect(), "reported");
    let report = format!("committed {:016x} ", session_of("reported"));
    assert!(successor.read_line_without_announcements().starts_with(&report), "{report}");
    // When the successor announces that its writes are reported, then the replica serves other sessions again
    wait_until_replica_serves(&rig, || successor.send_current());
}

/// The time of the predecessor's last announcement in the test below, in Unix microseconds.
const LAST_ANNOUNCEMENT: i64 = 1_000_000;
/// The most that converting a time between two clocks may add to it, in microseconds.
const CLOCK_READING_ERROR: i64 = 50_000;

#[test]
fn a_process_between_two_others_passes_on_what_it_hears() {
    // Given a process with a predecessor and a successor
    let rig = HandoverRig::new(10);
    let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
    let mut successor = OtherProcess::connect(&rig);
    rig.process(1).wait_for_log_line(&["event=successor-connected"]).unwrap();
    successor.send("yields 0\n");
    assert!(successor.read_line().starts_with("missed "));
    // When the predecessor reports writes, then the successor receives them
    let announcement = format!("current {LAST_ANNOUNCEMENT}\n");
    predecessor.send(&(announcement + "committed 00000000000000aa 5\nmissed 7\n"));
    assert_eq!(successor.read_line_without_announcements(), "committed 00000000000000aa 5");
    assert_eq!(successor.read_line_without_announcements(), "missed 7");
    // And no announcement is later than the predecessor's last one
    for _ in 0..5 {
        let line = successor.read_line();
        let announced: i64 = line.strip_prefix("current ").unwrap().parse().unwrap();
        assert!(announced <= LAST_ANNOUNCEMENT + CLOCK_READING_ERROR, "{line}");
    }
}
