//! Roles of servers while one process of a proxy replaces another: what servers have confirmed to one process is known to the other.

use crate::rig::{HandoverRig, OtherProcess, unix_micros};

/// The uids of the databases in the endpoint list.
const LISTED_PRIMARY: &str = "s-0p";
const LISTED_REPLICA: &str = "s-0r";

/// A former primary answered session reads of the new process, which did not know what the old one had been told.
#[test]
fn a_new_process_does_not_read_from_a_server_that_was_deposed_before_it_started() {
    // Given a failover of which the old process knows, and not the endpoint list
    let rig = HandoverRig::new(12);
    let old = rig.start_process(1);
    rig.fail_over();
    rig.write(&mut rig.connect(), "after-failover");
    // When a new process starts, and the old one has told it what it knows
    let new = rig.start_process(2);
    new.wait_for_log_line(&["event=predecessor-reported"]).unwrap();
    // Then reads through the new process see a write of after the failover
    for _ in 0..10 {
        rig.assert_write_is_seen(&mut rig.connect_while_stopped(&old), "after-failover");
    }
}

#[test]
fn roles_are_reported_to_a_successor_when_it_connects_and_when_they_change() {
    // Given a process that knows of a failover
    let rig = HandoverRig::new(13);
    let process = rig.start_process(1);
    rig.fail_over();
    rig.write(&mut rig.connect(), "after-failover");
    // When a successor understands reports, then it is told the roles that differ from the list
    let mut successor = OtherProcess::connect(&rig);
    process.wait_for_log_line(&["event=successor-connected"]).unwrap();
    successor.send("yields 0\n");
    let mut roles = [successor.read_line(), successor.read_line()];
    roles.sort();
    assert!(roles[0].starts_with("primary ") && roles[0].ends_with(LISTED_REPLICA), "{roles:?}");
    assert!(roles[1].starts_with("replica ") && roles[1].ends_with(LISTED_PRIMARY), "{roles:?}");
    assert!(successor.read_line().starts_with("missed "));
    // When the roles change back and the process is told so, then the successor is told too
    rig.fail_back();
    rig.write(&mut rig.connect(), "after-failback");
    let mut lines = Vec::new();
    while !lines.iter().any(|line: &String| line.starts_with("committed ")) {
        lines.push(successor.read_line_without_announcements());
    }
    lines.push(successor.read_line_without_announcements());
    let is_told =
        |role: &str, uid: &str| lines.iter().any(|line| line.starts_with(role) && line.ends_with(uid));
    assert!(is_told("replica ", LISTED_REPLICA) && is_told("primary ", LISTED_PRIMARY), "{lines:?}");
}

#[test]
fn a_role_that_the_predecessor_reports_is_known_at_once() {
    // Given a process that takes the listed primary for the primary
    let rig = HandoverRig::new(14);
    let unlinked = rig.start_unlinked_process();
    let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
    rig.fail_over();
    rig.write_through(&unlinked, "after-failover");
    // When the predecessor reports the roles, and the process has read the report
    let now = unix_micros();
    let roles = format!("replica {now} {LISTED_PRIMARY}\nprimary {now} {LISTED_REPLICA}\n");
    predecessor.send(&format!("replica {now} unknown-server\n{roles}missed {now}\ncurrent {now}\n"));
    while !predecessor.read_line().starts_with("current ") {}
    // Then reads see a write of after the failover
    rig.assert_write_is_seen(&mut rig.connect(), "after-failover");
}
