//! Three processes of a proxy, each of which has replaced the one before.

use super::grants::{id_hash, read_decision, read_question, start_beside_predecessor, write};
use super::rig::{HandoverRig, OtherProcess, unix_micros};
use birchreach_test_support::client::Reply;

/// The newest process began a write that was open at the oldest one.
#[test]
fn a_process_between_two_others_asks_the_older_one_for_the_newer_one() {
    // Given a process between two stand-ins
    let rig = HandoverRig::new(31);
    let mut predecessor = start_beside_predecessor(&rig);
    let mut client = rig.connect();
    let mut successor = OtherProcess::connect(&rig);
    successor.send("yields 2\nyields 0\n");
    // When the newest one asks for a write, then the answer of the oldest one is passed on to it
    let until = unix_micros() + 9_000_000;
    for decision in ["taken", "granted"] {
        let id = format!("{:016x}", id_hash(decision.len() as u32));
        successor.send(&format!("begin {id} {until}\n"));
        assert_eq!(read_question(&mut predecessor), id);
        predecessor.send(&format!("{decision} {id}\n"));
        assert_eq!(read_decision(&mut successor), format!("{decision} {id}"));
    }
    // And a write that was granted to the newest one does not begin in between
    let reply = client.run_statement(&write("granted".len() as u32)).unwrap();
    assert_eq!(reply, Reply::Error("22023".into()));
    assert_eq!(rig.write_counts(), (0, 0));
}

/// When the process in between ended, the oldest one took the newest one's place at the socket, and the next process knew of neither.
#[test]
fn the_next_process_finds_the_newest_one_after_the_one_in_between_has_ended() {
    // Given three processes, of which the second one ends
    let rig = HandoverRig::new(32);
    let oldest = rig.start_process(1);
    let between = rig.start_process(2);
    let newest = rig.start_process(3);
    between.wait_for_log_line(&["event=successor-connected"]).unwrap();
    between.signal("TERM");
    oldest.wait_for_log_line(&["event=successor-disconnected"]).unwrap();
    // When a fourth one starts, then it replaces the third one
    let _next = rig.start_process(4);
    newest.wait_for_log_line(&["event=successor-connected"]).unwrap();
}

/// A process whose successor has failed is found by the next one.
#[test]
fn the_next_process_finds_the_oldest_one_after_its_successor_was_killed() {
    let rig = HandoverRig::new(33);
    let oldest = rig.start_process(1);
    let failed = rig.start_process(2);
    oldest.wait_for_log_line(&["event=successor-connected"]).unwrap();
    failed.signal("KILL");
    oldest.wait_for_log_line(&["event=successor-disconnected"]).unwrap();
    std::thread::sleep(super::TIME_TO_ANSWER);
    let _next = rig.start_process(3);
    oldest.wait_for_log_line(&["event=successor-connected"]).unwrap();
}
