//! gRPC health on a real process, with h2's client polled by hand over a loopback socket.

use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::rig::Rig;
use bytes::Bytes;
use h2::RecvStream;
use h2::client::{Connection, SendRequest};
use http::{HeaderMap, Request};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The content type of gRPC's messages.
const CONTENT_TYPE: &str = "application/grpc";

/// Serving statuses in the protocol's answers.
const SERVING: u8 = 1;
const NOT_SERVING: u8 = 2;
const SERVICE_UNKNOWN: u8 = 3;

/// gRPC's status codes, as headers have them.
const OK: &str = "0";
const INVALID_ARGUMENT: &str = "3";
const NOT_FOUND: &str = "5";
const RESOURCE_EXHAUSTED: &str = "8";
const UNIMPLEMENTED: &str = "12";

/// A nonblocking socket, polled again and again.
struct Socket(TcpStream);

/// Pending, where nothing can be read or written now.
fn to_poll<T>(result: std::io::Result<T>) -> Poll<std::io::Result<T>> {
    match result {
        Err(error) if error.kind() == ErrorKind::WouldBlock => Poll::Pending,
        other => Poll::Ready(other),
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<std::io::Result<()>> {
        let mut bytes = vec![0; buffer.remaining().min(4096)];
        to_poll(self.0.read(&mut bytes)).map(|read| read.map(|length| buffer.put_slice(&bytes[..length])))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context, bytes: &[u8]) -> Poll<std::io::Result<usize>> {
        to_poll(self.0.write(bytes))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// The start of a response, whose messages and trailers are read as they come.
struct RpcResponse {
    headers: HeaderMap,
    body: RecvStream,
}

impl RpcResponse {
    /// gRPC's status code in the headers, which a response without messages has there.
    fn status_code(&self) -> Option<&str> {
        self.headers.get("grpc-status").map(|code| code.to_str().unwrap())
    }
}

/// A client with one connection, which makes progress only while the client waits.
struct Client {
    request_sender: SendRequest<Bytes>,
    connection: Connection<Socket>,
}

impl Client {
    /// Connects and completes the handshake.
    fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        let mut handshake = pin!(h2::client::handshake(Socket(stream)));
        let (request_sender, connection) = wait(|context| handshake.as_mut().poll(context)).unwrap();
        Client { request_sender, connection }
    }

    /// Polls until it is ready, and the connection meanwhile.
    fn wait<T>(&mut self, mut poll: impl FnMut(&mut Context) -> Poll<T>) -> T {
        wait(|context| {
            let _ = Pin::new(&mut self.connection).poll(context);
            poll(context)
        })
    }

    /// Sends a message to a method and waits for the start of the response.
    fn call(&mut self, method: &str, message: &[u8], content_type: &str) -> RpcResponse {
        let request = Request::post(format!("http://proxy/grpc.health.v1.Health/{method}"))
            .header("content-type", content_type)
            .header("te", "trailers")
            .body(())
            .unwrap();
        let (mut reply, mut body) = self.request_sender.send_request(request, false).unwrap();
        body.send_data(frame(message).into(), true).unwrap();
        let response = self.wait(|context| Pin::new(&mut reply).poll(context)).unwrap();
        let (head, body) = response.into_parts();
        RpcResponse { headers: head.headers, body }
    }

    /// The serving status of a service, or gRPC's status code if there is none.
    fn check(&mut self, service: &str) -> Result<u8, String> {
        let mut response = self.call("Check", &request_for(service), CONTENT_TYPE);
        if let Some(code) = response.status_code() {
            return Err(code.into());
        }
        let status = self.next(&mut response).unwrap();
        let trailers = self.wait(|context| response.body.poll_trailers(context)).unwrap().unwrap();
        assert_eq!(trailers["grpc-status"], OK);
        Ok(status)
    }

    /// The serving status in the next message of a response.
    fn next(&mut self, response: &mut RpcResponse) -> Option<u8> {
        let body = &mut response.body;
        let bytes = self.wait(|context| body.poll_data(context))?.unwrap();
        body.flow_control().release_capacity(bytes.len()).unwrap();
        assert_eq!(bytes[..6], [0, 0, 0, 0, 2, 8], "one message with one field");
        Some(bytes[6])
    }

    /// Sends no request for this time, but answers pings.
    fn stay_idle(&mut self, span: Duration) {
        let idle_since = Instant::now();
        while idle_since.elapsed() < span {
            let _ = Pin::new(&mut self.connection).poll(&mut Context::from_waker(Waker::noop()));
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// An uncompressed message with its length.
fn frame(message: &[u8]) -> Vec<u8> {
    let length = (message.len() as u32).to_be_bytes();
    [&[0], &length[..], message].concat()
}

/// A request message for a service.
fn request_for(service: &str) -> Vec<u8> {
    [&[10, service.len() as u8], service.as_bytes()].concat()
}

/// Polls until it is ready.
fn wait<T>(mut poll: impl FnMut(&mut Context) -> Poll<T>) -> T {
    let start = Instant::now();
    let mut context = Context::from_waker(Waker::noop());
    loop {
        if let Poll::Ready(value) = poll(&mut context) {
            return value;
        }
        assert!(start.elapsed() < MAX_WAIT, "no reply");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Calls that are invalid or name something unknown get their status code.
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

/// Sends what is no gRPC, and waits for each connection to be closed.
fn send_noise(address: SocketAddr) {
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff", b""] {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    }
}

/// Starts a proxy with a gRPC listener that closes idle connections soon.
fn start_proxy(rig: &Rig) -> Process {
    let options = format!(
        "<birchreach-options><health><grpc listen='{}:0' callers='8' idle-ms='600'/>\
         <probes every-ms='500' suspect-ms='300' timeout-ms='400'/></health></birchreach-options>",
        rig.loopback_address()
    );
    rig.start(1, Some(&options), None).unwrap()
}

/// Waits until a service is serving.
fn wait_until_serving(client: &mut Client, service: &str) {
    let start = Instant::now();
    while client.check(service) != Ok(SERVING) {
        assert!(start.elapsed() < MAX_WAIT);
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn checks_and_watches_report_the_verdict() {
    // Given a proxy with two healthy groups
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("grpc");
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(2, [127, 88, 100, 1], program, &folder).unwrap();
    let proxy = start_proxy(&rig);
    let address = proxy.check_address("grpc").unwrap();
    let mut client = Client::connect(address);
    wait_until_serving(&mut client, "file-entry");
    // Then every service is serving, and invalid calls get their status code
    for service in ["", "group=1 write", "tariff-lookup", "file-entry group=0"] {
        assert_eq!(client.check(service), Ok(SERVING), "{service}");
    }
    check_invalid_calls(&mut client);
    // When other connections send noise or nothing, or end, then they are closed
    send_noise(address);
    // And the first one was idle for too long meanwhile, so a new one is opened
    let mut client = Client::connect(address);
    assert_eq!(client.check("file-entry"), Ok(SERVING));
    // Given watches on a connection, when it is idle for longer than the limit, then pings keep it open
    let mut watch = client.call("Watch", &request_for("group=1 write"), CONTENT_TYPE);
    assert_eq!(client.next(&mut watch), Some(SERVING));
    let mut unknown = client.call("Watch", &request_for("none"), CONTENT_TYPE);
    assert_eq!(client.next(&mut unknown), Some(SERVICE_UNKNOWN));
    client.stay_idle(Duration::from_millis(1500));
    // When the primary stops responding, responds again, and the proxy shuts down, then the watch is sent each change
    rig.groups[1].primary.set_hung(true);
    assert_eq!(client.next(&mut watch), Some(NOT_SERVING));
    rig.groups[1].primary.set_hung(false);
    assert_eq!(client.next(&mut watch), Some(SERVING));
    proxy.signal("TERM");
    assert_eq!(client.next(&mut watch), Some(NOT_SERVING));
    assert_eq!(client.check("file-entry"), Ok(NOT_SERVING));
}
