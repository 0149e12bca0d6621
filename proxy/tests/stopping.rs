//! SIGTERM under clients that keep sending, on every connection that stays open, until the process has ended.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::rig::Rig;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

const CLIENTS: usize = 8;
/// Writes that are answered before SIGTERM.
const WRITES_BEFORE_SIGTERM: usize = 200;
/// How long a write takes at the database, so that some are in flight at SIGTERM.
const WRITE_DELAY: Duration = Duration::from_millis(3);
const DEADLINE_MS: u32 = 3000;
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What the clients have seen, and whether the process has ended.
#[derive(Default)]
struct Clients {
    answered_writes: AtomicUsize,
    process_ended: AtomicBool,
}

impl Clients {
    /// Writes on one connection after another, until nobody listens or the process has ended.
    fn keep_writing(&self, address: SocketAddr) {
        while let Ok(mut client) = Client::connect(address) {
            while let Ok(reply) = client.write("file-entry", 0, DEADLINE_MS) {
                let answered = matches!(reply, Reply::Served(_));
                self.answered_writes.fetch_add(usize::from(answered), Ordering::Relaxed);
            }
            if self.process_ended.load(Ordering::Relaxed) {
                break;
            }
        }
    }
}

/// Whatever reached a database has its answer: a write that was executed while its client saw the connection end would be lost. What
/// the proxy had not read crosses with that end, and was executed nowhere.
#[test]
fn clients_that_never_stop_sending_lose_nothing_and_do_not_keep_the_process() {
    // Given a database whose writes take some time.
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stopping");
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(1, [127, 88, 220, 1], program, &folder).unwrap();
    rig.groups[0].primary.set_delay("file-entry", WRITE_DELAY);
    let mut process = rig.start(1, None, None).unwrap();
    let address = process.client_address().unwrap();
    let clients = Clients::default();

    // When SIGTERM comes while all clients write.
    let exit_code = std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| clients.keep_writing(address));
        }
        while clients.answered_writes.load(Ordering::Relaxed) < WRITES_BEFORE_SIGTERM {
            std::thread::sleep(POLL_INTERVAL);
        }
        process.signal("TERM");
        let exit_code = process.wait_for_exit();
        clients.process_ended.store(true, Ordering::Relaxed);
        exit_code
    });

    // Then it ends in order, and each write at the database has its answer.
    assert_eq!(exit_code, Some(0));
    process.wait_for_log_line(&["event=stopped open=0"]).expect("it ends before its last timer");
    let rows = &rig.groups[0].rows;
    assert_eq!(rows.duplicate_count(), 0);
    let answered = clients.answered_writes.load(Ordering::Relaxed);
    assert_eq!(rows.write_count(), answered, "each write that was executed was answered");
}
