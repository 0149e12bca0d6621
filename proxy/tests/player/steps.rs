//! Execution of the steps.

use super::bytes::{self, Bytes};
use super::process::Process;
use super::step::{ConfigChange, Step};
use super::{MAX_WAIT, Player, accept, setup};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// [`Step::ReceiveLater`] fails if its bytes arrive within this time after the last [`Step::Send`].
const MIN_DELAY: Duration = Duration::from_millis(1);
/// The buffer size of a read that expects the end of the connection.
const BUFFER_BYTES: usize = 64;

impl Player {
    /// Executes the step that a line of an exchange describes. Panics if the step fails.
    pub(crate) fn execute_step(&mut self, line: &str) {
        match Step::parse(line) {
            Step::Setup => {}
            Step::WaitUntilStopped => self.processes[0].wait_until_stopped(),
            Step::StartAnotherProcess => self.start_another_process(),
            Step::SwapProcesses => self.processes.swap(0, 1),
            Step::KillProcess => drop(self.processes.remove(0)),
            Step::Wait(time) => std::thread::sleep(time),
            Step::Reload(changes) => self.reload(&changes),
            Step::Define { name, bytes } => self.define(name, bytes),
            Step::ExpectLog { text } => self.expect_log(text),
            Step::ExpectNotLogged { texts } => self.expect_not_logged(&texts),
            Step::Signal { name } => self.processes[0].signal(name),
            Step::ExpectExit { code } => self.expect_exit(code),
            Step::FillListenQueue { listener } => self.fill_listen_queue(listener),
            Step::DrainListenQueue { listener } => drop(accept(&self.listeners[listener])),
            Step::ExpectNoConnection { listener } => self.expect_no_connection(listener),
            Step::CloseListener { listener } => drop(self.listeners.remove(listener)),
            Step::Send { party, bytes } => self.send(party, bytes),
            Step::SendByteByByte { party, bytes } => self.send_byte_by_byte(party, bytes),
            Step::Receive { party, bytes } => self.receive(party, bytes),
            Step::ReceiveLater { party, bytes } => self.receive_later(party, bytes),
            Step::ExpectUnreadInput { party } => self.expect_unread_input(party),
            Step::Close { party } => drop(self.connections.remove(party)),
            Step::ExpectClosed { party } => self.expect_closed(party),
            Step::ExpectClosedOrReset { party } => self.expect_closed_or_reset(party),
        }
    }

    /// Starts another process of the program. The following steps refer to it.
    fn start_another_process(&mut self) {
        let inherited = self.inherited_listener.as_ref();
        let process = Process::start(&self.shell_command, &self.config.path, inherited);
        self.processes.insert(0, process);
    }

    /// Writes the original configuration with changes, and makes the process reload it.
    fn reload(&self, changes: &[ConfigChange]) {
        let address = |name| setup::address(&self.listeners, name);
        let insert_addresses =
            |text: &str| text.replace("$agent", &address("agent")).replace("$q", &address("q"));
        let mut text = self.config.text.clone();
        for change in changes {
            text = match change {
                ConfigChange::ReplaceAll { new } => new.to_string(),
                ConfigChange::Replace { old, new } => {
                    let old = insert_addresses(old);
                    assert!(text.contains(&old), "the configuration does not contain {old}");
                    text.replacen(&old, &insert_addresses(new), 1)
                }
            };
        }
        std::fs::write(&self.config.path, text).unwrap();
        self.processes[0].signal("HUP");
    }

    fn parse_bytes(&self, text: &str) -> Bytes {
        bytes::parse(text, &self.named_bytes)
    }

    /// Parses bytes to send. Wildcards are left out.
    fn parse_bytes_to_send(&self, text: &str) -> Vec<u8> {
        self.parse_bytes(text).into_iter().flatten().collect()
    }

    fn define(&mut self, name: &str, text: &str) {
        let bytes = self.parse_bytes(text);
        self.named_bytes.insert(name.to_string(), bytes);
    }

    /// Reads the log, beginning with the line that was read last, until a line contains the text.
    fn expect_log(&mut self, text: &str) {
        let start = Instant::now();
        let mut skipped_lines = Vec::new();
        while !self.last_log_line.contains(text) {
            skipped_lines.push(self.last_log_line.clone());
            let remaining = MAX_WAIT.saturating_sub(start.elapsed());
            let next = self.processes[0].log.recv_timeout(remaining);
            self.last_log_line =
                next.unwrap_or_else(|_| panic!("the log does not contain {text}: {skipped_lines:#?}"));
        }
    }

    /// Checks that no line contains one of the texts, from the line that was read last to the newest one.
    fn expect_not_logged(&self, texts: &[&str]) {
        let mut lines: Vec<String> = self.processes[0].log.try_iter().collect();
        lines.insert(0, self.last_log_line.clone());
        let found = lines.iter().find(|line| texts.iter().any(|text| line.contains(text)));
        assert!(found.is_none(), "{found:?}");
    }

    fn expect_exit(&mut self, code: i32) {
        let status = self.processes[0].wait_for_exit();
        assert_eq!(status.code(), Some(code));
    }

    /// Reduces the listener's queue to one connection and occupies it, so that the system drops further connection attempts.
    fn fill_listen_queue(&mut self, name: &str) {
        let listener = &self.listeners[name];
        socket2::SockRef::from(listener).listen(0).unwrap();
        let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        self.connections.insert(format!("{name}.filler"), filler);
    }

    fn expect_no_connection(&self, name: &str) {
        let listener = &self.listeners[name];
        listener.set_nonblocking(true).unwrap();
        assert!(listener.accept().is_err(), "a connection to {name} was opened");
    }

    fn send(&mut self, party: &str, text: &str) {
        let bytes = self.parse_bytes_to_send(text);
        self.last_sent_at = Instant::now();
        self.connection(party).write_all(&bytes).unwrap();
    }

    fn send_byte_by_byte(&mut self, party: &str, text: &str) {
        for byte in self.parse_bytes_to_send(text) {
            self.connection(party).write_all(&[byte]).unwrap();
        }
    }

    /// Reads until the number of expected bytes has arrived or a byte differs.
    fn receive(&mut self, party: &str, text: &str) {
        let expected = self.parse_bytes(text);
        let mut received = vec![0; expected.len()];
        let stream = self.connection(party);
        let mut length = 0;
        while length < received.len() && is_match(&expected[..length], &received[..length]) {
            match retry_interrupted(|| stream.read(&mut received[length..])) {
                Ok(more @ 1..) => length += more,
                end => panic!("{end:?} after {:?}", String::from_utf8_lossy(&received[..length])),
            }
        }
        let is_equal = length == received.len() && is_match(&expected, &received);
        assert!(is_equal, "received: {:?}", String::from_utf8_lossy(&received[..length]));
    }

    fn receive_later(&mut self, party: &str, text: &str) {
        self.receive(party, text);
        let waited = self.last_sent_at.elapsed();
        assert!(waited >= MIN_DELAY, "received {waited:?} after the last send");
    }

    fn expect_unread_input(&mut self, party: &str) {
        let stream = self.connection(party);
        let peeked = retry_interrupted(|| stream.peek(&mut [0]));
        assert!(peeked.is_ok_and(|length| length > 0), "{party} has received nothing");
    }

    /// Expects a regular end of the connection, not a reset.
    fn expect_closed(&mut self, party: &str) {
        let end = self.read_end(party);
        assert_eq!(end.ok(), Some(0));
    }

    fn expect_closed_or_reset(&mut self, party: &str) {
        let end = self.read_end(party);
        let is_reset = end.as_ref().is_err_and(|error| error.kind() == ErrorKind::ConnectionReset);
        assert!(is_reset || matches!(end, Ok(0)), "{end:?}");
    }

    fn read_end(&mut self, party: &str) -> io::Result<usize> {
        let stream = self.connection(party);
        retry_interrupted(|| stream.read(&mut [0; BUFFER_BYTES]))
    }
}

/// Compares the bytes up to the shorter length.
fn is_match(expected: &[Option<u8>], received: &[u8]) -> bool {
    expected.iter().zip(received).all(|(expected, received)| expected.is_none_or(|byte| byte == *received))
}

/// Repeats a read that a signal has interrupted. The system interrupts a read with a time-out when the test process is stopped and
/// continued, which says nothing about the connection.
fn retry_interrupted(mut read: impl FnMut() -> io::Result<usize>) -> io::Result<usize> {
    loop {
        match read() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
