//! A client that sends many requests and reads no response.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::rig::Rig;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

const VALUE_BYTES: usize = 30_000;
/// The total size of the responses is many times the size of the socket buffers.
const UNREAD_REQUESTS: u32 = 1_000;
const READ_INTERVAL: Duration = Duration::from_millis(50);
const MAX_MEMORY_KIB: u64 = 64 << 10;
const PROTOCOL_VERSION: u32 = 196_608;
const STARTUP_PARAMETERS: &[u8] = b"user\0api\0database\0ledger\0\0";
const LENGTH_BYTES: u32 = 4;

/// The proxy limits the memory that it uses for the client's responses, serves other clients meanwhile, and closes the client's
/// connection after a time in which the client has read nothing.
#[test]
fn a_client_that_reads_nothing_is_closed_while_other_clients_are_served() {
    // Given a long value, and a client that requests it repeatedly without reading a response.
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("slow_reader");
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(1, [127, 88, 221, 1], program, &folder).unwrap();
    let process = rig.start(1, None, None).unwrap();
    let address = process.client_address().unwrap();
    let mut other_client = Client::connect(address).unwrap();
    let written = other_client.write_key("file-entry", 0, "long", &"ab".repeat(VALUE_BYTES), 3000).unwrap();
    assert!(matches!(written, Reply::Served(_)), "{written:?}");
    let _slow_client = send_unread_requests(address);

    // Then another client is served until the proxy closes the slow client's connection.
    while process.find_log_line(&["conn=client", "reason=unresponsive"]).is_none() {
        let served = other_client.read_key("tariff-lookup", 0, "long", 2500, None).unwrap();
        assert!(matches!(served, Reply::Served(_)), "{served:?}");
        std::thread::sleep(READ_INTERVAL);
    }

    // And the memory of the proxy stays below the limit in spite of the unread responses.
    let memory_kib = process.resident_memory_kib();
    assert!(memory_kib.is_some_and(|kib| kib < MAX_MEMORY_KIB), "{memory_kib:?} KiB");
}

/// Connects and sends requests for the long value. Returns the connection, from which nothing is read.
fn send_unread_requests(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&startup_message()).unwrap();
    for id in 0..UNREAD_REQUESTS {
        let text = format!(
            "SELECT blob FROM rows WHERE handle = 'long' /* id=f{id:08x},c=tariff-lookup,d=2500,cluster=0 */\0"
        );
        stream.write_all(&query_message(&text)).unwrap();
    }
    stream
}

fn startup_message() -> Vec<u8> {
    let body = [&PROTOCOL_VERSION.to_be_bytes(), STARTUP_PARAMETERS].concat();
    [&message_length(&body), &body[..]].concat()
}

/// Returns a `Query` message. `text` has to end with a zero byte.
fn query_message(text: &str) -> Vec<u8> {
    [b"Q", &message_length(text.as_bytes())[..], text.as_bytes()].concat()
}

/// Returns the length field of a message. The length includes the field itself.
fn message_length(body: &[u8]) -> [u8; LENGTH_BYTES as usize] {
    (body.len() as u32 + LENGTH_BYTES).to_be_bytes()
}
