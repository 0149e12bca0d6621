//! A client for the gRPC health service. It uses h2's client on a loopback socket and polls it without an async runtime.

use birchreach_test_support::process::MAX_WAIT;
use bytes::Bytes;
use h2::RecvStream;
use h2::client::{Connection, SendRequest};
use http::{HeaderMap, Request};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The content type of gRPC requests and responses.
pub(crate) const CONTENT_TYPE: &str = "application/grpc";

/// The gRPC status code of a successful call, as it appears in trailers.
const OK: &str = "0";

/// A nonblocking socket. It never wakes its task: the client polls it in a loop.
struct Socket(TcpStream);

/// Converts the result of a nonblocking read or write; `WouldBlock` becomes `Pending`.
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

/// The headers of a response, and the body from which the messages and trailers are read as they arrive.
pub(crate) struct RpcResponse {
    headers: HeaderMap,
    body: RecvStream,
}

impl RpcResponse {
    /// Returns the gRPC status code in the headers. Only a response without messages has the code there; otherwise it is in the trailers.
    pub(crate) fn status_code(&self) -> Option<&str> {
        self.headers.get("grpc-status").map(|code| code.to_str().unwrap())
    }
}

/// A client with one connection. The connection makes progress only while a method of the client runs.
pub(crate) struct Client {
    request_sender: SendRequest<Bytes>,
    connection: Connection<Socket>,
}

impl Client {
    /// Connects and completes the handshake.
    pub(crate) fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        let mut handshake = pin!(h2::client::handshake(Socket(stream)));
        let (request_sender, connection) = wait(|context| handshake.as_mut().poll(context)).unwrap();
        Client { request_sender, connection }
    }

    /// Polls `poll` and the connection until `poll` is ready.
    fn wait<T>(&mut self, mut poll: impl FnMut(&mut Context) -> Poll<T>) -> T {
        wait(|context| {
            let _ = Pin::new(&mut self.connection).poll(context);
            poll(context)
        })
    }

    /// Calls a method with a message and waits for the headers of the response.
    pub(crate) fn call(&mut self, method: &str, message: &[u8], content_type: &str) -> RpcResponse {
        let request = Request::post(format!("http://proxy/grpc.health.v1.Health/{method}"))
            .header("content-type", content_type)
            .header("te", "trailers")
            .body(())
            .unwrap();
        let (mut response, mut body) = self.request_sender.send_request(request, false).unwrap();
        body.send_data(frame(message).into(), true).unwrap();
        let response = self.wait(|context| Pin::new(&mut response).poll(context)).unwrap();
        let (head, body) = response.into_parts();
        RpcResponse { headers: head.headers, body }
    }

    /// Returns the serving status of a service, or the gRPC status code as the error if the call fails.
    pub(crate) fn check(&mut self, service: &str) -> Result<u8, String> {
        let mut response = self.call("Check", &request_for(service), CONTENT_TYPE);
        if let Some(code) = response.status_code() {
            return Err(code.into());
        }
        let status = self.next(&mut response).unwrap();
        let trailers = self.wait(|context| response.body.poll_trailers(context)).unwrap().unwrap();
        assert_eq!(trailers["grpc-status"], OK);
        Ok(status)
    }

    /// Returns the serving status in the next message of a response, or `None` if the response has ended.
    pub(crate) fn next(&mut self, response: &mut RpcResponse) -> Option<u8> {
        let body = &mut response.body;
        let bytes = self.wait(|context| body.poll_data(context))?.unwrap();
        body.flow_control().release_capacity(bytes.len()).unwrap();
        assert_eq!(bytes[..6], [0, 0, 0, 0, 2, 8], "one message with one field");
        Some(bytes[6])
    }

    /// Sends no request for the time `span`, but answers pings.
    pub(crate) fn stay_idle(&mut self, span: Duration) {
        let idle_since = Instant::now();
        while idle_since.elapsed() < span {
            let _ = Pin::new(&mut self.connection).poll(&mut Context::from_waker(Waker::noop()));
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Returns an uncompressed message with its prefix of compression flag and length.
fn frame(message: &[u8]) -> Vec<u8> {
    let length = (message.len() as u32).to_be_bytes();
    [&[0], &length[..], message].concat()
}

/// Returns the request message that names a service.
pub(crate) fn request_for(service: &str) -> Vec<u8> {
    [&[10, service.len() as u8], service.as_bytes()].concat()
}

/// Polls until the result is ready. Panics after [`MAX_WAIT`].
fn wait<T>(mut poll: impl FnMut(&mut Context) -> Poll<T>) -> T {
    let start = Instant::now();
    let mut context = Context::from_waker(Waker::noop());
    loop {
        if let Poll::Ready(value) = poll(&mut context) {
            return value;
        }
        assert!(start.elapsed() < MAX_WAIT, "no response within {MAX_WAIT:?}");
        thread::sleep(Duration::from_millis(1));
    }
}
