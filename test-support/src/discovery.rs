//! A discovery service: the endpoint list and the long poll on it, over HTTP/1.1. A change by the test is visible at once.

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
    /// Identity of the database; a database restored from a copy has another one.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// The group that it belongs to.
    pub group: u32,
    /// Its state, in discovery's word for it.
    pub state: &'static str,
    /// Whether it is listed as the group's primary.
    pub primary: bool,
    /// When its process started, in milliseconds of Unix time; 0 if that was long ago.
    pub started_at_ms: i64,
}

/// The list with the number of its revision.
#[derive(Clone, Debug, Default)]
struct EndpointList {
    revision: u64,
    /// The revision at which the whole list was replaced the last time.
    replaced_at: u64,
    databases: Vec<ListedDatabase>,
    /// For each database the revision of its last change.
    changed_at: Vec<u64>,
}

#[derive(Default)]
struct Inner {
    list: Mutex<EndpointList>,
    changed: Condvar,
    /// Sent once in place of the list, to the next poll that is answered.
    next_body: Mutex<Option<String>>,
    stopped: AtomicBool,
    sent_body_bytes: AtomicU64,
}

/// A handle to a running discovery service; it ends with the process or with [`Discovery::stop`].
#[derive(Clone)]
pub struct Discovery {
    inner: Arc<Inner>,
    address: SocketAddr,
}

impl Discovery {
    /// Starts the service with a list; port 0 takes a free port.
    pub fn start(address: SocketAddr, databases: Vec<ListedDatabase>) -> io::Result<Discovery> {
        let listener = TcpListener::bind(address)?;
        let discovery = Discovery { inner: Arc::default(), address: listener.local_addr()? };
        discovery.set_databases(databases);
        let service = discovery.clone();
        thread::spawn(move || service.accept(&listener));
        Ok(discovery)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; polls that are waiting end when their time is over.
    pub fn stop(&self) {
        self.inner.stopped.store(true, Ordering::Relaxed);
        // The accepting thread notices the flag at its next connection.
        let _ = TcpStream::connect(self.address);
    }

    /// Starts a service with the same list at the same address, after [`Discovery::stop`].
    pub fn restarted(&self) -> io::Result<Discovery> {
        Discovery::start(self.address, lock(&self.inner.list).databases.clone())
    }

    /// Replaces the list.
    pub fn set_databases(&self, databases: Vec<ListedDatabase>) {
        let mut list = lock(&self.inner.list);
        let revision = list.revision + 1;
        let changed_at = vec![revision; databases.len()];
        *list = EndpointList { revision, replaced_at: revision, databases, changed_at };
        self.inner.changed.notify_all();
    }

    /// Changes the entry at an index; who knows the list as it was is told of this change alone.
    pub fn change_database(&self, index: usize, change: impl FnOnce(&mut ListedDatabase)) {
        let mut list = lock(&self.inner.list);
        list.revision += 1;
        list.changed_at[index] = list.revision;
        change(&mut list.databases[index]);
        self.inner.changed.notify_all();
    }

    /// Bytes of all lists and changes that it has sent, without HTTP headers.
    pub fn sent_body_bytes(&self) -> u64 {
        self.inner.sent_body_bytes.load(Ordering::Relaxed)
    }

    /// Changes some entries of the list.
    pub fn change_databases(&self, change: impl FnOnce(&mut Vec<ListedDatabase>)) {
        let mut databases = lock(&self.inner.list).databases.clone();
        change(&mut databases);
        self.set_databases(databases);
    }

    /// Answers one poll with this body, be it a list or not: one that is waiting, or the next one.
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

    /// Answers the polls that come on one connection, each after its wait, until the client closes it.
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

    /// The list, once it differs from the known revision or the wait is over.
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

/// The number after `name` (with its `=`) in the request line.
fn query_parameter(request: &str, name: &str) -> Option<u64> {
    let (_, rest) = request.split_once(name)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

impl EndpointList {
    /// The answer to a poll: the changes since the known revision, or the whole list if it was replaced since.
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
