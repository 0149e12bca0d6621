//! What every test database does on its sockets: it accepts connections while it is available, completes the startup
//! exchange, and answers one statement after the other. What it answers is each database's own.

use crate::wire::message;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// How often a blocked thread looks whether its database is still available.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Bound on the body of one message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Message types of the protocol.
const AUTHENTICATION: u8 = b'R';
const QUERY: u8 = b'Q';
const READY_FOR_QUERY: u8 = b'Z';

/// The body of an authentication message that asks for nothing.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];

/// The body of a ready message outside of a transaction.
const IDLE: &[u8] = b"I";

/// A database as its connections need it; each thread has a handle of its own.
pub(crate) trait DatabaseBehavior: Clone + Send + 'static {
    /// Where it listens.
    fn address(&self) -> SocketAddr;

    /// Whether its threads have to end.
    fn is_stopped(&self) -> bool {
        false
    }

    /// Whether it accepts connections; otherwise they break.
    fn is_available(&self) -> bool;

    /// Waits until it does not hang; false if it is unavailable.
    fn wait_while_hung(&self) -> bool;

    /// Differs from one process of the database to the next; connections break when it changes.
    fn incarnation(&self) -> i64 {
        0
    }

    /// The messages that answer a statement, up to the one that says that it is ready for the next; `None` if the connection
    /// breaks instead.
    fn answer_statement(&self, query: &str) -> Option<Vec<u8>>;
}

/// Starts the thread that accepts connections, on this listener first and on others after each time that the database was
/// unavailable.
pub(crate) fn start_accepting(database: impl DatabaseBehavior, listener: TcpListener) {
    thread::spawn(move || accept_until_stopped(&database, listener));
}

/// Closes the listener while the database is unavailable, and binds the same address again afterwards.
fn accept_until_stopped(database: &impl DatabaseBehavior, first: TcpListener) {
    let mut listener = Some(first);
    while !database.is_stopped() {
        if !database.is_available() {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(database.address()).ok();
        }
        if let Some(listener) = &listener {
            accept_pending(database, listener);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Accepts the connections that are pending, each with a thread of its own.
fn accept_pending(database: &impl DatabaseBehavior, listener: &TcpListener) {
    let _ = listener.set_nonblocking(true);
    while let Ok((stream, _)) = listener.accept() {
        let mut connection = Connection { database: database.clone(), stream };
        thread::spawn(move || connection.serve());
    }
}

/// An accepted connection.
struct Connection<D> {
    database: D,
    stream: TcpStream,
}

impl<D: DatabaseBehavior> Connection<D> {
    /// Completes the startup exchange and answers statements until either end breaks the connection.
    fn serve(&mut self) -> io::Result<()> {
        self.stream.set_nonblocking(false)?;
        self.stream.set_nodelay(true)?;
        self.stream.set_read_timeout(Some(POLL_INTERVAL))?;
        self.read_body()?;
        if self.database.wait_while_hung() {
            self.write_and_be_ready(message(AUTHENTICATION, &AUTHENTICATION_OK))?;
        }
        let incarnation = self.database.incarnation();
        while self.database.is_available() && self.database.incarnation() == incarnation {
            let Some(query) = self.read_query()? else { break };
            let Some(answer) = self.database.answer_statement(&query) else { break };
            if self.database.incarnation() != incarnation {
                break;
            }
            self.write_and_be_ready(answer)?;
        }
        Ok(())
    }

    /// Writes messages, and the one that says that the database is ready for the next statement.
    fn write_and_be_ready(&mut self, messages: Vec<u8>) -> io::Result<()> {
        self.stream.write_all(&[messages, message(READY_FOR_QUERY, IDLE)].concat())
    }

    /// Reads the next statement; `None` if the message is another one.
    fn read_query(&mut self) -> io::Result<Option<String>> {
        let mut tag = [0];
        self.read_exactly(&mut tag)?;
        let body = self.read_body()?;
        if tag[0] != QUERY {
            return Ok(None);
        }
        Ok(Some(String::from_utf8_lossy(&body).trim_end_matches('\0').to_string()))
    }

    /// Reads a message from its length on and returns the body.
    fn read_body(&mut self) -> io::Result<Vec<u8>> {
        let mut length = [0; 4];
        self.read_exactly(&mut length)?;
        let body_length = (u32::from_be_bytes(length) as usize).saturating_sub(length.len());
        let mut body = vec![0; body_length.min(MAX_MESSAGE_BYTES)];
        self.read_exactly(&mut body)?;
        Ok(body)
    }

    /// Fills the buffer, however long that takes, while the database is available.
    fn read_exactly(&mut self, buffer: &mut [u8]) -> io::Result<()> {
        let mut filled = 0;
        while filled < buffer.len() {
            match self.stream.read(&mut buffer[filled..]) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(length) => filled += length,
                Err(error) if is_timeout(&error) && self.database.is_available() => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// Whether a read ended because nothing arrived within its timeout.
fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
