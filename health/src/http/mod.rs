//! HTTP/1.1 health checks: GET, HEAD and OPTIONS on a handful of paths. A connection is fed bytes and answers from the
//! verdict that it is handed; it knows no socket and no clock.

mod report;
mod request;
mod response;

use crate::verdict::Verdict;
use crate::{Micros, ServerId};
pub use report::report;
use request::{Method, Request};
use response::{Response, Status};

/// The longest request line and headers together.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// With this much output pending, further requests wait until the client reads.
pub const MAX_PENDING_OUTPUT_BYTES: usize = 16 << 10;
/// The most headers in one request.
const MAX_HEADERS: usize = 64;
/// Buffers keep at most this much memory once they are empty.
const IDLE_BUFFER_BYTES: usize = 4 << 10;

/// Maps servers to the names that people read.
pub type ServerNames<'a> = &'a dyn Fn(ServerId) -> String;

/// A balancer's connection.
#[derive(Default)]
pub struct HttpCheckConnection {
    /// Input that was not processed yet.
    input: Vec<u8>,
    /// Bytes of a request's body that are still to be skipped.
    body_bytes_left: usize,
    /// Output that waits to be written.
    pub output: Vec<u8>,
    /// The connection ends once the output is written.
    closing: bool,
    requests_answered: u64,
}

/// Whether processing goes on.
enum Progress {
    /// A request was answered, another may follow.
    Answered,
    /// The input has no further complete request.
    Stopped,
}

impl HttpCheckConnection {
    /// More input may be read.
    pub fn wants_input(&self) -> bool {
        !self.closing && self.input.len() < 2 * MAX_HEAD_BYTES
    }

    /// All output is written, and the connection is to be closed.
    pub fn is_finished(&self) -> bool {
        self.closing && self.output.is_empty()
    }

    /// A request has begun and is incomplete.
    pub fn has_partial_request(&self) -> bool {
        self.body_bytes_left > 0 || !self.input.is_empty()
    }

    /// The number of requests answered.
    pub fn requests_answered(&self) -> u64 {
        self.requests_answered
    }

    /// The first `length` bytes of the output were written.
    pub fn output_written(&mut self, length: usize) {
        self.output.drain(..length.min(self.output.len()));
        if self.output.is_empty() {
            self.output.shrink_to(IDLE_BUFFER_BYTES);
        }
    }

    /// Takes input.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.closing {
            self.input.extend_from_slice(bytes);
        }
    }

    /// Answers the complete requests, up to the limit of pending output. False if requests may be left for when the
    /// output is written.
    pub fn process(&mut self, now: Micros, verdict: &Verdict, names: ServerNames) -> bool {
        while !self.closing && self.output.len() < MAX_PENDING_OUTPUT_BYTES {
            if matches!(self.process_one(now, verdict, names), Progress::Stopped) {
                return true;
            }
        }
        self.closing
    }

    /// Answers the next request, if it is complete.
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
                // Where the next request would begin is unknown.
                self.closing = true;
                self.input = Vec::new();
                self.write(&Response::error(status), false);
                Progress::Stopped
            }
        }
    }

    /// Drops the input that belongs to the last request's body.
    fn skip_body(&mut self) {
        let skipped = self.body_bytes_left.min(self.input.len());
        self.input.drain(..skipped);
        self.body_bytes_left -= skipped;
    }

    /// Removes a request's head from the input; none if it is incomplete.
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
