//! Queries that wait until their connection is established or takes more bytes, while what they depend on changes.

use super::super::test_context::event_loop_context;
use super::connection::QueryProgress;
use super::*;
use crate::background_query::BackgroundQueryId;
use crate::core::{ClientKey, Command, RoutingRequest};
use crate::memory::ConnectionCounts;
use crate::pg::statement::Statement;
use birchreach::{AttemptOutcome, ClassId, GroupId, RequestId};
use mio::Events;
use serde_json::Value as Json;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The number of the class of writes in the configuration.
const WRITES: ClassId = ClassId(1);
const TIMEOUT_MICROS: Micros = 80_000_000;
/// The size of socket buffers into which a statement with a value of [`VALUE_BYTES`] does not fit.
const SMALL_BUFFER_BYTES: usize = 16 << 10;
/// The number of bytes of the largest value that a client may write.
const VALUE_BYTES: usize = 64 << 10;
/// The answer to a startup message: AuthenticationOk and ReadyForQuery.
const STARTUP_REPLY: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";
const MAX_WAIT: Duration = Duration::from_secs(20);

/// A pool with one database, the primary of group 0, which the test plays.
pub(super) struct Fixture {
    pub(super) context: EventLoopContext,
    pub(super) pool: Pool,
    database: TcpListener,
}

impl Fixture {
    /// Creates a pool with the settings of the exchanges, in which attempts cannot be cancelled.
    pub(super) fn new() -> Fixture {
        let config = include_str!("../../../tests/exchanges/config.json");
        let config = config.replace(r#""may_cancel": true"#, r#""may_cancel": false"#);
        let config: Json = serde_json::from_str(&config).unwrap();
        let settings = birchreach_settings::from_value(&config["settings"]).unwrap();
        let context = event_loop_context(&settings, SMALL_BUFFER_BYTES);
        let database = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut fixture = Fixture { context, pool: Pool::new(&settings, 8), database };
        fixture.list_database("up");
        fixture
    }

    /// Applies an endpoint list in which the database has this state.
    fn list_database(&mut self, state: &str) {
        let address = self.database.local_addr().unwrap();
        let list = format!(
            r#"{{"rev": 1, "all": false, "targets": [{{"uid": "s-p", "endpoint": "{address}", "state": "{state}", "access": "writer"}}]}}"#
        );
        let update = serde_json::from_str(&list).unwrap();
        self.context.core.update_endpoints(self.context.now, update);
    }

    /// Accepts the pool's connection and answers its startup message.
    pub(super) fn accept(&mut self) -> TcpStream {
        let (mut stream, _) = self.database.accept().unwrap();
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        stream.set_nonblocking(true).unwrap();
        let mut length = [0; 4];
        self.serve_until(|| stream.peek(&mut length).is_ok_and(|bytes| bytes == length.len()));
        stream.set_nonblocking(false).unwrap();
        let mut startup = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut startup).unwrap();
        stream.write_all(STARTUP_REPLY).unwrap();
        stream
    }

    /// Serves the pool's connections until the condition holds.
    fn serve_until(&mut self, mut holds: impl FnMut() -> bool) {
        while !holds() {
            self.serve();
        }
    }

    /// Serves the pool's connections that become ready within a moment.
    pub(super) fn serve(&mut self) {
        let mut events = Events::with_capacity(8);
        self.context.poll.poll(&mut events, Some(Duration::from_millis(5))).unwrap();
        for _ in events.iter() {
            self.pool.handle_ready(&mut self.context, ConnectionKey(0));
        }
    }

    /// Starts the attempt of a client's write.
    fn start_write(&mut self) -> RequestId {
        let text = format!(
            r"INSERT INTO rows (handle, blob) VALUES ('k', '\x{}') RETURNING blob /* id=01,c=entry,d=80000,cluster=0 */",
            "00".repeat(VALUE_BYTES)
        );
        let statement = Rc::new(Statement::parse(text.into_bytes()).unwrap());
        let request = RoutingRequest {
            class: WRITES,
            group: GroupId(0),
            session: None,
            read_after_position: None,
            timeout: TIMEOUT_MICROS,
        };
        let id = self.context.core.request(self.context.now, ClientKey(0), request, statement);
        while let Some(command) = self.context.core.next_command() {
            if let Command::StartAttempt { attempt, server, payload, deadline, from_copy } = command {
                self.pool.start_attempt(&mut self.context, attempt, server, payload, deadline, from_copy);
            }
        }
        id
    }
}

/// Reads everything up to the end of the connection.
fn read_to_end(stream: &mut TcpStream) -> usize {
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    received.len()
}

/// A database executes a statement once its last byte has arrived, which may be long after the client has left.
#[test]
fn the_rest_of_a_statement_is_not_written_once_its_request_is_finished() {
    // Given a write that the socket has taken in part
    let mut fixture = Fixture::new();
    let request = fixture.start_write();
    socket2::SockRef::from(&fixture.database).set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    let stream = &fixture.pool.connections[ConnectionKey(0)].stream;
    socket2::SockRef::from(stream).set_send_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    let mut database = fixture.accept();
    while fixture.pool.connections[ConnectionKey(0)].query == QueryProgress::NotQueued {
        fixture.serve();
    }
    assert_eq!(fixture.pool.connections[ConnectionKey(0)].query, QueryProgress::Queued);
    // When the client disconnects, and the database then reads the statement
    fixture.context.core.client_disconnected(fixture.context.now, request);
    database.set_nonblocking(true).unwrap();
    let mut received = 0;
    let mut buffer = vec![0; SMALL_BUFFER_BYTES];
    while fixture.pool.connections.contains(ConnectionKey(0)) && received < 2 * VALUE_BYTES {
        received += database.read(&mut buffer).unwrap_or(0);
        fixture.serve();
    }
    database.set_nonblocking(false).unwrap();
    // Then the statement is incomplete at its end
    received += read_to_end(&mut database);
    assert!(received < 2 * VALUE_BYTES, "the database has received {received} bytes");
    assert_eq!(fixture.context.core.attempts_in_flight(), 0, "the attempt has its result");
}

/// Background work goes on for several statements, or waits for its connection, while its database begins to drain.
#[test]
fn no_background_statement_is_sent_to_a_database_that_has_begun_to_drain() {
    // Given background statements that wait for a connection
    let mut fixture = Fixture::new();
    let server = ServerId(0);
    let statements = vec![b"SELECT 1".to_vec(); 2];
    fixture.pool.start_background_query(&mut fixture.context, BackgroundQueryId(7), server, statements);
    // When the database begins to drain before the connection is established
    fixture.list_database("draining");
    let database = fixture.accept();
    while !fixture.pool.has_completed_queries() {
        fixture.serve();
        database.set_nonblocking(true).unwrap();
        let received = database.peek(&mut [0]).unwrap_or(0);
        assert_eq!(received, 0, "a statement was sent");
    }
    // Then no statement is sent
    let results = fixture.pool.take_completed_queries();
    assert_eq!(results[0].replies.last().unwrap().outcome, AttemptOutcome::NotSent);
    assert!(!results[0].complete);
}

/// Only rows can wait in the socket. Any other message is held until it is complete.
#[test]
fn a_database_cannot_make_the_process_hold_a_long_message_while_memory_is_exhausted() {
    // Given a write that has been sent, and a process without free memory
    let mut fixture = Fixture::new();
    fixture.start_write();
    let mut database = fixture.accept();
    while fixture.pool.connections[ConnectionKey(0)].query != QueryProgress::Written {
        fixture.serve();
        let _ = database.set_nonblocking(true);
        let _ = database.read(&mut [0; SMALL_BUFFER_BYTES]);
    }
    fixture.context.memory.configure(0, 1, ConnectionCounts::default());
    // When the database sends the beginning of a long notice
    let notice = [b"N", &60_000_u32.to_be_bytes()[..], &[b'x'; 20_000]].concat();
    database.set_nonblocking(false).unwrap();
    database.write_all(&notice).unwrap();
    // Then the connection is closed, and the attempt has its result
    while fixture.pool.connections.contains(ConnectionKey(0)) {
        fixture.serve();
    }
    assert_eq!(fixture.context.core.attempts_in_flight(), 0, "the attempt has its result");
}
