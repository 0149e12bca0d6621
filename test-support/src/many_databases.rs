//! Thousands of databases in one process. One listener accepts connections for all loopback addresses, and the
//! destination address of a connection selects the database that answers. The databases store no rows: every read
//! returns the same value.

use crate::groups::now_ms;
use crate::lock;
use crate::statement_text::quoted_strings;
use crate::wire::{
    QUERY, authentication_ok, error_response, ready_for_query, role_and_position, text_row, usage_row,
};
use std::collections::{HashMap, HashSet};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Largest message body that a database reads.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The value that every read and write returns.
const VALUE: &str = "\\x9f03";

/// The address of the first database. The others have consecutive addresses.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 100, 0, 1);

/// A handle to the running databases. Their threads run until the process ends.
#[derive(Clone)]
pub struct ManyDatabases {
    inner: Arc<Inner>,
    port: u16,
}

struct Inner {
    primaries: HashSet<IpAddr>,
    open_connections: Mutex<HashMap<IpAddr, Vec<TcpStream>>>,
    connection_count: AtomicU64,
    statement_count: AtomicU64,
}

impl ManyDatabases {
    /// Starts the databases. Those with these indices are primaries, all others replicas.
    pub fn start(primaries: impl Iterator<Item = u32>) -> io::Result<ManyDatabases> {
        // Only a listener on the unspecified address accepts connections for a range of addresses.
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        let port = listener.local_addr()?.port();
        let inner = Inner {
            primaries: primaries.map(ip_address).collect(),
            open_connections: Mutex::default(),
            connection_count: AtomicU64::new(0),
            statement_count: AtomicU64::new(0),
        };
        let databases = ManyDatabases { inner: Arc::new(inner), port };
        let accepting = databases.clone();
        thread::spawn(move || accepting.accept(&listener));
        Ok(databases)
    }

    /// The address of the database with this index.
    pub fn address(&self, index: u32) -> SocketAddr {
        SocketAddr::new(ip_address(index), self.port)
    }

    /// Number of connections that all databases together have accepted since their start. Connections from other
    /// machines are rejected and not counted.
    pub fn connection_count(&self) -> u64 {
        self.inner.connection_count.load(Ordering::Relaxed)
    }

    /// Number of statements that all databases together have received since their start, including health checks.
    pub fn statement_count(&self) -> u64 {
        self.inner.statement_count.load(Ordering::Relaxed)
    }

    /// Breaks all connections of a database, as a restart of the database does.
    pub fn break_connections(&self, index: u32) {
        let streams = lock(&self.inner.open_connections).remove(&ip_address(index)).unwrap_or_default();
        for stream in streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            // The listener is reachable from other machines; reject their connections.
            if !stream.peer_addr().is_ok_and(|peer| peer.ip().is_loopback()) {
                continue;
            }
            self.inner.connection_count.fetch_add(1, Ordering::Relaxed);
            let databases = self.clone();
            thread::spawn(move || databases.serve(stream));
        }
    }

    /// Answers statements until either end closes the connection.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let database = stream.local_addr()?.ip();
        let peer = stream.peer_addr()?;
        let registered_stream = stream.try_clone()?;
        lock(&self.inner.open_connections).entry(database).or_default().push(registered_stream);
        let result = self.answer_statements(&mut stream, self.inner.primaries.contains(&database));
        if let Some(streams) = lock(&self.inner.open_connections).get_mut(&database) {
            streams.retain(|other| other.peer_addr().is_ok_and(|other| other != peer));
        }
        result
    }

    fn answer_statements(&self, stream: &mut TcpStream, is_primary: bool) -> io::Result<()> {
        stream.set_nodelay(true)?;
        read_body(stream)?;
        stream.write_all(&[authentication_ok(), ready_for_query()].concat())?;
        let mut tag = [0];
        loop {
            stream.read_exact(&mut tag)?;
            let body = read_body(stream)?;
            if tag != [QUERY] {
                return Ok(());
            }
            self.inner.statement_count.fetch_add(1, Ordering::Relaxed);
            let query = String::from_utf8_lossy(&body);
            stream.write_all(&answer(query.trim_end_matches('\0'), is_primary))?;
        }
    }
}

fn ip_address(index: u32) -> IpAddr {
    Ipv4Addr::from_bits(FIRST_ADDRESS.to_bits() + index).into()
}

/// The messages that answer a statement, including ReadyForQuery.
fn answer(query: &str, is_primary: bool) -> Vec<u8> {
    let now = now_ms();
    let result = match quoted_strings(query).len() {
        _ if query == "SHOW usage" => usage_row(is_primary, now),
        0 => error_response("42601", "not a statement that is known here"),
        1 => text_row(VALUE),
        _ if is_primary => text_row(VALUE),
        _ => error_response("25006", "this is no primary"),
    };
    [result, role_and_position(is_primary, now), ready_for_query()].concat()
}

/// Reads a message's length and body and returns the body. The caller has read the type byte, if there is one.
fn read_body(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let body_length = (u32::from_be_bytes(length) as usize).saturating_sub(length.len());
    let mut body = vec![0; body_length.min(MAX_MESSAGE_BYTES)];
    stream.read_exact(&mut body)?;
    Ok(body)
}
