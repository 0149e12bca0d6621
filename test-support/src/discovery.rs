//! A discovery service that serves the endpoint list over HTTP/1.1 and supports long polling. Changes that a test makes
//! are visible immediately.

use crate::lock;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedDatabase {
    /// Identity of the database. A database that was restored from a backup has a new identity.
    pub uid: String,
    /// The address on which the database listens.
    pub endpoint: SocketAddr,
    /// The number of the group that the database belongs to.
    pub group: u32,
    /// The state as written in the list, for example `up` or `draining`.
    pub state: &'static str,
    /// Whether the list names it as the group's primary.
    pub primary: bool,
    /// When its process started, in milliseconds of Unix time. 0 stands for a start long ago.
    pub started_at_ms: i64,
}

/// The endpoint list with its revision number.
#[derive(Clone, Debug, Default)]
struct EndpointList {
    revision: u64,
    /// The revision at which the complete list was last replaced.
    replaced_at: u64,
    databases: Vec<ListedDatabase>,
    /// The revision of each database's last change, in the order of `databases`.
    changed_at: Vec<u64>,
}

#[derive(Default)]
struct Inner {
    list: Mutex<EndpointList>,
    changed: Condvar,
    /// A body that replaces the list once, in the next answer to a poll.
    next_body: Mutex<Option<String>>,
    stopped: AtomicBool,
    sent_body_bytes: AtomicU64,
}

/// A handle to a running discovery service. It runs until [`Discovery::stop`] or the end of the process.
#[derive(Clone)]
pub struct Discovery {
    inner: Arc<Inner>,
    address: SocketAddr,
}

impl Discovery {
    /// Starts the service with this list. Port 0 selects a free port.
    pub fn start(address: SocketAddr, databases: Vec<ListedDatabase>) -> io::Result<Discovery> {
        let listener = TcpListener::bind(address)?;
        let discovery = Discovery { inner: Arc::default(), address: listener.local_addr()? };
        discovery.set_databases(databases);
        let service = discovery.clone();
        thread::spawn(move || service.accept(&listener));
        Ok(discovery)
    }

    /// The address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections. Waiting polls end when their wait time expires.
    pub fn stop(&self) {
        self.inner.stopped.store(true, Ordering::Relaxed);
        // The accepting thread checks the flag only when a connection arrives.
        let _ = TcpStream::connect(self.address);
    }

    /// Starts a new service with the same list at the same address. Call [`Discovery::stop`] first.
    pub fn restarted(&self) -> io::Result<Discovery> {
        Discovery::start(self.address, lock(&self.inner.list).databases.clone())
    }

    /// Replaces the complete list. Every poller receives the new list in full.
    pub fn set_databases(&self, databases: Vec<ListedDatabase>) {
        let mut list = lock(&self.inner.list);
        let revision = list.revision + 1;
        let changed_at = vec![revision; databases.len()];
        *list = EndpointList { revision, replaced_at: revision, databases, changed_at };
        self.inner.changed.notify_all();
    }

    /// Changes the entry at an index. A poller that knows the previous revision receives only this entry.
    pub fn change_database(&self, index: usize, change: impl FnOnce(&mut ListedDatabase)) {
        let mut list = lock(&self.inner.list);
        list.revision += 1;
        list.changed_at[index] = list.revision;
        change(&mut list.databases[index]);
        self.inner.changed.notify_all();
    }

    /// Total size in bytes of all bodies that the service has sent, without HTTP headers. A restarted service counts
    /// from 0.
    pub fn sent_body_bytes(&self) -> u64 {
        self.inner.sent_body_bytes.load(Ordering::Relaxed)
    }

    /// Replaces the list with a changed copy. Every poller receives the new list in full.
    pub fn change_databases(&self, change: impl FnOnce(&mut Vec<ListedDatabase>)) {
        let mut databases = lock(&self.inner.list).databases.clone();
        change(&mut databases);
        self.set_databases(databases);
    }

    /// Answers one poll with this body, which need not be a valid list: a poll that is waiting, or else the next one.
    pub fn send_body_once(&self, body: String) {
        let _list = lock(&self.inner.list);
        *lock(&self.inner.next_body) = Some(body);
        self.inner.changed.notify_all();
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.inner.stopped.load(Ordering::Relaxed) {
                return;
            }
            let service = self.clone();
            thread::spawn(move || service.answer_requests(&stream));
        }
    }

    /// Answers the polls on one connection, each after its wait, until the client closes the connection.
    fn answer_requests(&self, mut stream: &TcpStream) -> io::Result<()> {
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        while let Some(request) = lines.next().transpose()? {
            while lines.next().transpose()?.is_some_and(|header| !header.is_empty()) {}
            let known_revision = query_parameter(&request, "from=");
            let wait = query_parameter(&request, "hold_ms=").map(Duration::from_millis);
            let list = self.wait_for_change(known_revision, wait);
            let next_body = lock(&self.inner.next_body).take();
            let body = next_body.unwrap_or_else(|| list.to_json(known_revision));
            self.inner.sent_body_bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
        Ok(())
    }

    /// Waits until the list differs from the known revision or the wait time expires, then returns the list.
    fn wait_for_change(&self, known_revision: Option<u64>, wait: Option<Duration>) -> EndpointList {
        let until = wait.map(|wait| Instant::now() + wait);
        let mut list = lock(&self.inner.list);
        while let Some(left) = until.and_then(|at| at.checked_duration_since(Instant::now()))
            && known_revision == Some(list.revision)
            && lock(&self.inner.next_body).is_none()
        {
            list = self.inner.changed.wait_timeout(list, left).map_or_else(|e| e.into_inner().0, |w| w.0);
        }
        list.clone()
    }
}

/// The number after `name` (which includes the `=`) in the request line.
fn query_parameter(request: &str, name: &str) -> Option<u64> {
    let (_, rest) = request.split_once(name)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

impl EndpointList {
    /// The body of the answer to a poll: the changes since the known revision, or the complete list if it was replaced
    /// after that revision.
    fn to_json(&self, known_revision: Option<u64>) -> String {
        let changes_since = known_revision.filter(|known| (self.replaced_at..=self.revision).contains(known));
        let oldest_known = changes_since.unwrap_or(0);
        let targets: Vec<String> = std::iter::zip(&self.databases, &self.changed_at)
            .filter(|(_, changed_at)| **changed_at > oldest_known)
            .map(|(database, _)| database.to_json())
            .collect();
        let complete = changes_since.is_none();
        format!(r#"{{"rev":{},"all":{complete},"targets":[{}]}}"#, self.revision, targets.join(","))
    }
}

impl ListedDatabase {
    fn to_json(&self) -> String {
        let ListedDatabase { uid, endpoint, group, state, primary, started_at_ms } = self;
        let access = if *primary { "writer" } else { "reader" };
        format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"a","pod_group":{group},"state":"{state}","access":"{access}","boot_ms":{started_at_ms}}}"#
        )
    }
}
