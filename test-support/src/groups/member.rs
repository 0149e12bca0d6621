//! The members of a group, on sockets. Each executes a limited number of statements at once and answers from the group's
//! state.

use super::state::{Member, State};
use crate::lock;
use crate::wire::message;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// How often a blocked thread looks whether its member still runs.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Bound on the body of one message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Lowest speed, so that no statement takes forever.
const MIN_SPEED: f64 = 0.01;

/// What a member can do.
#[derive(Clone, Debug)]
pub struct CapacityModel {
    /// Statements that it executes at once; others wait.
    pub max_concurrent: usize,
    /// How long a statement takes at full speed.
    pub statement_time: Duration,
    /// Its speed right after a start, as a fraction of full speed.
    pub slow_start_initial_fraction: f64,
    /// How long it takes to reach full speed, in a straight line.
    pub slow_start_window: Duration,
}

impl CapacityModel {
    /// The fraction of full speed that a member has at this age.
    pub(super) fn speed(&self, age_ms: i64) -> f64 {
        let window_ms = self.slow_start_window.as_millis().max(1) as f64;
        let progress = (age_ms as f64 / window_ms).clamp(0.0, 1.0);
        let initial = self.slow_start_initial_fraction;
        (initial + (1.0 - initial) * progress).max(MIN_SPEED)
    }
}

/// The log that a child of a split follows.
pub struct ParentLog {
    /// The group that splits.
    pub group: Group,
    /// Whether the child takes over a key.
    pub owns_key: fn(&str) -> bool,
}

pub(super) struct Inner {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) state: Mutex<State>,
    /// Statements that each member executes now.
    pub(super) in_flight: Mutex<Vec<usize>>,
    pub(super) changed: Condvar,
    pub(super) capacity: CapacityModel,
    pub(super) parent_log: Option<ParentLog>,
    /// Set when the members' threads have to end.
    stopped: AtomicBool,
}

/// A handle to a running group; it ends with the process or with [`Group::stop`].
#[derive(Clone)]
pub struct Group(pub(super) Arc<Inner>);

impl Group {
    /// Starts a group whose first member is the primary; port 0 takes free ports. `lag_ms`: how late replicas apply the log.
    pub fn start(
        address: SocketAddr,
        member_count: usize,
        lag_ms: i64,
        capacity: CapacityModel,
        parent_log: Option<ParentLog>,
    ) -> io::Result<Group> {
        let listeners =
            (0..member_count).map(|_| TcpListener::bind(address)).collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let group = Group(Arc::new(Inner {
            addresses,
            state: Mutex::new(State::new(member_count, lag_ms)),
            in_flight: Mutex::new(vec![0; member_count]),
            changed: Condvar::new(),
            capacity,
            parent_log,
            stopped: AtomicBool::new(false),
        }));
        for (member, listener) in listeners.into_iter().enumerate() {
            let server = group.clone();
            thread::spawn(move || server.accept(member, listener));
        }
        Ok(group)
    }

    /// Where a member listens.
    pub fn address(&self, member: usize) -> SocketAddr {
        self.0.addresses[member]
    }

    /// How many members the group has.
    pub fn members(&self) -> usize {
        self.0.addresses.len()
    }

    /// Reads or changes the group's state.
    pub fn with_state<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let result = act(&mut lock(&self.0.state));
        self.0.changed.notify_all();
        result
    }

    /// Ends the members' threads, and their connections with them.
    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::Relaxed);
    }

    fn is_running(&self, member: usize) -> bool {
        !self.0.stopped.load(Ordering::Relaxed) && lock(&self.0.state).members[member].running
    }

    /// When a member's process started, in milliseconds of Unix time; 0 if that was before the test.
    pub(super) fn started_at_ms(&self, member: usize) -> i64 {
        lock(&self.0.state).members[member].started_at_ms
    }

    fn accept(&self, member: usize, first: TcpListener) {
        let mut listener = Some(first);
        while !self.0.stopped.load(Ordering::Relaxed) {
            if !self.is_running(member) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.0.addresses[member]).ok();
            }
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
                while let Ok((stream, _)) = listener.accept() {
                    let server = self.clone();
                    thread::spawn(move || server.serve(member, stream));
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the member does not hang; false if it does not run.
    fn wait_while_hung(&self, member: usize) -> bool {
        loop {
            let state = lock(&self.0.state);
            let Member { running, hung, .. } = state.members[member];
            if !running || !hung || self.0.stopped.load(Ordering::Relaxed) {
                return running;
            }
            drop(state);
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn serve(&self, member: usize, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
        self.read_body(member, &mut stream)?;
        let ready = message(b'Z', b"I");
        if self.wait_while_hung(member) {
            stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())?;
        }
        let started_at_ms = self.started_at_ms(member);
        while self.is_running(member) && self.started_at_ms(member) == started_at_ms {
            let mut tag = [0];
            self.read_exactly(member, &mut stream, &mut tag)?;
            let body = self.read_body(member, &mut stream)?;
            if tag[0] != b'Q' {
                return Ok(());
            }
            let query = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
            if !self.wait_while_hung(member) {
                break;
            }
            let answer = self.answer_statement(member, &query);
            if !self.wait_while_hung(member) || self.started_at_ms(member) != started_at_ms {
                break;
            }
            stream.write_all(&[answer, ready.clone()].concat())?;
        }
        Ok(())
    }

    /// Fills the buffer, however long that takes, while the member runs.
    fn read_exactly(&self, member: usize, stream: &mut TcpStream, buffer: &mut [u8]) -> io::Result<()> {
        let mut filled = 0;
        while filled < buffer.len() {
            match stream.read(&mut buffer[filled..]) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(length) => filled += length,
                Err(e)
                    if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
                        && self.is_running(member) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Reads a message from its length on and returns the body.
    fn read_body(&self, member: usize, stream: &mut TcpStream) -> io::Result<Vec<u8>> {
        let mut length = [0; 4];
        self.read_exactly(member, stream, &mut length)?;
        let mut body =
            vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4).min(MAX_MESSAGE_BYTES)];
        self.read_exactly(member, stream, &mut body)?;
        Ok(body)
    }
}
