//! Calls the gRPC health service of a proxy process.

mod client;

use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::rig::Rig;
use client::{CONTENT_TYPE, Client, request_for};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Serving statuses in the responses of the health service.
const SERVING: u8 = 1;
const NOT_SERVING: u8 = 2;
const SERVICE_UNKNOWN: u8 = 3;

/// gRPC status codes, as they appear in headers.
const INVALID_ARGUMENT: &str = "3";
const NOT_FOUND: &str = "5";
const RESOURCE_EXHAUSTED: &str = "8";
const UNIMPLEMENTED: &str = "12";

/// The proxy closes a connection after this time without a request if the client does not answer its pings. A test that stalls
/// for half of this time loses its connection.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// Checks that invalid calls and calls that name an unknown service or method fail with the right status code.
fn check_invalid_calls(client: &mut Client) {
    assert_eq!(client.check("none"), Err(NOT_FOUND.into()));
    let response = client.call("List", &[], CONTENT_TYPE);
    assert_eq!(response.status_code(), Some(UNIMPLEMENTED));
    let response = client.call("Check", &[0xff; 9], CONTENT_TYPE);
    assert_eq!(response.status_code(), Some(INVALID_ARGUMENT));
    let response = client.call("Check", &request_for("x").repeat(700), CONTENT_TYPE);
    assert_eq!(response.status_code(), Some(RESOURCE_EXHAUSTED));
    let response = client.call("Check", &request_for(""), "text/plain");
    assert!(response.status_code().is_none());
}

/// Sends bytes that are not gRPC, and waits until the proxy has closed each connection.
fn send_invalid_bytes(address: SocketAddr) {
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff", b""] {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    }
}

/// Starts a proxy with a gRPC listener that closes idle connections after [`IDLE_LIMIT`].
fn start_proxy(rig: &Rig) -> Process {
    let options = format!(
        "<birchreach-options><health><grpc listen='{}:0' callers='8' idle-ms='{}'/>\
         <probes every-ms='500' suspect-ms='300' timeout-ms='400'/></health></birchreach-options>",
        rig.loopback_address(),
        IDLE_LIMIT.as_millis()
    );
    rig.start(1, Some(&options), None).unwrap()
}

fn wait_until_serving(client: &mut Client, service: &str) {
    let start = Instant::now();
    while client.check(service) != Ok(SERVING) {
        assert!(start.elapsed() < MAX_WAIT);
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn check_and_watch_report_the_serving_status() {
    // Given a proxy with two healthy groups
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("grpc");
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(2, [127, 88, 100, 1], program, &folder).unwrap();
    let proxy = start_proxy(&rig);
    let address = proxy.check_address("grpc").unwrap();
    let mut client = Client::connect(address);
    wait_until_serving(&mut client, "file-entry");
    // Then every service is serving, and invalid calls fail with the right status code
    for service in ["", "group=1 write", "tariff-lookup", "file-entry group=0"] {
        assert_eq!(client.check(service), Ok(SERVING), "{service}");
    }
    check_invalid_calls(&mut client);
    // When other connections send invalid bytes or nothing, then the proxy closes them
    send_invalid_bytes(address);
    // And the first connection was idle for too long meanwhile, so the test opens another one
    let mut client = Client::connect(address);
    assert_eq!(client.check("file-entry"), Ok(SERVING));
    // Given watches on a connection, when the connection is idle for longer than the limit, then answered pings keep it open
    let mut watch = client.call("Watch", &request_for("group=1 write"), CONTENT_TYPE);
    assert_eq!(client.next(&mut watch), Some(SERVING));
    let mut unknown = client.call("Watch", &request_for("none"), CONTENT_TYPE);
    assert_eq!(client.next(&mut unknown), Some(SERVICE_UNKNOWN));
    client.stay_idle(IDLE_LIMIT * 5 / 2);
    // When the primary stops responding, responds again, and the proxy shuts down, then the watch reports each change
    rig.groups[1].primary.set_hung(true);
    assert_eq!(client.next(&mut watch), Some(NOT_SERVING));
    rig.groups[1].primary.set_hung(false);
    assert_eq!(client.next(&mut watch), Some(SERVING));
    proxy.signal("TERM");
    assert_eq!(client.next(&mut watch), Some(NOT_SERVING));
    assert_eq!(client.check("file-entry"), Ok(NOT_SERVING));
}
