//! A call on a connection. After the request is complete, a `Check` call sends one response and ends. A `Watch` call
//! sends the current status, stays open, and sends the new status after a change.

use super::message::{
    InvalidRequest, MAX_REQUEST_BYTES, ServingStatus, StatusCode, parse_request, response_frame,
    response_headers, send_answer, send_error, serving_status,
};
use birchreach_health::agent::ParsedQuery;
use birchreach_health::{HealthQuery, Verdict};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{Method, Request, Response, StatusCode as HttpStatus};
use std::task::{Context, Poll};

/// The methods of the service `grpc.health.v1.Health`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallMethod {
    Check,
    Watch,
}

/// An open call. When its request is complete, a `Check` call ends and a `Watch` call starts watching.
pub(super) enum Call {
    Receiving(ReceivingCall),
    Watching(WatchingCall),
}

/// A call whose request has not arrived completely.
pub(super) struct ReceivingCall {
    method: CallMethod,
    body: RecvStream,
    received: Vec<u8>,
    respond: SendResponse<Bytes>,
}

/// An open `Watch` call. It sends the current status of a service first, and the new status after a change.
pub(super) struct WatchingCall {
    query: HealthQuery,
    last_sent: Option<ServingStatus>,
    stream: SendStream<Bytes>,
}

/// What a call did in one round of [`super::GrpcCheckConnection::process`].
pub(super) enum CallProgress {
    /// The call did nothing and stays open.
    Open,
    /// The call sent a status and stays open.
    Sent,
    /// The call was answered and has ended.
    Answered,
    /// The call has ended without an answer.
    Ended,
    /// The call continues as a watch.
    StartedWatch(WatchingCall),
}

/// The state of a request's body after reading what has arrived.
enum ReceivedBody {
    Complete,
    Incomplete,
    TooLong,
    Failed,
}

impl Call {
    /// Begins a call. Returns `None` if the request is not gRPC or its method is unknown; it is then answered
    /// immediately.
    pub(super) fn begin(request: Request<RecvStream>, mut respond: SendResponse<Bytes>) -> Option<Call> {
        let (head, body) = request.into_parts();
        let content_type = head.headers.get("content-type").and_then(|value| value.to_str().ok());
        let is_grpc = content_type.is_some_and(|kind| kind.starts_with("application/grpc"));
        if head.method != Method::POST || !is_grpc {
            let mut response = Response::new(());
            *response.status_mut() = HttpStatus::UNSUPPORTED_MEDIA_TYPE;
            let _ = respond.send_response(response, true);
            return None;
        }
        let method = match head.uri.path() {
            "/grpc.health.v1.Health/Check" => CallMethod::Check,
            "/grpc.health.v1.Health/Watch" => CallMethod::Watch,
            _ => {
                send_error(&mut respond, StatusCode::Unimplemented, "no such method");
                return None;
            }
        };
        Some(Call::Receiving(ReceivingCall { method, body, received: Vec::new(), respond }))
    }

    pub(super) fn is_watch(&self) -> bool {
        matches!(self, Call::Watching(_))
    }

    /// Receives and sends as far as the peer allows.
    pub(super) fn advance(&mut self, context: &mut Context, verdict: &Verdict) -> CallProgress {
        match self {
            Call::Receiving(call) => call.advance(context, verdict),
            Call::Watching(call) => call.advance(context, verdict),
        }
    }
}

impl ReceivingCall {
    /// Receives the request, and answers it once it is complete.
    fn advance(&mut self, context: &mut Context, verdict: &Verdict) -> CallProgress {
        let body = self.receive(context);
        match (body, parse_request(&self.received)) {
            (ReceivedBody::Failed, _) => CallProgress::Ended,
            (ReceivedBody::TooLong, _) => {
                send_error(&mut self.respond, StatusCode::ResourceExhausted, "the request is too long");
                CallProgress::Answered
            }
            (_, Some(Ok(query))) => self.answer(query, verdict),
            (ReceivedBody::Incomplete, None) => CallProgress::Open,
            (_, Some(Err(_)) | None) => {
                send_error(&mut self.respond, StatusCode::InvalidArgument, InvalidRequest::MESSAGE);
                CallProgress::Answered
            }
        }
    }

    /// Reads the part of the request's body that has arrived.
    fn receive(&mut self, context: &mut Context) -> ReceivedBody {
        loop {
            match self.body.poll_data(context) {
                Poll::Ready(Some(Ok(bytes))) => {
                    // Fails only for more bytes than were received.
                    let _ = self.body.flow_control().release_capacity(bytes.len());
                    if self.received.len() + bytes.len() > MAX_REQUEST_BYTES {
                        return ReceivedBody::TooLong;
                    }
                    self.received.extend_from_slice(&bytes);
                }
                Poll::Ready(Some(Err(_))) => return ReceivedBody::Failed,
                Poll::Ready(None) => return ReceivedBody::Complete,
                Poll::Pending => return ReceivedBody::Incomplete,
            }
        }
    }

    /// Answers a check, or starts a watch.
    fn answer(&mut self, query: ParsedQuery, verdict: &Verdict) -> CallProgress {
        if self.method == CallMethod::Check {
            send_answer(&mut self.respond, serving_status(&query, verdict));
            return CallProgress::Answered;
        }
        let Ok(stream) = self.respond.send_response(response_headers(), false) else {
            return CallProgress::Answered;
        };
        // A service that is unknown now may exist with later settings, so its watch stays open. A name that cannot be
        // parsed is watched as the empty class name, which is also unknown.
        let query =
            query.unwrap_or_else(|_| HealthQuery { class: Some(String::new()), ..HealthQuery::default() });
        CallProgress::StartedWatch(WatchingCall { query, last_sent: None, stream })
    }
}

impl WatchingCall {
    /// Sends the status if it differs from the one sent last. A peer that reads slowly is sent only the newest status.
    fn advance(&mut self, context: &mut Context, verdict: &Verdict) -> CallProgress {
        if self.stream.poll_reset(context).is_ready() {
            return CallProgress::Ended;
        }
        let status =
            serving_status(&Ok(self.query.clone()), verdict).unwrap_or(ServingStatus::ServiceUnknown);
        if self.last_sent == Some(status) {
            return CallProgress::Open;
        }
        let frame = response_frame(status);
        self.stream.reserve_capacity(frame.len());
        if self.stream.capacity() >= frame.len() && self.stream.send_data(frame, false).is_ok() {
            self.last_sent = Some(status);
            return CallProgress::Sent;
        }
        CallProgress::Open
    }
}
