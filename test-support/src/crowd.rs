//! Many clients at once that keep the proxy's memory busy: they stop in the middle of a request, write or read slowly, or
//! read nothing. One thread drives all of them.

use crate::lock;
use crate::wire::{QUERY, message, startup_message};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Pause between two rounds over all clients.
const ROUND_INTERVAL: Duration = Duration::from_millis(4);
/// How many clients connect in one round at most, so that the listener's backlog never overflows.
const CONNECTS_PER_ROUND: usize = 32;
/// How many bytes a client that reads without a limit reads in one round.
const READ_BYTES: usize = 64 << 10;

/// Bytes that are moved at a steady rate.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The bytes that are moved at once.
    pub bytes: usize,
    /// The pause between two moves.
    pub interval: Duration,
}

/// How the clients of a crowd behave. A client whose connection ends connects again.
#[derive(Clone)]
pub struct CrowdBehavior {
    /// The number of clients.
    pub clients: usize,
    /// The statement of each client's requests, by the number of the request. Ids have to differ.
    pub statement: fn(u64) -> String,
    /// How many requests a client writes behind one another before it waits for answers.
    pub pipelined_requests: usize,
    /// The bytes at the end of the last request that a client does not write.
    pub withheld_bytes: usize,
    /// The pace at which a client writes; `None` writes as fast as the socket takes it.
    pub write_pace: Option<Pace>,
    /// The pace at which a client reads; `None` reads everything that has arrived. A pace of zero bytes reads nothing.
    pub read_pace: Option<Pace>,
}

/// The number of the next request of all crowds of a test process.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// A running crowd. Dropping the handle ends its clients.
pub struct Crowd {
    stopped: Arc<AtomicBool>,
    counts: Arc<Mutex<CrowdCounts>>,
    thread: Option<JoinHandle<()>>,
}

/// What became of a crowd's clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrowdCounts {
    /// Connections that were opened.
    pub connections: u64,
    /// Connections that the proxy ended.
    pub ended: u64,
    /// Bytes that the clients read.
    pub bytes_read: u64,
}

impl Crowd {
    /// Starts a crowd of clients of the proxy at this address.
    pub fn start(address: SocketAddr, behavior: CrowdBehavior) -> Crowd {
        let (stopped, counts) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let run = CrowdRun { address, behavior, counts: Arc::clone(&counts) };
        let stop = stopped.clone();
        let thread = Some(thread::spawn(move || run.drive(&stop)));
        Crowd { stopped, counts, thread }
    }

    /// What became of the clients so far.
    pub fn counts(&self) -> CrowdCounts {
        *lock(&self.counts)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct CrowdRun {
    address: SocketAddr,
    behavior: CrowdBehavior,
    counts: Arc<Mutex<CrowdCounts>>,
}

impl CrowdRun {
    /// Keeps all clients connected and lets each write and read, until the crowd is stopped.
    fn drive(&self, stopped: &AtomicBool) {
        let mut members: Vec<Option<Member>> = Vec::new();
        members.resize_with(self.behavior.clients, || None);
        let mut buffer = vec![0; READ_BYTES];
        while !stopped.load(Ordering::Relaxed) {
            let vacant = members.iter_mut().filter(|member| member.is_none());
            for member in vacant.take(CONNECTS_PER_ROUND) {
                *member = Member::connect(self.address, &self.behavior);
                lock(&self.counts).connections += u64::from(member.is_some());
            }
            for member in &mut members {
                let ended = member.as_mut().is_some_and(|member| !member.advance(&mut buffer, &self.counts));
                if ended {
                    *member = None;
                    lock(&self.counts).ended += 1;
                }
            }
            thread::sleep(ROUND_INTERVAL);
        }
    }
}

/// One client of a crowd.
struct Member {
    stream: TcpStream,
    output: Vec<u8>,
    written: usize,
    write_pace: Option<Pace>,
    read_pace: Option<Pace>,
    next_write: Instant,
    next_read: Instant,
}

impl Member {
    /// Connects, and prepares everything that the client will write. `None` if the proxy refuses the connection.
    fn connect(address: SocketAddr, behavior: &CrowdBehavior) -> Option<Member> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nonblocking(true).ok()?;
        let mut output = startup_message();
        for _ in 0..behavior.pipelined_requests {
            let text = (behavior.statement)(NEXT_REQUEST.fetch_add(1, Ordering::Relaxed));
            output.extend(message(QUERY, &[text.as_bytes(), b"\0"].concat()));
        }
        output.truncate(output.len() - behavior.withheld_bytes);
        let now = Instant::now();
        let (write_pace, read_pace) = (behavior.write_pace, behavior.read_pace);
        Some(Member { stream, output, written: 0, write_pace, read_pace, next_write: now, next_read: now })
    }

    /// Writes and reads what is due. Returns false once the connection has ended.
    fn advance(&mut self, buffer: &mut [u8], counts: &Mutex<CrowdCounts>) -> bool {
        let now = Instant::now();
        if self.written < self.output.len() && now >= self.next_write {
            let piece = self.write_pace.map_or(self.output.len(), |pace| pace.bytes);
            let end = self.output.len().min(self.written + piece);
            match self.stream.write(&self.output[self.written..end]) {
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
            self.next_write = now + self.write_pace.map_or(Duration::ZERO, |pace| pace.interval);
        }
        if now < self.next_read {
            return true;
        }
        let limit = self.read_pace.map_or(buffer.len(), |pace| pace.bytes.min(buffer.len()));
        self.next_read = now + self.read_pace.map_or(Duration::ZERO, |pace| pace.interval);
        if limit == 0 {
            return true;
        }
        match self.stream.read(&mut buffer[..limit]) {
            Ok(0) => false,
            Ok(count) => {
                lock(counts).bytes_read += count as u64;
                true
            }
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }
}
