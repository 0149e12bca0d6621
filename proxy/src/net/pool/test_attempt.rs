//! One attempt whose database the test plays, for unit tests of replies.

use crate::core::{Answer, AttemptId, ClientKey, Command, RoutingRequest};
use crate::memory::{ConnectionCounts, allocated_bytes};
use crate::net::ids::ConnectionKey;
use crate::net::pool::connection::QueryProgress;
use crate::net::pool::tests::Fixture;
use crate::pg::statement::Statement;
use birchreach::{ClassId, GroupId, Micros};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::OnceLock;

pub(super) const READS: ClassId = ClassId(0);
pub(super) const WRITES: ClassId = ClassId(1);
/// The key of the only connection.
pub(super) const KEY: ConnectionKey = ConnectionKey(0);
const TIMEOUT_MICROS: Micros = 80_000_000;
const SCRATCH_BYTES: usize = 64 << 10;
/// Untouched memory. It is more than what other tests of the process, which runs them in parallel, allocate and free.
const BALLAST_BYTES: usize = 64 << 20;
/// As many connections as leave only a minimum of the limit to be shared.
const MANY: ConnectionCounts = ConnectionCounts { clients: 1 << 20, databases: 1 << 20 };
/// How often the pool is served before nothing more is expected.
const ROUNDS: usize = 8;

static BALLAST: OnceLock<Vec<u8>> = OnceLock::new();

/// The attempt, and what was forwarded to its client.
pub(super) struct TestAttempt {
    pub(super) fixture: Fixture,
    pub(super) database: TcpStream,
    attempt: AttemptId,
    /// The announced length of a value that is being streamed.
    pub(super) streamed_length: Option<usize>,
    pub(super) forwarded: Vec<u8>,
    pub(super) answer: Option<Answer>,
    pub(super) stream_aborted: bool,
}

impl TestAttempt {
    /// Sends a client's statement to the database.
    pub(super) fn start(class: ClassId) -> TestAttempt {
        let mut fixture = Fixture::new();
        fixture.context.scratch = vec![0; SCRATCH_BYTES];
        let text = match class {
            WRITES => {
                r"INSERT INTO rows (handle, blob) VALUES ('k', '\x00') RETURNING blob /* id=01,c=entry,d=80000,cluster=0 */"
            }
            _ => "SELECT blob FROM rows WHERE handle = 'k' /* id=01,c=look,d=80000,cluster=0 */",
        };
        let statement = Rc::new(Statement::parse(text.as_bytes().to_vec()).unwrap());
        let request = RoutingRequest {
            class,
            group: GroupId(0),
            session: None,
            read_after_position: None,
            timeout: TIMEOUT_MICROS,
        };
        let now = fixture.context.now;
        fixture.context.core.request(now, ClientKey(0), request, statement);
        let mut started = None;
        while let Some(command) = fixture.context.core.next_command() {
            if let Command::StartAttempt { attempt, server, payload, deadline, from_copy } = command {
                started = Some(attempt);
                fixture.pool.start_attempt(
                    &mut fixture.context,
                    attempt,
                    server,
                    payload,
                    deadline,
                    from_copy,
                );
            }
        }
        let mut database = fixture.accept();
        while fixture.pool.connections[KEY].query != QueryProgress::Written {
            fixture.serve();
        }
        let _ = database.read(&mut [0; 1024]).unwrap();
        database.set_nodelay(true).unwrap();
        TestAttempt {
            fixture,
            database,
            attempt: started.unwrap(),
            streamed_length: None,
            forwarded: Vec::new(),
            answer: None,
            stream_aborted: false,
        }
    }

    /// Lowers the limit so that memory is short, but not exhausted.
    pub(super) fn make_memory_short(&mut self) {
        BALLAST.get_or_init(|| vec![0; BALLAST_BYTES]);
        self.fixture.context.memory.configure(2 * allocated_bytes(), 1, MANY);
        assert!(self.fixture.context.memory.is_under_pressure());
        assert!(!self.fixture.context.memory.is_exhausted());
    }

    pub(super) fn end_shortage(&mut self) {
        self.fixture.context.memory.configure(usize::MAX, 1, ConnectionCounts::default());
    }

    /// Writes bytes as the database, and serves the pool until nothing more is expected.
    pub(super) fn receive(&mut self, bytes: &[u8]) {
        self.database.write_all(bytes).unwrap();
        self.serve();
    }

    pub(super) fn serve(&mut self) {
        for _ in 0..ROUNDS {
            self.fixture.serve();
            self.fixture.pool.continue_deferred_replies(&mut self.fixture.context);
            self.execute_commands();
        }
    }

    /// Records what is forwarded to the client, which takes it at once.
    fn execute_commands(&mut self) {
        while let Some(command) = self.fixture.context.core.next_command() {
            match command {
                Command::BeginStream { length, .. } => self.streamed_length = Some(length),
                Command::StreamChunk { bytes, .. } => {
                    self.forwarded.extend(bytes);
                    self.fixture.pool.resume_reading(&mut self.fixture.context, self.attempt);
                }
                Command::AbortStream { .. } => self.stream_aborted = true,
                Command::Answer { answer, .. } => self.answer = Some(answer),
                _ => {}
            }
        }
    }

    /// Lets the deadline of the attempt pass.
    pub(super) fn time_out(&mut self) {
        self.fixture.context.now += TIMEOUT_MICROS;
        self.fixture.pool.attempt_timed_out(&mut self.fixture.context, self.attempt);
        self.execute_commands();
    }

    /// Lets time pass, and closes connections that have expired.
    pub(super) fn pass_time(&mut self, micros: Micros) {
        self.fixture.context.now += micros;
        self.fixture.pool.close_expired(&mut self.fixture.context);
        self.execute_commands();
    }

    /// Checks that a part of the value was forwarded, and that the request has no final answer.
    pub(super) fn check_open(&self) {
        assert!(!self.forwarded.is_empty());
        assert_eq!(self.answer, None);
        assert!(!self.stream_aborted);
    }

    pub(super) fn check_nothing_forwarded(&self, what: &str) {
        assert_eq!(self.streamed_length, None, "{what}");
        assert_eq!(self.answer, None, "{what}");
        assert!(!self.stream_aborted, "{what}");
    }
}

/// Returns a value whose bytes differ from their neighbours.
pub(super) fn value(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index % 251) as u8).collect()
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap();
    [&[tag], &length.to_be_bytes()[..], body].concat()
}

/// The description and the row of a reply with this value.
pub(super) fn row(value: &[u8]) -> Vec<u8> {
    let description = [&[0, 1], &b"blob\0"[..], &[0; 16], &[0, 1]].concat();
    let length = u32::try_from(value.len()).unwrap();
    let row = [&[0, 1], &length.to_be_bytes()[..], value].concat();
    [message(b'T', &description), message(b'D', &row)].concat()
}

/// The end of a successful reply.
pub(super) fn end() -> Vec<u8> {
    let messages = [
        message(b'C', b"SELECT 1\0"),
        message(b'S', b"server_role\0writer\0"),
        message(b'N', b"SNOTICE\0\0"),
        message(b'Z', b"I"),
    ];
    messages.concat()
}
