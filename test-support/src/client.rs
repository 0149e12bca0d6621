//! A PostgreSQL client of the proxy with one connection, which sends one statement at a time.

use crate::crowd::Pace;
use crate::wire::{DATA_ROW, ERROR_RESPONSE, QUERY, READY_FOR_QUERY, TERMINATE, message, startup_message};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for each read of a reply. It is longer than any deadline that tests send.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest message body that the client reads.
const MAX_MESSAGE_BYTES: usize = 1 << 24;

/// Offset of the value in a row of one column: it follows the column count (2 bytes) and the value's length (4 bytes).
const ROW_VALUE_OFFSET: usize = 6;

/// What the proxy answered to a statement before ReadyForQuery. A broken connection or an expired time limit is an
/// [`io::Error`] instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The statement succeeded. Holds the value of the only row; empty if there was no row.
    Served(Vec<u8>),
    /// The statement failed with this SQLSTATE.
    Error(String),
}

/// A connection that has completed the startup exchange.
pub struct Client {
    stream: TcpStream,
    /// The pace at which bodies of messages are read; `None` reads them at once.
    read_pace: Option<Pace>,
}

/// The next request id; ids are unique within a test process.
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

impl Client {
    /// Connects and completes the startup exchange.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let mut client = Client::start_connecting(address)?;
        client.read_reply()?;
        Ok(client)
    }

    /// Connects and sends the startup message without waiting for its reply, which the caller has to read.
    pub fn start_connecting(address: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        stream.write_all(&startup_message())?;
        Ok(Client { stream, read_pace: None })
    }

    /// Reads the row that [`Client::write`] writes. `deadline_ms` is the request's deadline in milliseconds.
    pub fn read(&mut self, class: &str, group: u32, deadline_ms: u32) -> io::Result<Reply> {
        self.read_key(class, group, "7f3a", deadline_ms, None)
    }

    /// Writes a fixed value to a fixed key. `deadline_ms` is the request's deadline in milliseconds.
    pub fn write(&mut self, class: &str, group: u32, deadline_ms: u32) -> io::Result<Reply> {
        self.write_key(class, group, "7f3a", "9f03", deadline_ms)
    }

    /// Reads the row of a key. `deadline_ms` is the request's deadline in milliseconds. `after` is the log position, in
    /// milliseconds, that the read must include; `None` sets no position.
    pub fn read_key(
        &mut self,
        class: &str,
        group: u32,
        key: &str,
        deadline_ms: u32,
        after: Option<i64>,
    ) -> io::Result<Reply> {
        let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed);
        let after = after.map_or(String::new(), |at| format!(",after={at}"));
        self.run_statement(&format!(
            "SELECT blob FROM rows WHERE handle = '{key}' /* id={id:016x},c={class},d={deadline_ms},cluster={group}{after} */"
        ))
    }

    /// Writes the row of a key. `hex` is the value in hexadecimal digits, `deadline_ms` the request's deadline in
    /// milliseconds.
    pub fn write_key(
        &mut self,
        class: &str,
        group: u32,
        key: &str,
        hex: &str,
        deadline_ms: u32,
    ) -> io::Result<Reply> {
        let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed);
        self.run_statement(&format!(
            "INSERT INTO rows (handle, blob) VALUES ('{key}', '\\x{hex}') RETURNING blob \
             /* id={id:016x},c={class},d={deadline_ms},cluster={group} */"
        ))
    }

    /// Sets how long the client waits for each part of a reply.
    pub fn set_reply_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Sets the pace at which the client reads replies.
    pub fn set_read_pace(&mut self, pace: Option<Pace>) {
        self.read_pace = pace;
    }

    /// Returns another handle of the same connection.
    pub fn try_clone(&self) -> io::Result<Client> {
        Ok(Client { stream: self.stream.try_clone()?, read_pace: self.read_pace })
    }

    /// Sends bytes as they are.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Ends the sending side of the connection, and keeps the receiving side open.
    pub fn end_sending(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Sends the Terminate message, which ends the session.
    pub fn send_terminate(&mut self) -> io::Result<()> {
        self.stream.write_all(&message(TERMINATE, &[]))
    }

    /// Sends one statement and reads its complete reply.
    pub fn run_statement(&mut self, text: &str) -> io::Result<Reply> {
        self.send_statement(text)?;
        self.read_reply()
    }

    /// Sends statements behind one another, as many as the socket takes at once.
    pub fn send_without_waiting(&mut self, statements: &[String]) -> io::Result<()> {
        let query = |text: &String| message(QUERY, &[text.as_bytes(), b"\0"].concat());
        let bytes: Vec<u8> = statements.iter().flat_map(query).collect();
        self.stream.set_nonblocking(true)?;
        let mut written = 0;
        while written < bytes.len() {
            match self.stream.write(&bytes[written..]) {
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        self.stream.set_nonblocking(false)
    }

    /// Sends one statement without waiting for its reply.
    pub fn send_statement(&mut self, text: &str) -> io::Result<()> {
        let body = [text.as_bytes(), b"\0"].concat();
        self.stream.write_all(&message(QUERY, &body))
    }

    /// Reads the body of a message at the client's pace.
    fn read_body(&mut self, body: &mut [u8]) -> io::Result<()> {
        let Some(pace) = self.read_pace else { return self.stream.read_exact(body) };
        for piece in body.chunks_mut(pace.bytes) {
            self.stream.read_exact(piece)?;
            if piece.len() == pace.bytes {
                thread::sleep(pace.interval);
            }
        }
        Ok(())
    }

    /// Reads messages up to ReadyForQuery and returns the row or error among them.
    pub fn read_reply(&mut self) -> io::Result<Reply> {
        let mut reply = Reply::Served(Vec::new());
        loop {
            let mut head = [0; 5];
            self.stream.read_exact(&mut head)?;
            let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
            let mut body = vec![0; length.saturating_sub(4).min(MAX_MESSAGE_BYTES)];
            self.read_body(&mut body)?;
            match head[0] {
                DATA_ROW => reply = Reply::Served(body.get(ROW_VALUE_OFFSET..).unwrap_or_default().to_vec()),
                ERROR_RESPONSE if is_fatal(&body) => return Ok(Reply::Error(sqlstate(&body))),
                ERROR_RESPONSE => reply = Reply::Error(sqlstate(&body)),
                READY_FOR_QUERY => return Ok(reply),
                _ => {}
            }
        }
    }
}

/// Whether the connection ends after the error, without ReadyForQuery.
fn is_fatal(body: &[u8]) -> bool {
    body.split(|byte| *byte == 0).any(|field| field == b"SFATAL")
}

/// The SQLSTATE in the body of an ErrorResponse; empty if the field is missing.
fn sqlstate(body: &[u8]) -> String {
    let mut fields = body.split(|byte| *byte == 0);
    let code = fields.find_map(|field| field.strip_prefix(b"C")).unwrap_or_default();
    String::from_utf8_lossy(code).into()
}
