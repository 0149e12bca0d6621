//! The socket handling that all test databases share. A database accepts connections while it is available, completes
//! the startup exchange, and answers statements one at a time. Its [`DatabaseBehavior`] supplies the answers.

use crate::crowd::Pace;
use crate::wire::{QUERY, authentication_ok, ready_for_query};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Interval at which a blocked thread checks whether its database is still available.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Size of the socket's buffer in a database that reads slowly.
const SMALL_BUFFER_BYTES: usize = 4096;

/// Largest message body that a database reads.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The behavior of a database that its connections depend on. Each thread has its own handle.
pub(crate) trait DatabaseBehavior: Clone + Send + 'static {
    /// The address on which the database listens, and which it binds again when it becomes available again.
    fn address(&self) -> SocketAddr;

    /// Whether its threads must end.
    fn is_stopped(&self) -> bool {
        false
    }

    /// Whether it accepts connections. If not, existing connections break and new ones are refused.
    fn is_available(&self) -> bool;

    /// The pace at which it writes answers that are longer than one piece; `None` writes them at once.
    fn answer_pace(&self) -> Option<Pace> {
        None
    }

    /// The pace at which it reads statements that are longer than one piece; `None` reads them at once.
    fn statement_pace(&self) -> Option<Pace> {
        None
    }

    /// How long after an answer it sends a second copy, if no further statement has arrived; `None` sends none.
    fn second_copy_delay(&self) -> Option<Duration> {
        None
    }

    /// Waits while the database hangs. Returns false if it is unavailable.
    fn wait_while_hung(&self) -> bool;

    /// Identifies the current process of the database. Connections break when the value changes.
    fn incarnation(&self) -> i64 {
        0
    }

    /// The messages that answer a statement, without the final ReadyForQuery. `None` breaks the connection instead.
    fn answer_statement(&self, query: &str) -> Option<Vec<u8>>;
}

/// Starts the thread that accepts connections. It starts with this listener and binds a new one whenever the database
/// becomes available again.
pub(crate) fn start_accepting(database: impl DatabaseBehavior, listener: TcpListener) {
    thread::spawn(move || accept_until_stopped(&database, listener));
}

/// Accepts connections. Closes the listener while the database is unavailable, then binds the same address again.
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

/// Accepts all pending connections and starts a thread for each.
fn accept_pending(database: &impl DatabaseBehavior, listener: &TcpListener) {
    let _ = listener.set_nonblocking(true);
    while let Ok((stream, _)) = listener.accept() {
        let mut connection = Connection { database: database.clone(), stream };
        thread::spawn(move || connection.serve());
    }
}

struct Connection<D> {
    database: D,
    stream: TcpStream,
}

impl<D: DatabaseBehavior> Connection<D> {
    /// Completes the startup exchange and answers statements until either end breaks the connection.
    fn serve(&mut self) -> io::Result<()> {
        if self.database.statement_pace().is_some() {
            // The other side can write little more than what is read.
            SockRef::from(&self.stream).set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
        }
        self.stream.set_nonblocking(false)?;
        self.stream.set_nodelay(true)?;
        self.stream.set_read_timeout(Some(POLL_INTERVAL))?;
        self.read_body()?;
        if self.database.wait_while_hung() {
            self.write_with_ready_for_query(authentication_ok())?;
        }
        let incarnation = self.database.incarnation();
        while self.database.is_available() && self.database.incarnation() == incarnation {
            let Some(query) = self.read_query()? else { break };
            let Some(answer) = self.database.answer_statement(&query) else { break };
            if self.database.incarnation() != incarnation {
                break;
            }
            let second_copy = self.database.second_copy_delay().map(|delay| (delay, answer.clone()));
            self.write_with_ready_for_query(answer)?;
            if let Some((delay, copy)) = second_copy {
                thread::sleep(delay);
                if !self.has_input()? {
                    self.write_with_ready_for_query(copy)?;
                }
            }
        }
        Ok(())
    }

    /// Writes these messages followed by ReadyForQuery.
    fn write_with_ready_for_query(&mut self, messages: Vec<u8>) -> io::Result<()> {
        let answer = [messages, ready_for_query()].concat();
        let Some(pace) = self.database.answer_pace() else { return self.stream.write_all(&answer) };
        for piece in answer.chunks(pace.bytes) {
            self.stream.write_all(piece)?;
            if piece.len() == pace.bytes {
                thread::sleep(pace.interval);
            }
        }
        Ok(())
    }

    /// Whether a part of the next statement has arrived.
    fn has_input(&self) -> io::Result<bool> {
        self.stream.set_nonblocking(true)?;
        let has_input = self.stream.peek(&mut [0]).is_ok();
        self.stream.set_nonblocking(false)?;
        Ok(has_input)
    }

    /// Reads the next statement. Returns `None` if the next message is not a Query.
    fn read_query(&mut self) -> io::Result<Option<String>> {
        let mut tag = [0];
        self.read_exactly(&mut tag)?;
        let body = self.read_body()?;
        if tag[0] != QUERY {
            return Ok(None);
        }
        Ok(Some(String::from_utf8_lossy(&body).trim_end_matches('\0').to_string()))
    }

    /// Reads a message's length and body and returns the body. The caller has read the type byte, if there is one.
    fn read_body(&mut self) -> io::Result<Vec<u8>> {
        let mut length = [0; 4];
        self.read_exactly(&mut length)?;
        let body_length = (u32::from_be_bytes(length) as usize).saturating_sub(length.len());
        let mut body = vec![0; body_length.min(MAX_MESSAGE_BYTES)];
        self.read_exactly(&mut body)?;
        Ok(body)
    }

    /// Waits until the next piece of a message may be read, and returns its end. `length` is that of the message.
    fn wait_for_piece(&self, start: usize, length: usize) -> usize {
        match self.database.statement_pace().filter(|pace| pace.bytes < length) {
            Some(pace) => {
                thread::sleep(pace.interval);
                length.min(start + pace.bytes)
            }
            None => length,
        }
    }

    /// Fills the buffer, without a time limit while the database is available.
    fn read_exactly(&mut self, buffer: &mut [u8]) -> io::Result<()> {
        let mut filled = 0;
        while filled < buffer.len() {
            let piece_end = self.wait_for_piece(filled, buffer.len());
            match self.stream.read(&mut buffer[filled..piece_end]) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(length) => filled += length,
                Err(error) if is_timeout(&error) && self.database.is_available() => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// Whether a read failed because no data arrived within its timeout.
fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
