//! A group of databases, the processes of one proxy in front of it, and a stand-in for another process of the proxy.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::rig::{ExternalDiscovery, Rig};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const DEADLINE_MS: u32 = 20_000;
/// The value of each row that is written.
const VALUE_HEX: &str = "02";
/// The number of a process that is not linked to the others, because it does not share their listener.
const UNLINKED_PROCESS: u64 = 9;

/// Settings under which the proxy remembers the writes of sessions. There are no health checks, so that the replica receives only
/// the reads that it serves.
const SETTINGS: &str = r#"{"balancers": 1, "my_zone": 0, "dcs": ["a"], "classes": [
   {"name": "own", "credit": 1.0, "deadline_ms": 20000.0, "goal_time_ms": 20000.0, "idempotency": "free", "late_worth": 0.5},
   {"name": "entry", "credit": 6.0, "deadline_ms": 20000.0, "goal_time_ms": 20000.0, "idempotency": "single_shot", "late_worth": 0.5}],
  "extra": {"class_read": ["session", "write"], "max_age_ms": [0.0, 0.0], "guards": "silent", "tokens": "remembered", "tells_position": true},
  "limits": {"attempts_cap": 6, "may_cancel": true, "may_probe": false, "parallel_tries": false, "conn_idle_ms": 30000.0, "connect_timeout_ms": 20000.0},
  "load_info": {"names": ["x0", "x1"], "via": "silent"},
  "obligations": {"cold_ms": 18000.0, "cold_share": 0.15, "drain_grace_ms": 2000.0, "fall_ms": 1500.0, "fall_multiple": 3.0}}"#;

/// The 64-bit FNV-1a hash.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// The id of the session that writes this key.
pub(crate) fn session_of(key: &str) -> u64 {
    fnv1a(key.as_bytes())
}

/// The system's time in Unix microseconds.
pub(crate) fn unix_micros() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as i64
}

/// A primary, a replica that has stopped to apply commits, and the processes of a proxy that share a listener.
pub(crate) struct HandoverRig {
    pub(crate) rig: Rig,
    folder: PathBuf,
    listener: TcpListener,
    processes: RefCell<HashMap<u64, Rc<Process>>>,
}

impl HandoverRig {
    /// Starts the databases. `test` selects the loopback network and the folder, which no other test uses.
    pub(crate) fn new(test: u8) -> HandoverRig {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("handover-{test}"));
        let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
        let mut rig = Rig::new(1, [127, 84, test, 1], program, &folder).unwrap();
        let settings = SETTINGS.to_string();
        rig.external_discovery = Some(ExternalDiscovery { address: rig.discovery.address(), settings });
        rig.groups[0].replica.pause_replication();
        let listener = TcpListener::bind((rig.loopback_address(), 0)).unwrap();
        HandoverRig { rig, folder, listener, processes: RefCell::default() }
    }

    /// Starts a process of the proxy and waits until it has the endpoint list.
    fn start(&self, number: u64, listener: Option<&TcpListener>) -> Process {
        let process = self.rig.start(number, None, listener).unwrap();
        process.wait_for_log_line(&["event=endpoint-list", "lines=2"]).unwrap();
        process
    }

    /// Starts a process that shares the listener.
    pub(crate) fn start_process(&self, number: u64) -> Process {
        self.start(number, Some(&self.listener))
    }

    /// Starts a process that finds a stand-in as its predecessor.
    pub(crate) fn start_as_predecessor(&self, start: impl FnOnce() -> Process) -> OtherProcess {
        std::fs::create_dir_all(self.folder.join("tmp")).unwrap();
        let listener = UnixListener::bind(self.handover_path()).unwrap();
        let process = start();
        self.processes.borrow_mut().insert(1, Rc::new(process));
        OtherProcess::new(listener.accept().unwrap().0)
    }

    /// The process that [`HandoverRig::start_as_predecessor`] has started.
    pub(crate) fn process(&self, number: u64) -> Rc<Process> {
        self.processes.borrow()[&number].clone()
    }

    /// The path of the socket at which the processes of the proxy connect.
    fn handover_path(&self) -> PathBuf {
        let address = self.address().to_string();
        self.folder.join("tmp").join(format!("birchreach-{:016x}.sock", fnv1a(address.as_bytes())))
    }

    /// The address that all processes of the proxy share.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Connects a client to a process of the proxy.
    pub(crate) fn connect(&self) -> Client {
        Client::connect(self.address()).unwrap()
    }

    /// Begins to connect a client, whose input the process does not read before it is continued, and waits until the process has
    /// stopped itself at the input. The rig must have been told to stop its processes there.
    pub(crate) fn connect_and_wait_until_stopped(&self, process: &Process) -> Client {
        let client = Client::start_connecting(self.address()).unwrap();
        wait_until_stopped(process);
        client
    }

    /// Makes each process that is started from now on stop itself when the first input of a client has arrived.
    pub(crate) fn stop_processes_at_client_input(&mut self) {
        self.rig.stop_at = Some("client");
    }

    /// Connects a client to another process than this one, which is stopped meanwhile and so cannot accept it.
    pub(crate) fn connect_while_stopped(&self, process: &Process) -> Client {
        process.signal("STOP");
        wait_until_stopped(process);
        let client = self.connect();
        process.signal("CONT");
        client
    }

    /// Writes the row of a session.
    pub(crate) fn write(&self, client: &mut Client, session: &str) {
        let reply = client.write_key("entry", 0, session, VALUE_HEX, DEADLINE_MS).unwrap();
        assert_eq!(reply, written_value(), "the write of {session}");
    }

    /// Writes the row of a session through a process that is not linked to the others. It stands for a write that another process
    /// of the proxy has answered.
    pub(crate) fn write_elsewhere(&self, session: &str) {
        let process = self.start_unlinked_process();
        self.write_through(&process, session);
    }

    /// Starts a process that is not linked to the others.
    pub(crate) fn start_unlinked_process(&self) -> Process {
        self.start(UNLINKED_PROCESS, None)
    }

    /// Writes the row of a session through this process.
    pub(crate) fn write_through(&self, process: &Process, session: &str) {
        let mut client = Client::connect(process.client_address().unwrap()).unwrap();
        self.write(&mut client, session);
    }

    /// Makes the replica the primary, without a change of the endpoint list. The former primary applies no further commits.
    pub(crate) fn fail_over(&self) {
        self.rig.fail_over(0, false);
        self.rig.groups[0].primary.pause_replication();
    }

    /// Makes the former primary the primary again. The other server applies no further commits.
    pub(crate) fn fail_back(&self) {
        self.rig.restore(0);
    }

    /// Reads the row of a session, and checks that the read sees the write of the session.
    pub(crate) fn assert_write_is_seen(&self, client: &mut Client, session: &str) {
        let reply = client.read_key("own", 0, session, DEADLINE_MS, None).unwrap();
        assert_eq!(reply, written_value(), "the read of {session}");
    }

    /// Reads the row of a session, and returns whether the replica served the read.
    pub(crate) fn read_is_served_by_replica(&self, session: &str) -> bool {
        let replica = &self.rig.groups[0].replica;
        let count_before = replica.statement_count();
        let reply = self.connect().read_key("own", 0, session, DEADLINE_MS, None).unwrap();
        assert!(matches!(reply, Reply::Served(_)), "{reply:?}");
        replica.statement_count() > count_before
    }
}

/// Waits until a process is in the stopped state, `T` in `/proc`.
fn wait_until_stopped(process: &Process) {
    let stat_path = format!("/proc/{}/stat", process.pid());
    let start = Instant::now();
    while !std::fs::read_to_string(&stat_path).unwrap().contains(") T ") {
        assert!(start.elapsed() < MAX_WAIT, "the process has not stopped");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The reply to a write, and to a read that sees it.
pub(crate) fn written_value() -> Reply {
    Reply::Served(format!("\\x{VALUE_HEX}").into_bytes())
}

/// A stand-in for another process of the proxy, on the link to a real one.
pub(crate) struct OtherProcess {
    pub(crate) stream: UnixStream,
    reader: BufReader<UnixStream>,
}

impl OtherProcess {
    fn new(stream: UnixStream) -> OtherProcess {
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        OtherProcess { stream, reader }
    }

    /// Connects to the process of the rig as its successor.
    pub(crate) fn connect(rig: &HandoverRig) -> OtherProcess {
        OtherProcess::new(UnixStream::connect(rig.handover_path()).unwrap())
    }

    /// Sends bytes. Ignores that the process may have closed the link.
    pub(crate) fn send(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Announces that all writes until now are reported.
    pub(crate) fn send_current(&mut self) {
        self.send(&format!("current {}\n", unix_micros()));
    }

    /// Closes the link.
    pub(crate) fn close(&mut self) {
        self.stream.shutdown(std::net::Shutdown::Both).unwrap();
    }

    /// Reads the next line, without its line break.
    pub(crate) fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }

    /// Reads the next line that is not an announcement.
    pub(crate) fn read_line_without_announcements(&mut self) -> String {
        loop {
            let line = self.read_line();
            if !line.starts_with("current ") {
                return line;
            }
        }
    }
}
