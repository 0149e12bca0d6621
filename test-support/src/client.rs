//! A client: one connection, one statement at a time.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// What a request came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Served(Vec<u8>),
    /// With this SQLSTATE.
    Error(String),
}

pub struct Client {
    stream: TcpStream,
}

static IDS: AtomicU64 = AtomicU64::new(1);

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let body = [&196_608u32.to_be_bytes()[..], b"user\0api\0database\0ledger\0\0"].concat();
        stream.write_all(&[&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat())?;
        let mut client = Client { stream };
        client.read_reply()?;
        Ok(client)
    }

    pub fn read(&mut self, class: &str, group: u32, wait_ms: u32) -> io::Result<Reply> {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        self.run_statement(&format!(
            "SELECT blob FROM rows WHERE handle = '7f3a' /* id={id:016x},c={class},d={wait_ms},cluster={group} */"
        ))
    }

    pub fn write(&mut self, class: &str, group: u32, wait_ms: u32) -> io::Result<Reply> {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        self.run_statement(&format!(
            "INSERT INTO rows (handle, blob) VALUES ('7f3a', '\\x9f03') RETURNING blob \
             /* id={id:016x},c={class},d={wait_ms},cluster={group} */"
        ))
    }

    /// A read of a key; `after`: the position that it has to see, in milliseconds.
    pub fn read_key(
        &mut self,
        class: &str,
        group: u32,
        key: &str,
        wait_ms: u32,
        after: Option<i64>,
    ) -> io::Result<Reply> {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        let after = after.map_or(String::new(), |at| format!(",after={at}"));
        self.run_statement(&format!(
            "SELECT blob FROM rows WHERE handle = '{key}' /* id={id:016x},c={class},d={wait_ms},cluster={group}{after} */"
        ))
    }

    pub fn write_key(
        &mut self,
        class: &str,
        group: u32,
        key: &str,
        hex: &str,
        wait_ms: u32,
    ) -> io::Result<Reply> {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        self.run_statement(&format!(
            "INSERT INTO rows (handle, blob) VALUES ('{key}', '\\x{hex}') RETURNING blob \
             /* id={id:016x},c={class},d={wait_ms},cluster={group} */"
        ))
    }

    /// Says that it leaves.
    pub fn send_terminate(&mut self) -> io::Result<()> {
        self.stream.write_all(b"X\0\0\0\x04")
    }

    /// One statement, and its whole answer.
    pub fn run_statement(&mut self, text: &str) -> io::Result<Reply> {
        let mut message = vec![b'Q'];
        message.extend((text.len() as u32 + 5).to_be_bytes());
        message.extend(text.as_bytes());
        message.push(0);
        self.stream.write_all(&message)?;
        self.read_reply()
    }

    fn read_reply(&mut self) -> io::Result<Reply> {
        let mut reply = Reply::Served(Vec::new());
        loop {
            let mut head = [0; 5];
            self.stream.read_exact(&mut head)?;
            let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
            let mut body = vec![0; length.saturating_sub(4).min(1 << 24)];
            self.stream.read_exact(&mut body)?;
            match head[0] {
                b'D' => reply = Reply::Served(body.get(6..).unwrap_or_default().to_vec()),
                b'E' => {
                    let fields = body.split(|b| *b == 0);
                    let code = fields.filter_map(|f| f.strip_prefix(b"C")).next().unwrap_or_default();
                    reply = Reply::Error(String::from_utf8_lossy(code).into());
                }
                b'Z' => return Ok(reply),
                _ => {}
            }
        }
    }
}
