//! An id that is in use at one process of a proxy, and comes again at the other one.

use super::rig::{HandoverRig, OtherProcess, unix_micros};
use birchreach_test_support::client::{Client, Reply};
use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// How long the primary takes for a write that is repeated meanwhile.
const WRITE_DELAY: Duration = Duration::from_millis(1300);
/// How long the repeats go on once the new process serves.
const AFTER_START: Duration = Duration::from_millis(400);
const BETWEEN_REPEATS: Duration = Duration::from_micros(300);
/// By then a process has handled a message, and a process that reads has read what was sent before.
const BETWEEN_ANSWERS: Duration = Duration::from_millis(200);

impl OtherProcess {
    /// Reads what arrives until nothing has for this long.
    fn read_available(&mut self, silence: Duration) {
        self.stream.set_read_timeout(Some(silence)).unwrap();
        while self.stream.read(&mut [0; 256]).is_ok_and(|count| count > 0) {}
    }
}

impl HandoverRig {
    /// Makes the primary take this long for each write.
    fn delay_writes(&self, delay: Duration) {
        self.rig.groups[0].primary.set_delay("entry", delay);
    }

    /// Number of writes that ran, and of those that ran more than once.
    pub(crate) fn write_counts(&self) -> (usize, usize) {
        let rows = &self.rig.groups[0].rows;
        (rows.write_count(), rows.duplicate_count())
    }
}

pub(crate) fn write(id: u32) -> String {
    format!(
        "INSERT INTO rows (handle, blob) VALUES ('k', '\\x02') RETURNING blob /* id={id:016x},c=entry,d=20000,cluster=0 */"
    )
}

/// Starts a process whose predecessor, a stand-in, understands grants and has reported what it knows.
pub(crate) fn start_beside_predecessor(rig: &HandoverRig) -> OtherProcess {
    let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
    predecessor.send("yields 2\n");
    predecessor.send_current();
    predecessor
}

/// Reads up to the question for a write, and returns the hash of its id.
pub(crate) fn read_question(predecessor: &mut OtherProcess) -> String {
    loop {
        let line = predecessor.read_line();
        if let Some(question) = line.strip_prefix("begin ") {
            return question.split(' ').next().unwrap().to_string();
        }
    }
}

/// Reads up to an answer to such a question.
pub(crate) fn read_decision(successor: &mut OtherProcess) -> String {
    loop {
        let line = successor.read_line();
        if line.starts_with("granted ") || line.starts_with("taken ") {
            return line;
        }
    }
}

/// A new process began a write with an id that was open at the old one, of which it had not been told yet.
#[test]
fn a_write_begins_at_the_newer_process_only_if_the_older_one_grants_it() {
    // Given a predecessor that says nothing of its open requests
    let rig = HandoverRig::new(21);
    let mut predecessor = start_beside_predecessor(&rig);
    let mut client = rig.connect();
    // When it says of a write that it may run already, then the client gets an error, and the write does not run
    client.send_statement(&write(1)).unwrap();
    let id = read_question(&mut predecessor);
    predecessor.send(&format!("taken {id}\n"));
    assert_eq!(client.read_reply().unwrap(), Reply::Error("22023".into()));
    assert_eq!(rig.write_counts(), (0, 0));
    // When it grants a write, then the write runs
    client.send_statement(&write(2)).unwrap();
    let id = read_question(&mut predecessor);
    predecessor.send(&format!("granted {id}\n"));
    assert!(matches!(client.read_reply().unwrap(), Reply::Served(_)));
    assert_eq!(rig.write_counts(), (1, 0));
}

/// While the older process does not answer, nothing is known of its open requests, and a refused write may be sent again.
#[test]
fn a_write_is_rejected_while_the_older_process_does_not_answer_and_after_it_ended_without_a_word() {
    let rig = HandoverRig::new(22);
    let mut predecessor = start_beside_predecessor(&rig);
    let mut client = rig.connect();
    // When the predecessor does not answer
    client.send_statement(&write(1)).unwrap();
    assert_eq!(client.read_reply().unwrap(), Reply::Error("53300".into()));
    // When it ends
    client.send_statement(&write(2)).unwrap();
    read_question(&mut predecessor);
    predecessor.close();
    assert_eq!(client.read_reply().unwrap(), Reply::Error("53300".into()));
    assert_eq!(rig.write_counts(), (0, 0));
}

/// A process that stood still for the first second of its successor was taken for one of an earlier version, whose ids are not known.
#[test]
fn a_write_is_rejected_while_the_older_process_has_not_read_its_first_message() {
    // Given a predecessor that reads nothing
    let rig = HandoverRig::new(26);
    let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
    let mut client = rig.connect();
    // When a client writes, then nothing begins
    assert_eq!(client.run_statement(&write(1)).unwrap(), Reply::Error("53300".into()));
    // When the predecessor goes on, and grants the next write, then that runs
    assert_eq!(predecessor.read_line(), "yields 2");
    predecessor.send("yields 2\n");
    predecessor.send_current();
    thread::sleep(BETWEEN_ANSWERS);
    client.send_statement(&write(2)).unwrap();
    let id = read_question(&mut predecessor);
    predecessor.send(&format!("granted {id}\n"));
    assert!(matches!(client.read_reply().unwrap(), Reply::Served(_)));
    assert_eq!(rig.write_counts(), (1, 0));
}

/// What a process had begun that was killed while it stood still is not known.
#[test]
fn a_write_is_rejected_after_the_older_process_ended_without_having_read_its_first_message() {
    let rig = HandoverRig::new(27);
    let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
    predecessor.close();
    let mut client = rig.connect();
    assert_eq!(client.run_statement(&write(1)).unwrap(), Reply::Error("53300".into()));
    assert_eq!(rig.write_counts(), (0, 0));
}

/// A process of an earlier version reads the first messages, and says nothing.
#[test]
fn a_write_begins_beside_a_silent_process_that_has_read_the_first_messages() {
    let rig = HandoverRig::new(28);
    let mut predecessor = rig.start_as_predecessor(|| rig.start_process(1));
    predecessor.read_available(BETWEEN_ANSWERS);
    let mut client = rig.connect();
    assert!(matches!(client.run_statement(&write(1)).unwrap(), Reply::Served(_)));
    assert_eq!(rig.write_counts(), (1, 0));
}

/// Once the older process has told of its open requests, the newer one goes on without it.
#[test]
fn a_write_that_waits_begins_when_the_older_process_ends_after_it_told_of_its_requests() {
    let rig = HandoverRig::new(23);
    let mut predecessor = start_beside_predecessor(&rig);
    let mut client = rig.connect();
    client.send_statement(&write(1)).unwrap();
    let taken = read_question(&mut predecessor);
    predecessor.send(&format!("yields 1\nbegun {taken} {}\n", unix_micros() + 9_000_000));
    predecessor.send_current();
    assert_eq!(client.read_reply().unwrap(), Reply::Error("53300".into()));
    // When it ends while two writes wait, then the one that it has told of is rejected, and the other one runs
    client.send_statement(&write(2)).unwrap();
    read_question(&mut predecessor);
    predecessor.close();
    assert!(matches!(client.read_reply().unwrap(), Reply::Served(_)));
    client.send_statement(&write(1)).unwrap();
    assert_eq!(client.read_reply().unwrap(), Reply::Error("22023".into()));
    assert_eq!(rig.write_counts(), (1, 0));
}

/// The older process decides for both, so that one of two writes with the same id runs, whichever process it is sent to.
#[test]
fn the_older_process_grants_an_id_once() {
    let rig = HandoverRig::new(24);
    let _process = rig.start_process(1);
    rig.delay_writes(WRITE_DELAY);
    let mut client = rig.connect();
    let mut successor = OtherProcess::connect(&rig);
    successor.send("yields 2\nyields 0\n");
    assert_eq!(successor.read_line_without_announcements(), "yields 2");
    // When the successor asks for an id that nobody uses, then it is granted, once, and not begun here any more
    let until = unix_micros() + 9_000_000;
    successor.send(&format!("begin {:016x} {until}\n", id_hash(7)));
    assert_eq!(read_decision(&mut successor), format!("granted {:016x}", id_hash(7)));
    successor.send(&format!("begin {:016x} {until}\n", id_hash(7)));
    assert_eq!(read_decision(&mut successor), format!("taken {:016x}", id_hash(7)));
    assert_eq!(client.run_statement(&write(7)).unwrap(), Reply::Error("22023".into()));
    // When it asks for the id of an open request, then that is taken
    client.send_statement(&write(8)).unwrap();
    thread::sleep(WRITE_DELAY / 4);
    successor.send(&format!("begin {:016x} {until}\n", id_hash(8)));
    assert_eq!(read_decision(&mut successor), format!("taken {:016x}", id_hash(8)));
    assert!(matches!(client.read_reply().unwrap(), Reply::Served(_)));
}

/// The hash of the id that [`write`] gives a statement.
pub(crate) fn id_hash(id: u32) -> u64 {
    super::session_of(&format!("{id:016x}"))
}

/// A client repeats the id of another client's open write from before a replacement until after it.
#[test]
fn an_open_write_that_is_repeated_through_a_replacement_runs_once() {
    let rig = HandoverRig::new(25);
    let _old = rig.start_process(1);
    rig.delay_writes(WRITE_DELAY);
    let mut client = rig.connect();
    client.send_statement(&write(1)).unwrap();
    let (address, is_over) = (rig.address(), AtomicBool::new(false));
    let is_over = &is_over;
    thread::scope(|scope| {
        scope.spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let other = Client::connect(address);
                let reply = other.and_then(|mut other| other.run_statement(&write(1)));
                if matches!(reply, Ok(Reply::Served(_))) {
                    break;
                }
                thread::sleep(BETWEEN_REPEATS);
            }
        });
        let _new = rig.start_process(2);
        thread::sleep(AFTER_START);
        is_over.store(true, Ordering::Relaxed);
    });
    assert!(matches!(client.read_reply().unwrap(), Reply::Served(_)));
    assert_eq!(rig.write_counts(), (1, 0));
}
