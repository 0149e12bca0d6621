//! A scripted database, primary or replica, which can be slow, hang (it accepts connections and answers nothing), go down
//! and come back. A group's databases share their rows, so replicas have every write at once.

use crate::lock;
use crate::wire::{message, row};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How often a blocked thread looks whether its database is still available.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Bound on the body of one message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// How a database behaves now.
#[derive(Clone, Debug)]
struct Behavior {
    /// Whether it accepts connections; otherwise they break.
    available: bool,
    /// Whether it leaves everything unanswered.
    hung: bool,
    primary: bool,
    /// How long statements of a request class take.
    delay_by_class: HashMap<String, Duration>,
}

/// What a group's databases share: the rows, and how often each request's write was executed.
#[derive(Default)]
pub struct Rows {
    value_by_key: Mutex<HashMap<String, String>>,
    executions_by_request: Mutex<HashMap<String, u32>>,
}

impl Rows {
    /// Requests whose write was executed.
    pub fn write_count(&self) -> usize {
        lock(&self.executions_by_request).len()
    }

    /// Requests whose write was executed more than once.
    pub fn duplicate_count(&self) -> usize {
        lock(&self.executions_by_request).values().filter(|n| **n > 1).count()
    }
}

struct Inner {
    address: SocketAddr,
    behavior: Mutex<Behavior>,
    changed: Condvar,
    rows: Arc<Rows>,
    statement_count: AtomicU64,
    /// Whether it prints each statement.
    prints_statements: bool,
}

/// A handle to a running database; its threads end with the test process.
#[derive(Clone)]
pub struct Database(Arc<Inner>);

impl Database {
    /// Starts a database; port 0 takes a free port.
    pub fn start(
        address: SocketAddr,
        primary: bool,
        rows: &Arc<Rows>,
        prints_statements: bool,
    ) -> io::Result<Database> {
        let listener = TcpListener::bind(address)?;
        let behavior =
            Mutex::new(Behavior { available: true, hung: false, primary, delay_by_class: HashMap::new() });
        let inner = Inner {
            address: listener.local_addr()?,
            behavior,
            changed: Condvar::new(),
            rows: rows.clone(),
            statement_count: AtomicU64::new(0),
            prints_statements,
        };
        let database = Database(Arc::new(inner));
        let server = database.clone();
        thread::spawn(move || server.accept(listener));
        Ok(database)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Statements received so far, health checks included.
    pub fn statement_count(&self) -> u64 {
        self.0.statement_count.load(Ordering::Relaxed)
    }

    fn change_behavior(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut lock(&self.0.behavior));
        self.0.changed.notify_all();
    }

    /// Hung, it accepts connections and answers nothing.
    pub fn set_hung(&self, hung: bool) {
        self.change_behavior(|behavior| behavior.hung = hung);
    }

    /// Unavailable, its connections break and new ones are refused.
    pub fn set_available(&self, available: bool) {
        self.change_behavior(|behavior| behavior.available = available);
    }

    /// Whether it takes writes and reports to be the primary.
    pub fn set_primary(&self, primary: bool) {
        self.change_behavior(|behavior| behavior.primary = primary);
    }

    /// Sets how long statements of a request class take.
    pub fn set_delay(&self, class: &str, delay: Duration) {
        self.change_behavior(|behavior| {
            behavior.delay_by_class.insert(class.into(), delay);
        });
    }

    fn is_available(&self) -> bool {
        lock(&self.0.behavior).available
    }

    fn accept(&self, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if !self.is_available() {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.0.address).ok();
            }
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
                while let Ok((stream, _)) = listener.accept() {
                    let server = self.clone();
                    thread::spawn(move || server.serve(stream));
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until it does not hang; false if it is unavailable.
    fn wait_while_hung(&self) -> bool {
        let mut behavior = lock(&self.0.behavior);
        while behavior.hung && behavior.available {
            behavior = self.0.changed.wait(behavior).unwrap_or_else(|e| e.into_inner());
        }
        behavior.available
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
        self.read_body(&mut stream)?;
        let ready = message(b'Z', b"I");
        if self.wait_while_hung() {
            stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())?;
        }
        while self.is_available() {
            let mut tag = [0];
            self.read_exactly(&mut stream, &mut tag)?;
            let body = self.read_body(&mut stream)?;
            if tag[0] != b'Q' {
                return Ok(());
            }
            let query = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
            self.0.statement_count.fetch_add(1, Ordering::Relaxed);
            let class = comment_field(&query, "c=").unwrap_or_default();
            let delay = lock(&self.0.behavior).delay_by_class.get(&class).copied();
            delay.into_iter().for_each(thread::sleep);
            if !self.wait_while_hung() {
                break;
            }
            let answer = self.answer_statement(&query);
            stream.write_all(&[answer, ready.clone()].concat())?;
        }
        Ok(())
    }

    /// Fills the buffer, however long that takes, while the database is available.
    fn read_exactly(&self, stream: &mut TcpStream, buffer: &mut [u8]) -> io::Result<()> {
        let mut filled = 0;
        while filled < buffer.len() {
            match stream.read(&mut buffer[filled..]) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(length) => filled += length,
                Err(e)
                    if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
                        && self.is_available() => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Reads a message from its length on and returns the body.
    fn read_body(&self, stream: &mut TcpStream) -> io::Result<Vec<u8>> {
        let mut length = [0; 4];
        self.read_exactly(stream, &mut length)?;
        let mut body =
            vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4).min(MAX_MESSAGE_BYTES)];
        self.read_exactly(stream, &mut body)?;
        Ok(body)
    }

    /// The messages that answer a statement, up to the one that says that it is ready for the next.
    fn answer_statement(&self, query: &str) -> Vec<u8> {
        let primary = lock(&self.0.behavior).primary;
        if self.0.prints_statements {
            println!("{}: {query}", if primary { "primary" } else { "replica" });
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let quoted: Vec<&str> = query.split('\'').skip(1).step_by(2).collect();
        let answer = match quoted[..] {
            _ if query == "SHOW usage" => {
                row(&format!("x0={}.{:03},x1={}", now / 1000, now % 1000, u8::from(primary)))
            }
            [_, _, ..] if !primary => message(b'E', b"SERROR\0C25006\0Mthis is no primary\0\0"),
            [handle, blob, ..] => {
                lock(&self.0.rows.value_by_key).insert(handle.to_string(), blob.to_string());
                let id = comment_field(query, "id=").unwrap_or_default();
                *lock(&self.0.rows.executions_by_request).entry(id).or_default() += 1;
                row(blob)
            }
            [handle] => row(lock(&self.0.rows.value_by_key).get(handle).map_or("(no such row)", |blob| blob)),
            [] => message(b'E', b"SERROR\0C42601\0Mnot a statement that is known here\0\0"),
        };
        let role = format!("server_role\0{}\0", if primary { "writer" } else { "reader" });
        let position = format!("commit_clock\0{now}\0");
        [answer, message(b'S', role.as_bytes()), message(b'S', position.as_bytes())].concat()
    }
}

/// The value after `name` (with its `=`) in the statement's comment.
fn comment_field(query: &str, name: &str) -> Option<String> {
    let comment = query.split("/* ").nth(1)?;
    let mut fields = comment.split([',', ' ']);
    fields.find_map(|field| field.strip_prefix(name)).map(Into::into)
}
