//! Discovery: the list of databases and the watch on it, over HTTP/1.1. What the script says counts as told at once.

use crate::lock;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A line of the list.
#[derive(Clone, Debug)]
pub struct ListedDatabase {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub group: u32,
    pub state: &'static str,
    pub primary: bool,
    /// When its process started, in milliseconds of Unix time; 0: long ago.
    pub started_at_ms: i64,
}

#[derive(Default)]
struct Inner {
    databases: Mutex<(u64, Vec<ListedDatabase>)>,
    changed: Condvar,
    stopped: AtomicBool,
}

#[derive(Clone)]
pub struct Discovery {
    inner: Arc<Inner>,
    address: SocketAddr,
}

impl Discovery {
    /// Starts it; with port 0 at a free port.
    pub fn start(address: SocketAddr, list: Vec<ListedDatabase>) -> io::Result<Discovery> {
        let listener = TcpListener::bind(address)?;
        let discovery = Discovery { inner: Arc::default(), address: listener.local_addr()? };
        discovery.set_databases(list);
        let own = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.inner.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let own = own.clone();
                thread::spawn(move || own.answer_requests(&stream));
            }
        });
        Ok(discovery)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// It takes no more calls; those that wait end with their time.
    pub fn stop(&self) {
        self.inner.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }

    /// The list is this from now on.
    pub fn set_databases(&self, list: Vec<ListedDatabase>) {
        let mut held = lock(&self.inner.databases);
        *held = (held.0 + 1, list);
        self.inner.changed.notify_all();
    }

    /// Changes some lines of it.
    pub fn change_databases(&self, act: impl FnOnce(&mut Vec<ListedDatabase>)) {
        let mut list = lock(&self.inner.databases).1.clone();
        act(&mut list);
        self.set_databases(list);
    }

    fn answer_requests(&self, stream: &TcpStream) -> io::Result<()> {
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        while let Some(call) = lines.next().transpose()? {
            while lines.next().transpose()?.is_some_and(|header| !header.is_empty()) {}
            let number = |name: &str| -> Option<u64> {
                let (_, rest) = call.split_once(name)?;
                rest.split(['&', ' ']).next()?.parse().ok()
            };
            let until = number("hold_ms=").map(|ms| Instant::now() + Duration::from_millis(ms));
            let mut held = lock(&self.inner.databases);
            while let Some(left) = until.and_then(|at| at.checked_duration_since(Instant::now()))
                && number("from=") == Some(held.0)
            {
                held = self.inner.changed.wait_timeout(held, left).map_or_else(|e| e.into_inner().0, |w| w.0);
            }
            let (rev, list) = held.clone();
            drop(held);
            let targets: Vec<String> = list.iter().map(ListedDatabase::json).collect();
            let body = if number("from=") == Some(rev) {
                format!(r#"{{"rev":{rev},"all":false,"targets":[]}}"#)
            } else {
                format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, targets.join(","))
            };
            let mut stream = stream;
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
        Ok(())
    }
}

impl ListedDatabase {
    fn json(&self) -> String {
        let ListedDatabase { uid, endpoint, group, state, primary, started_at_ms: boot_ms } = self;
        let access = if *primary { "writer" } else { "reader" };
        format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"a","pod_group":{group},"state":"{state}","access":"{access}","boot_ms":{boot_ms}}}"#
        )
    }
}
