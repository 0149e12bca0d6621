//! gRPC health v1 (`Check` and `Watch`) as a machine fed bytes: h2 speaks HTTP/2 over a pipe in memory and is polled by
//! hand, so that there is one thread and one loop, and no runtime.
//!
//! It owns the framing, the streams of one connection and their bounds. Service names are the agent-check's words; what is
//! told is the verdict's. It never keeps a state that the peer did not read: of a watch, the newest one counts.

use birchreach_health::{HealthQuery, Verdict, agent};
use bytes::Bytes;
use h2::server::{Builder, Connection, Handshake, SendResponse};
use h2::{Ping, PingPong, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request, Response};
use prost::Message;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Calls and watches at once on a connection; their headers; their messages.
const STREAMS: u32 = 16;
const HEAD: u32 = 8 << 10;
const BODY: usize = 1 << 10;
/// Replies that wait to be read, and input that waits to be taken.
const AHEAD: usize = 16 << 10;
/// What is done for one connection in one turn.
const ROUNDS: usize = 32;

#[derive(Clone, PartialEq, Message)]
struct HealthCheckRequest {
    #[prost(string, tag = "1")]
    service: String,
}

#[derive(Clone, PartialEq, Message)]
struct HealthCheckResponse {
    #[prost(int32, tag = "1")]
    status: i32,
}

const SERVING: i32 = 1;
const NOT_SERVING: i32 = 2;
const SERVICE_UNKNOWN: i32 = 3;

/// gRPC's status codes.
const OK: u8 = 0;
const INVALID_ARGUMENT: u8 = 3;
const NOT_FOUND: u8 = 5;
const RESOURCE_EXHAUSTED: u8 = 8;
const UNIMPLEMENTED: u8 = 12;

/// Both directions of the connection, between the driver and h2.
#[derive(Default)]
struct Pipe {
    input: VecDeque<u8>,
    ended: bool,
    out: Vec<u8>,
}

/// h2's end of it.
struct End(Rc<RefCell<Pipe>>);

impl AsyncRead for End {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let mut pipe = self.0.borrow_mut();
        if pipe.input.is_empty() && !pipe.ended {
            return Poll::Pending;
        }
        let n = pipe.input.len().min(buf.remaining());
        pipe.input.drain(..n).for_each(|byte| buf.put_slice(&[byte]));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for End {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut pipe = self.0.borrow_mut();
        let room = AHEAD.saturating_sub(pipe.out.len()).min(bytes.len());
        if room == 0 && !bytes.is_empty() {
            return Poll::Pending;
        }
        pipe.out.extend_from_slice(&bytes[..room]);
        Poll::Ready(Ok(room))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

enum Stage {
    Greeting(Pin<Box<Handshake<End, Bytes>>>),
    Open(Box<Connection<End, Bytes>>, Option<PingPong>),
    Over,
}

enum Call {
    /// Its request is coming.
    Asking { watch: bool, body: RecvStream, got: Vec<u8>, respond: SendResponse<Bytes> },
    /// It hears of every change.
    Watching { question: HealthQuery, told: Option<i32>, send: SendStream<Bytes> },
}

/// A balancer's connection.
pub struct GrpcCheckConnection {
    pipe: Rc<RefCell<Pipe>>,
    stage: Stage,
    calls: Vec<Call>,
    /// Answers, changes and pongs: what shows that somebody is there.
    events: u64,
}

impl Default for GrpcCheckConnection {
    fn default() -> GrpcCheckConnection {
        let pipe = Rc::new(RefCell::new(Pipe::default()));
        let handshake = Builder::new()
            .max_concurrent_streams(STREAMS)
            .max_header_list_size(HEAD)
            .max_frame_size(16 << 10)
            .initial_window_size(BODY as u32 * 2)
            .initial_connection_window_size(16 << 10)
            .max_send_buffer_size(AHEAD)
            .max_concurrent_reset_streams(STREAMS as usize)
            .max_pending_accept_reset_streams(STREAMS as usize)
            .handshake(End(pipe.clone()));
        GrpcCheckConnection {
            pipe,
            stage: Stage::Greeting(Box::pin(handshake)),
            calls: Vec::new(),
            events: 0,
        }
    }
}

impl GrpcCheckConnection {
    /// More input may be read.
    pub fn hungry(&self) -> bool {
        self.pipe.borrow().input.len() < AHEAD
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.pipe.borrow_mut().input.extend(bytes);
    }

    /// The peer writes no more.
    pub fn ended(&mut self) {
        self.pipe.borrow_mut().ended = true;
    }

    /// What waits to be written; hand back what was not.
    pub fn take_out(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pipe.borrow_mut().out)
    }

    /// What of it could not be written.
    pub fn put_back(&mut self, rest: &[u8]) {
        self.pipe.borrow_mut().out.splice(..0, rest.iter().copied());
    }

    pub fn has_out(&self) -> bool {
        !self.pipe.borrow().out.is_empty()
    }

    pub fn over(&self) -> bool {
        matches!(self.stage, Stage::Over)
    }

    pub fn events(&self) -> u64 {
        self.events
    }

    /// Nothing is asked or watched just now.
    pub fn idle(&self) -> bool {
        matches!(self.stage, Stage::Open(..)) && self.calls.is_empty()
    }

    pub fn watches(&self) -> bool {
        self.calls.iter().any(|call| matches!(call, Call::Watching { .. }))
    }

    /// Asks whether the peer is still there; its answer counts among the events.
    pub fn ping(&mut self) {
        if let Stage::Open(_, Some(ping)) = &mut self.stage {
            // One that is out already is as good.
            let _ = ping.send_ping(Ping::opaque());
        }
    }

    /// Goes on as far as the input and the reader allow. True: there may be more to do without either.
    pub fn run(&mut self, verdict: &Verdict) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        for _ in 0..ROUNDS {
            let before =
                (self.events, self.calls.len(), self.pipe.borrow().input.len(), self.pipe.borrow().out.len());
            self.connection(&mut cx);
            if self.over() {
                self.calls.clear();
                return false;
            }
            let mut calls = std::mem::take(&mut self.calls);
            calls.retain_mut(|call| self.call(&mut cx, call, verdict));
            calls.append(&mut self.calls);
            self.calls = calls;
            let after =
                (self.events, self.calls.len(), self.pipe.borrow().input.len(), self.pipe.borrow().out.len());
            if before == after {
                return false;
            }
        }
        true
    }

    fn connection(&mut self, cx: &mut Context) {
        if let Stage::Greeting(handshake) = &mut self.stage {
            self.stage = match handshake.as_mut().poll(cx) {
                Poll::Pending => return,
                Poll::Ready(Err(_)) => Stage::Over,
                Poll::Ready(Ok(mut open)) => {
                    let ping = open.ping_pong();
                    Stage::Open(Box::new(open), ping)
                }
            };
        }
        while let Stage::Open(open, ping) = &mut self.stage {
            if let Some(ping) = ping
                && ping.poll_pong(cx).is_ready()
            {
                self.events += 1;
            }
            match open.poll_accept(cx) {
                Poll::Pending => return,
                Poll::Ready(Some(Ok((request, respond)))) => self.begin(request, respond),
                Poll::Ready(None | Some(Err(_))) => self.stage = Stage::Over,
            }
        }
    }

    fn begin(&mut self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let (head, body) = request.into_parts();
        let kind = head.headers.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or_default();
        if head.method != http::Method::POST || !kind.starts_with("application/grpc") {
            let mut response = Response::new(());
            *response.status_mut() = http::StatusCode::UNSUPPORTED_MEDIA_TYPE;
            let _ = respond.send_response(response, true);
            self.events += 1;
            return;
        }
        let watch = match head.uri.path() {
            "/grpc.health.v1.Health/Check" => false,
            "/grpc.health.v1.Health/Watch" => true,
            _ => {
                self.events += 1;
                return refuse(&mut respond, UNIMPLEMENTED, "no such method");
            }
        };
        self.calls.push(Call::Asking { watch, body, got: Vec::new(), respond });
    }

    /// Goes on with one call. False: it is over.
    fn call(&mut self, cx: &mut Context, call: &mut Call, verdict: &Verdict) -> bool {
        match call {
            Call::Asking { watch, body, got, respond } => {
                let whole = loop {
                    match body.poll_data(cx) {
                        Poll::Ready(Some(Ok(bytes))) => {
                            let _ = body.flow_control().release_capacity(bytes.len());
                            if got.len() + bytes.len() > BODY {
                                self.events += 1;
                                refuse(respond, RESOURCE_EXHAUSTED, "the request is too long");
                                return false;
                            }
                            got.extend_from_slice(&bytes);
                        }
                        Poll::Ready(Some(Err(_))) => return false,
                        Poll::Ready(None) => break true,
                        Poll::Pending => break false,
                    }
                };
                let question = match request(got) {
                    Some(Ok(question)) => question,
                    None if !whole => return true,
                    Some(Err(_)) | None => {
                        self.events += 1;
                        refuse(respond, INVALID_ARGUMENT, "not a request of grpc.health.v1");
                        return false;
                    }
                };
                let watch = *watch;
                let status = told(&question, verdict);
                self.events += 1;
                if !watch {
                    answer(respond, status);
                    return false;
                }
                let Ok(send) = respond.send_response(headers(), false) else { return false };
                // What names nothing now may come to be, with other settings: the watch stays.
                let question = question
                    .unwrap_or_else(|_| HealthQuery { class: Some(String::new()), ..Default::default() });
                *call = Call::Watching { question, told: None, send };
                true
            }
            Call::Watching { question, told: heard, send } => {
                if send.poll_reset(cx).is_ready() {
                    return false;
                }
                let status = told(&Ok(question.clone()), verdict).unwrap_or(SERVICE_UNKNOWN);
                if *heard == Some(status) {
                    return true;
                }
                let frame = frame(status);
                send.reserve_capacity(frame.len());
                if send.capacity() >= frame.len() && send.send_data(frame, false).is_ok() {
                    *heard = Some(status);
                    self.events += 1;
                }
                true
            }
        }
    }
}

/// The question, once the message is whole.
fn request(got: &[u8]) -> Option<Result<agent::ParsedQuery, ()>> {
    let (head, rest) = got.split_first_chunk::<5>()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if head[0] != 0 || length > BODY {
        return Some(Err(()));
    }
    let message = rest.get(..length)?;
    let request = HealthCheckRequest::decode(message).map_err(|_| ());
    Some(request.map(|request| agent::parse_query(request.service.as_bytes())))
}

/// The status of what is asked for; none if there is no such thing.
fn told(asked: &agent::ParsedQuery, verdict: &Verdict) -> Option<i32> {
    let capability = verdict.capability(asked.as_ref().ok()?)?;
    Some(if capability.available { SERVING } else { NOT_SERVING })
}

fn headers() -> Response<()> {
    let mut response = Response::new(());
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/grpc"));
    response
}

fn status(code: u8, message: &'static str) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    trailers.insert("grpc-status", HeaderValue::from(u16::from(code)));
    if !message.is_empty() {
        trailers.insert("grpc-message", HeaderValue::from_static(message));
    }
    trailers
}

fn refuse(respond: &mut SendResponse<Bytes>, code: u8, message: &'static str) {
    let mut response = headers();
    response.headers_mut().extend(status(code, message));
    let _ = respond.send_response(response, true);
}

fn frame(status: i32) -> Bytes {
    let message = HealthCheckResponse { status }.encode_to_vec();
    let mut frame = vec![0];
    frame.extend((message.len() as u32).to_be_bytes());
    frame.extend(message);
    frame.into()
}

fn answer(respond: &mut SendResponse<Bytes>, told: Option<i32>) {
    let Some(told) = told else { return refuse(respond, NOT_FOUND, "no such service") };
    if let Ok(mut send) = respond.send_response(headers(), false) {
        let _ = send.send_data(frame(told), false);
        let _ = send.send_trailers(status(OK, ""));
    }
}
