//! Graceful shutdown after SIGTERM while clients keep sending on every open connection until the process exits.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::rig::Rig;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

const CLIENTS: usize = 8;
/// The number of answered writes before SIGTERM is sent.
const WRITES_BEFORE_SIGTERM: usize = 200;
/// The execution time of a write at the database, so that some writes are in flight when SIGTERM arrives.
const WRITE_DELAY: Duration = Duration::from_millis(3);
const DEADLINE_MS: u32 = 3000;
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// State that the client threads share with the test.
#[derive(Default)]
struct Clients {
    answered_writes: AtomicUsize,
    process_exited: AtomicBool,
}

impl Clients {
    /// Sends writes and reconnects when a connection ends, until the connect fails or the process has exited.
    fn keep_writing(&self, address: SocketAddr) {
        while let Ok(mut client) = Client::connect(address) {
            while let Ok(reply) = client.write("file-entry", 0, DEADLINE_MS) {
                let answered = matches!(reply, Reply::Served(_));
                self.answered_writes.fetch_add(usize::from(answered), Ordering::Relaxed);
            }
            if self.process_exited.load(Ordering::Relaxed) {
                break;
            }
        }
    }
}

/// Every write that reached a database must be answered: if the client saw only the end of the connection, it could not know that the
/// write was executed. Input that the proxy has not read when it closes a connection is executed nowhere.
#[test]
fn a_shutdown_under_continuous_writes_completes_and_answers_every_executed_write() {
    // Given a database with slow writes.
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stopping");
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(1, [127, 88, 220, 1], program, &folder).unwrap();
    rig.groups[0].primary.set_delay("file-entry", WRITE_DELAY);
    let mut process = rig.start(1, None, None).unwrap();
    let address = process.client_address().unwrap();
    let clients = Clients::default();

    // When the process receives SIGTERM while all clients write.
    let exit_code = std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| clients.keep_writing(address));
        }
        while clients.answered_writes.load(Ordering::Relaxed) < WRITES_BEFORE_SIGTERM {
            std::thread::sleep(POLL_INTERVAL);
        }
        process.signal("TERM");
        let exit_code = process.wait_for_exit();
        clients.process_exited.store(true, Ordering::Relaxed);
        exit_code
    });

    // Then the process exits without an error, and each executed write was answered.
    assert_eq!(exit_code, Some(0));
    process
        .wait_for_log_line(&["event=stopped open=0"])
        .expect("the process stops before its last timer expires");
    let rows = &rig.groups[0].rows;
    assert_eq!(rows.duplicate_count(), 0);
    let answered = clients.answered_writes.load(Ordering::Relaxed);
    assert_eq!(rows.write_count(), answered, "number of executed writes and of answered writes");
}
