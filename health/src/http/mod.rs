//! HTTP/1.1 health checks: GET, HEAD and OPTIONS on a few paths. A connection receives bytes from the caller and
//! answers from the verdict that the caller passes. It does no I/O and reads no clock.

mod report;
mod request;
mod response;

use crate::verdict::Verdict;
use crate::{Micros, ServerId};
pub use report::report;
use request::{Method, Request};
use response::{Response, Status};

/// The maximum size of a request line and its headers together. Larger requests are rejected with status 431.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// While at least this much output is pending, further requests wait until the client reads.
pub const MAX_PENDING_OUTPUT_BYTES: usize = 16 << 10;
/// The maximum number of headers in one request.
const MAX_HEADERS: usize = 64;
/// Empty buffers release the memory beyond this size.
const IDLE_BUFFER_BYTES: usize = 4 << 10;

/// Maps servers to the names that the reports contain.
pub type ServerNames<'a> = &'a dyn Fn(ServerId) -> String;

/// One connection of a balancer that sends HTTP checks.
#[derive(Default)]
pub struct HttpCheckConnection {
    /// Received bytes that were not processed yet.
    input: Vec<u8>,
    /// The number of bytes of the last request's body that must still be skipped.
    body_bytes_left: usize,
    /// Output that the caller must write to the client and then report to [`HttpCheckConnection::output_written`].
    pub output: Vec<u8>,
    /// The connection must be closed once the output is written.
    closing: bool,
    requests_answered: u64,
}

/// The result of trying to answer one request.
enum Progress {
    /// A request was answered. Another one may follow.
    Answered,
    /// No request can be answered: the input contains no complete request, or the connection is closing.
    Stopped,
}

impl HttpCheckConnection {
    /// Returns true while the caller may read more input. The limit bounds the memory that a client can occupy.
    pub fn wants_input(&self) -> bool {
        !self.closing && self.input.len() < 2 * MAX_HEAD_BYTES
    }

    /// Returns true once all output is written and the caller must close the connection.
    pub fn is_finished(&self) -> bool {
        self.closing && self.output.is_empty()
    }

    /// Returns true if a request was begun but not completed or not answered yet.
    pub fn has_partial_request(&self) -> bool {
        self.body_bytes_left > 0 || !self.input.is_empty()
    }

    /// Returns the number of requests answered on this connection, including invalid ones.
    pub fn requests_answered(&self) -> u64 {
        self.requests_answered
    }

    /// Removes the first `length` bytes of the output, which the caller has written.
    pub fn output_written(&mut self, length: usize) {
        self.output.drain(..length.min(self.output.len()));
        if self.output.is_empty() {
            self.output.shrink_to(IDLE_BUFFER_BYTES);
        }
    }

    /// Appends received bytes to the input. Bytes received while the connection is closing are discarded.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.closing {
            self.input.extend_from_slice(bytes);
        }
    }

    /// Answers the complete requests until the limit of pending output is reached. Returns false if requests may be
    /// left, which the caller must process after writing output.
    pub fn process(&mut self, now: Micros, verdict: &Verdict, names: ServerNames) -> bool {
        while !self.closing && self.output.len() < MAX_PENDING_OUTPUT_BYTES {
            if matches!(self.process_one(now, verdict, names), Progress::Stopped) {
                return true;
            }
        }
        self.closing
    }

    /// Answers the next request if it is complete.
    fn process_one(&mut self, now: Micros, verdict: &Verdict, names: ServerNames) -> Progress {
        self.skip_body();
        if self.body_bytes_left > 0 || self.input.is_empty() {
            return Progress::Stopped;
        }
        match self.take_request() {
            Ok(None) => Progress::Stopped,
            Ok(Some(request)) => {
                self.body_bytes_left = request.body_length;
                self.closing = !request.keep_alive;
                let response = request.respond(now, verdict, names);
                self.write(&response, request.method == Method::Head);
                Progress::Answered
            }
            Err(status) => {
                // After an invalid request it is unknown where the next one begins.
                self.closing = true;
                self.input = Vec::new();
                self.write(&Response::error(status), false);
                Progress::Stopped
            }
        }
    }

    /// Discards the input that belongs to the last request's body.
    fn skip_body(&mut self) {
        let skipped = self.body_bytes_left.min(self.input.len());
        self.input.drain(..skipped);
        self.body_bytes_left -= skipped;
    }

    /// Removes the head of the next request from the input and parses it. Returns `None` if the head is incomplete, or
    /// the status with which an invalid request is rejected.
    fn take_request(&mut self) -> Result<Option<Request>, Status> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let (length, request) = match parsed.parse(&self.input) {
            Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => {
                (length, Request::from_head(&parsed)?)
            }
            Ok(httparse::Status::Partial) if self.input.len() < MAX_HEAD_BYTES => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Status::HeadersTooLarge),
            Err(httparse::Error::Version) => return Err(Status::VersionNotSupported),
            Err(_) => return Err(Status::BadRequest),
        };
        self.input.drain(..length);
        self.input.shrink_to(IDLE_BUFFER_BYTES);
        Ok(Some(request))
    }

    /// Appends a response to the output.
    fn write(&mut self, response: &Response, head_only: bool) {
        self.requests_answered += 1;
        response.write(&mut self.output, self.closing, head_only);
    }
}
