//! HTTP responses and their serialization.

use std::borrow::Cow;

#[derive(Clone, Copy)]
pub(super) struct Header {
    pub name: &'static str,
    pub value: &'static str,
}

/// Lists the supported methods.
pub(super) const ALLOW: Header = Header { name: "Allow", value: "GET, HEAD, OPTIONS" };

/// Defines the supported statuses with their codes and reason phrases.
macro_rules! statuses {
    ($($status:ident = $code:literal $phrase:literal,)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(super) enum Status {
            $($status,)*
        }

        impl Status {
            fn code(self) -> u16 {
                match self { $(Status::$status => $code,)* }
            }

            fn phrase(self) -> &'static str {
                match self { $(Status::$status => $phrase,)* }
            }
        }
    };
}

statuses! {
    Ok = 200 "OK",
    NoContent = 204 "No Content",
    BadRequest = 400 "Bad Request",
    NotFound = 404 "Not Found",
    MethodNotAllowed = 405 "Method Not Allowed",
    ContentTooLarge = 413 "Content Too Large",
    UriTooLong = 414 "URI Too Long",
    HeadersTooLarge = 431 "Request Header Fields Too Large",
    NotImplemented = 501 "Not Implemented",
    ServiceUnavailable = 503 "Service Unavailable",
    VersionNotSupported = 505 "HTTP Version Not Supported",
}

pub(super) struct Response {
    pub status: Status,
    /// Additional headers besides those that every response contains.
    pub headers: Vec<Header>,
    pub body: Cow<'static, str>,
}

impl Response {
    /// Creates a response without additional headers.
    pub(super) fn new(status: Status, body: impl Into<Cow<'static, str>>) -> Response {
        Response { status, headers: Vec::new(), body: body.into() }
    }

    /// Creates the response to an invalid request.
    pub(super) fn error(status: Status) -> Response {
        let mut response = Response::new(status, status.phrase());
        if status == Status::MethodNotAllowed {
            response.headers.push(ALLOW);
        }
        response
    }

    /// Appends the serialized response to the output. `closing` adds `Connection: close`; `head_only` omits the body.
    pub(super) fn write(&self, output: &mut Vec<u8>, closing: bool, head_only: bool) {
        let mut append = |parts: &[&str]| {
            parts.iter().for_each(|part| output.extend_from_slice(part.as_bytes()));
        };
        append(&["HTTP/1.1 ", &self.status.code().to_string(), " ", self.status.phrase(), "\r\n"]);
        if !self.body.is_empty() {
            let is_json = self.body.starts_with('{');
            append(&["Content-Type: ", if is_json { "application/json" } else { "text/plain" }, "\r\n"]);
        }
        if self.status != Status::NoContent {
            append(&["Content-Length: ", &self.body.len().to_string(), "\r\n"]);
        }
        append(&["Cache-Control: no-store\r\n"]);
        for header in &self.headers {
            append(&[header.name, ": ", header.value, "\r\n"]);
        }
        if closing {
            append(&["Connection: close\r\n"]);
        }
        append(&["\r\n"]);
        if !head_only {
            append(&[&self.body]);
        }
    }
}
