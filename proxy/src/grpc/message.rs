//! The messages of grpc.health.v1, their framing, and gRPC's status codes.

use birchreach_health::agent::ParsedQuery;
use birchreach_health::{HealthQuery, Verdict};
use bytes::Bytes;
use h2::server::SendResponse;
use http::{HeaderMap, HeaderValue, Response};
use prost::Message;
use std::fmt;

/// The longest request message, including its frame header.
pub(super) const MAX_REQUEST_BYTES: usize = 1 << 10;
/// The length of the header before each message: a compression flag and the message's length.
const FRAME_HEADER_BYTES: usize = 5;

/// The request of both methods.
#[derive(Clone, PartialEq, Message)]
struct HealthCheckRequest {
    #[prost(string, tag = "1")]
    service: String,
}

/// The response of both methods.
#[derive(Clone, PartialEq, Message)]
struct HealthCheckResponse {
    #[prost(int32, tag = "1")]
    status: i32,
}

/// The values of `HealthCheckResponse.ServingStatus` that are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServingStatus {
    Serving = 1,
    NotServing = 2,
    ServiceUnknown = 3,
}

/// The status codes of gRPC that are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StatusCode {
    Ok = 0,
    InvalidArgument = 3,
    NotFound = 5,
    ResourceExhausted = 8,
    Unimplemented = 12,
}

/// The body of a request is not a valid frame and message of grpc.health.v1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InvalidRequest;

impl InvalidRequest {
    /// The error message that is sent to the peer.
    pub(super) const MESSAGE: &str = "not a request of grpc.health.v1";
}

impl fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(InvalidRequest::MESSAGE)
    }
}

impl std::error::Error for InvalidRequest {}

/// Parses the query in a request's body. Returns `None` while the message is incomplete.
pub(super) fn parse_request(body: &[u8]) -> Option<Result<ParsedQuery, InvalidRequest>> {
    let (header, rest) = body.split_first_chunk::<FRAME_HEADER_BYTES>()?;
    let [compressed, length @ ..] = *header;
    let length = u32::from_be_bytes(length) as usize;
    if compressed != 0 || length > MAX_REQUEST_BYTES {
        return Some(Err(InvalidRequest));
    }
    let message = rest.get(..length)?;
    let request = HealthCheckRequest::decode(message).map_err(|_| InvalidRequest);
    Some(request.map(|request| HealthQuery::parse(request.service.as_bytes())))
}

/// Returns the status of the service in the query, or `None` if there is no such service.
pub(super) fn serving_status(query: &ParsedQuery, verdict: &Verdict) -> Option<ServingStatus> {
    let capability = verdict.capability(query.as_ref().ok()?)?;
    Some(if capability.available { ServingStatus::Serving } else { ServingStatus::NotServing })
}

/// Returns the headers that start every gRPC response.
pub(super) fn response_headers() -> Response<()> {
    let mut response = Response::new(());
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/grpc"));
    response
}

/// Encodes a response message with its frame header.
pub(super) fn response_frame(status: ServingStatus) -> Bytes {
    let message = HealthCheckResponse { status: status as i32 }.encode_to_vec();
    let mut frame = vec![0];
    frame.extend((message.len() as u32).to_be_bytes());
    frame.extend(message);
    frame.into()
}

/// Returns trailers with a status code, and with a message unless it is empty.
fn status_trailers(code: StatusCode, message: &'static str) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    trailers.insert("grpc-status", HeaderValue::from(code as u16));
    if !message.is_empty() {
        trailers.insert("grpc-message", HeaderValue::from_static(message));
    }
    trailers
}

/// Ends a call with an error. A failure to send it is ignored, because the connection detects that the peer has
/// disconnected.
pub(super) fn send_error(respond: &mut SendResponse<Bytes>, code: StatusCode, message: &'static str) {
    let mut response = response_headers();
    response.headers_mut().extend(status_trailers(code, message));
    let _ = respond.send_response(response, true);
}

/// Ends a call with the status of the service, or with an error if there is no such service.
pub(super) fn send_answer(respond: &mut SendResponse<Bytes>, status: Option<ServingStatus>) {
    let Some(status) = status else {
        return send_error(respond, StatusCode::NotFound, "no such service");
    };
    if let Ok(mut stream) = respond.send_response(response_headers(), false) {
        let _ = stream.send_data(response_frame(status), false);
        let _ = stream.send_trailers(status_trailers(StatusCode::Ok, ""));
    }
}
