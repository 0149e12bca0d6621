//! A group's members on sockets: each takes so many statements at once, for so long each, and answers from the group's state.

use super::state::State;
use crate::lock;
use crate::wire::message;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What a member bears.
#[derive(Clone, Debug)]
pub struct CapacityModel {
    /// Statements at once, and how long one takes.
    pub max_concurrent: usize,
    pub statement_time: Duration,
    /// It starts with this share of that, and has all of it after so long.
    pub slow_start_initial_fraction: f64,
    pub slow_start_window: Duration,
}

/// Rows of another group's log, for keys of which this says so.
pub type ParentLog = (Group, fn(&str) -> bool);

pub(super) struct Inner {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) state: Mutex<State>,
    /// Statements that each member has in hand.
    pub(super) in_flight: Mutex<Vec<usize>>,
    pub(super) changed: Condvar,
    pub(super) capacity: CapacityModel,
    pub(super) parent_log: Option<ParentLog>,
    /// Its threads end.
    stopped: AtomicBool,
}

/// A handle to a group; it ends with the process.
#[derive(Clone)]
pub struct Group(pub(super) Arc<Inner>);

impl Group {
    pub fn start(
        address: SocketAddr,
        members: usize,
        lag: i64,
        load: CapacityModel,
        source: Option<ParentLog>,
    ) -> io::Result<Group> {
        let listeners = (0..members).map(|_| TcpListener::bind(address)).collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let state = Mutex::new(State::new(members, lag));
        let busy = Mutex::new(vec![0; members]);
        let changed = Condvar::new();
        let group = Group(Arc::new(Inner {
            addresses,
            state,
            in_flight: busy,
            changed,
            capacity: load,
            parent_log: source,
            stopped: AtomicBool::new(false),
        }));
        for (n, listener) in listeners.into_iter().enumerate() {
            let own = group.clone();
            thread::spawn(move || own.accept(n, listener));
        }
        Ok(group)
    }

    pub fn address(&self, member: usize) -> SocketAddr {
        self.0.addresses[member]
    }

    pub fn members(&self) -> usize {
        self.0.addresses.len()
    }

    /// Looks at the state, or changes it.
    pub fn with_state<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let done = act(&mut lock(&self.0.state));
        self.0.changed.notify_all();
        done
    }

    /// Its threads end, and its connections with them.
    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::Relaxed);
    }

    fn is_running(&self, member: usize) -> bool {
        !self.0.stopped.load(Ordering::Relaxed) && lock(&self.0.state).members[member].running
    }

    fn started_at_ms(&self, member: usize) -> i64 {
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
                    let own = self.clone();
                    thread::spawn(move || own.serve(member, stream));
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until it does not hang. False: it died meanwhile.
    fn wait_while_hung(&self, member: usize) -> bool {
        loop {
            let state = lock(&self.0.state);
            let m = &state.members[member];
            if !m.running || !m.hung || self.0.stopped.load(Ordering::Relaxed) {
                return m.running;
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
        let born = self.started_at_ms(member);
        while self.is_running(member) && self.started_at_ms(member) == born {
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
            if !self.wait_while_hung(member) || self.started_at_ms(member) != born {
                break;
            }
            stream.write_all(&[answer, ready.clone()].concat())?;
        }
        Ok(())
    }

    /// Reads all of it, however long that takes, while the member lives.
    fn read_exactly(&self, member: usize, stream: &mut TcpStream, into: &mut [u8]) -> io::Result<()> {
        let mut at = 0;
        while at < into.len() {
            match stream.read(&mut into[at..]) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => at += n,
                Err(e)
                    if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
                        && self.is_running(member) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    fn read_body(&self, member: usize, stream: &mut TcpStream) -> io::Result<Vec<u8>> {
        let mut length = [0; 4];
        self.read_exactly(member, stream, &mut length)?;
        let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4).min(1 << 20)];
        self.read_exactly(member, stream, &mut body)?;
        Ok(body)
    }
}
