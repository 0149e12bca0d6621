//! HTTP check connections: valid and invalid requests, clients that don't read, and damaged input.

use crate::support::{MILLISECOND, SimulatedProxy, simulated_proxy};
use birchreach_health::HealthSettings;
use birchreach_health::agent::AgentCheckConnection;
use birchreach_health::http::{HttpCheckConnection, MAX_PENDING_OUTPUT_BYTES};

/// Creates a proxy with two groups. The first has a proven primary.
fn healthy_proxy() -> SimulatedProxy {
    let mut proxy = simulated_proxy(2, HealthSettings::default());
    proxy.write(0, MILLISECOND);
    proxy.advance(50 * MILLISECOND, |_| None);
    proxy
}

#[test]
fn each_method_gets_its_response() {
    // Given a healthy proxy
    let proxy = healthy_proxy();
    // When a client requests a capability, then the response has the expected headers
    let ready = proxy.http_get("/ready");
    for part in ["HTTP/1.1 200 OK\r\n", "Cache-Control: no-store\r\n", "Content-Type: application/json\r\n"] {
        assert!(ready.contains(part), "{ready}");
    }
    // When a client requests the report, then it contains the state and the names of servers
    let report = proxy.http_get("/health");
    let body: serde_json::Value = serde_json::from_str(report.split("\r\n\r\n").nth(1).unwrap()).unwrap();
    assert_eq!((&body["state"], &body["groups"][0]["primary"]), (&"ready".into(), &"s-0".into()));
    assert_eq!(body["classes"][0]["class"], "file-entry");
    // When a client sends HEAD, then the response has no body
    let head = proxy.http_exchange("HEAD /ready HTTP/1.1\r\nHost: p\r\n\r\n");
    assert!(head.ends_with("\r\n\r\n") && head.contains("Content-Length: ") && !head.contains("Length: 0"));
    // When a client sends OPTIONS, then the response lists the methods
    assert!(
        proxy.http_exchange("OPTIONS * HTTP/1.1\r\nHost: p\r\n\r\n").contains("Allow: GET, HEAD, OPTIONS")
    );
}

#[test]
fn pipelined_requests_are_answered_in_order_until_the_connection_closes() {
    // Given a healthy proxy
    let proxy = healthy_proxy();
    // When requests are pipelined, then they are answered in order up to the request that closes the connection
    let piped = proxy.http_exchange(
        "GET /live HTTP/1.1\r\nHost: p\r\nContent-Length: 3\r\n\r\nabcGET /x HTTP/1.1\r\nHost: p\r\n\r\n\
         GET /ready HTTP/1.0\r\n\r\nGET /live HTTP/1.1\r\nHost: p\r\n\r\n",
    );
    let statuses: Vec<&str> = piped.split("HTTP/1.1 ").skip(1).map(|response| &response[..3]).collect();
    assert_eq!(statuses, ["200", "404", "200"], "no response may follow the one that closes the connection");
    assert!(piped.contains("Connection: close"));
}

#[test]
fn each_request_gets_the_expected_status() {
    // Given a healthy proxy
    let proxy = healthy_proxy();
    // When a request is sent, then the status is 200, or states why the request is invalid or its resource unknown
    for (request, status) in [
        ("POST /ready HTTP/1.1\r\nHost: p\r\n\r\n", 405),
        ("GET /ready HTTP/1.1\r\n\r\n", 400),
        ("GET /ready HTTP/1.1\r\nHost: p\r\nHost: q\r\n\r\n", 400),
        ("GET /ready HTTP/3.0\r\nHost: p\r\n\r\n", 505),
        ("GET /ready HTTP/1.1\r\nHost: p\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        ("GET /ready HTTP/1.1\r\nHost: p\r\nContent-Length: x\r\n\r\n", 400),
        ("GET /ready HTTP/1.1\r\nHost: p\r\nContent-Length: 99999\r\n\r\n", 413),
        ("GET /ready HTTP/1.1\r\nHost: p\r\nTransfer-Encoding: chunked\r\n\r\n", 501),
        (&format!("GET /{} HTTP/1.1\r\nHost: p\r\n\r\n", "x".repeat(2000)), 414),
        (&format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(100)), 431),
        (&format!("GET / HTTP/1.1\r\nHost: {}", "x".repeat(9000)), 431),
        ("\u{16}\u{3}\u{1}\u{2}\0\u{1}\0\u{1}", 400),
        ("up\r\n\r\n", 400),
        ("GET /class/none HTTP/1.1\r\nHost: p\r\n\r\n", 404),
        ("GET /group/7/read HTTP/1.1\r\nHost: p\r\n\r\n", 404),
        ("GET /class/file%2Dentry HTTP/1.1\r\nHost: p\r\n\r\n", 200),
    ] {
        let response = proxy.http_exchange(request);
        assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{request:?}: {response}");
    }
    // When a request is incomplete, then it gets no response yet
    assert_eq!(proxy.http_exchange("GET /live HTTP/1.1\r\nHo"), "", "an incomplete request got a response");
}

#[test]
fn output_is_bounded_if_the_client_does_not_read() {
    // Given a client that sends requests and doesn't read responses
    let proxy = simulated_proxy(1, HealthSettings::default());
    let mut connection = HttpCheckConnection::default();
    let request = b"GET /health HTTP/1.1\r\nHost: p\r\n\r\n";
    while connection.wants_input() {
        connection.feed(request);
        connection.process(proxy.now, proxy.monitor.verdict(), &|_| String::new());
    }
    // Then the output is bounded
    assert!(connection.output.len() < MAX_PENDING_OUTPUT_BYTES + 4096, "{}", connection.output.len());
    // When the client reads the output, then the waiting requests are answered
    let answered = connection.requests_answered();
    connection.output_written(connection.output.len());
    connection.process(proxy.now, proxy.monitor.verdict(), &|_| String::new());
    assert!(connection.requests_answered() > answered);
}

/// Damaged requests must not cause a panic or unbounded output. Whether they get a response depends on the damage.
#[test]
fn damaged_requests_cause_no_panic_and_bounded_output() {
    // Given three pipelined requests
    let proxy = simulated_proxy(1, HealthSettings::default());
    let request = b"GET /class/file-entry HTTP/1.1\r\nHost: p\r\nConnection: keep-alive\r\n\r\n";
    for seed in 0..5_000 {
        // When bytes are changed, cut off or inserted, and the input arrives in pieces
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes: Vec<u8> = request.repeat(3);
        for _ in 0..rng.usize(0..6) {
            let at = rng.usize(0..bytes.len());
            match rng.u8(0..3) {
                0 => bytes[at] = rng.u8(..),
                1 => bytes.truncate(at.max(1)),
                _ => bytes.splice(at..at, (0..rng.usize(0..200)).map(|_| b'x')).for_each(drop),
            }
        }
        let (mut connection, mut line) = (HttpCheckConnection::default(), AgentCheckConnection::default());
        for piece in bytes.chunks(rng.usize(1..64)) {
            connection.feed(piece);
            connection.process(proxy.now, proxy.monitor.verdict(), &|_| String::new());
            let _ = line.feed(piece);
        }
        let _ = line.input_ended();
        // Then the output is bounded
        assert!(connection.output.len() < 4096);
    }
}
