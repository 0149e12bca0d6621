//! One turn of a balancer's connection: its requests are read and answered from the current verdict.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream;
use super::connection::{CheckCloseReason, CheckConnection, ProtocolState};
use crate::grpc::GrpcCheckConnection;
use crate::health::HealthObserver;
use crate::observe::Shared;
use birchreach::ServerId;
use birchreach_health::agent::{self, AgentCheckConnection, ParsedQuery};
use birchreach_health::http::HttpCheckConnection;
use birchreach_options::HealthOptions;
use mio::net::TcpStream;
use std::net::Shutdown;

/// The size of the buffer for one read from an HTTP or gRPC connection.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// What a connection needs after its turn.
pub(super) enum CheckProgress {
    /// The connection must be closed.
    Finished(CheckCloseReason),
    /// The connection has more work, for which its socket will report no event.
    WorkRemaining,
    /// The connection waits for an event of its socket.
    WaitingForSocket,
}

/// The result of one turn of a connection.
struct TurnResult {
    progress: CheckProgress,
    /// Whether the balancer completed a request or read some output.
    was_active: bool,
}

impl TurnResult {
    fn inactive(progress: CheckProgress) -> TurnResult {
        TurnResult { progress, was_active: false }
    }
}

/// The state from which all connections are answered.
#[derive(Clone, Copy)]
pub(super) struct AnswerSource<'a> {
    pub(super) options: Option<&'a HealthOptions>,
    pub(super) observer: Option<&'a Shared<HealthObserver>>,
}

/// Serves a connection as far as its socket and the limits of one turn allow.
pub(super) fn serve(
    context: &mut EventLoopContext,
    connection: &mut CheckConnection,
    source: AnswerSource,
) -> CheckProgress {
    let (stream, state) = (&mut connection.stream, &mut connection.state);
    let now = context.now;
    let turn = match (state, source.observer) {
        (ProtocolState::Http(http), Some(observer)) => serve_http(context, stream, http, observer),
        (ProtocolState::Grpc(grpc), Some(observer)) => serve_grpc(context, stream, grpc, observer),
        (ProtocolState::Agent { query_parser, reply }, Some(_)) => {
            TurnResult::inactive(serve_agent(context, stream, query_parser, reply, source))
        }
        (_, None) => TurnResult::inactive(CheckProgress::Finished(CheckCloseReason::ListenerDisabled)),
    };
    if turn.was_active {
        connection.active_at = now;
    }
    turn.progress
}

/// Serves an HTTP connection. Bytes that do not complete a request do not count as activity. Otherwise a client could
/// keep its connection open indefinitely.
fn serve_http(
    context: &mut EventLoopContext,
    stream: &mut TcpStream,
    http: &mut HttpCheckConnection,
    observer: &Shared<HealthObserver>,
) -> TurnResult {
    let answered_before = http.requests_answered();
    let read = if http.wants_input() {
        let length = READ_BUFFER_BYTES.min(context.scratch.len());
        stream::read(stream, &mut context.scratch[..length], |bytes| {
            http.feed(bytes);
            http.wants_input()
        })
    } else {
        Ok(false)
    };
    let core = &context.core;
    let name = |server: birchreach_health::ServerId| core.server_name(ServerId(server.0)).to_string();
    let all_answered = http.process(context.now, observer.borrow_mut().verdict(context.now), &name);
    let pending = http.output.len();
    let written = stream::write_some(stream, &http.output).map(|length| http.output_written(length));
    let was_active = http.requests_answered() > answered_before || http.output.len() < pending;
    if http.is_finished() {
        let _ = stream.shutdown(Shutdown::Write);
        return TurnResult { progress: CheckProgress::Finished(CheckCloseReason::Answered), was_active };
    }
    let progress = match (read, written) {
        (_, Err(_)) | (Err(stream::StreamEnd::Reset), _) => CheckProgress::Finished(CheckCloseReason::Reset),
        (Err(stream::StreamEnd::Closed), _) if http.has_partial_request() => {
            CheckProgress::Finished(CheckCloseReason::RequestTruncated)
        }
        (Err(stream::StreamEnd::Closed), _) => CheckProgress::Finished(CheckCloseReason::Closed),
        // The socket reports when it is writable again. It does not report again that input was left unread or
        // unanswered.
        (Ok(drained), _) if (drained && all_answered) || !http.output.is_empty() => {
            CheckProgress::WaitingForSocket
        }
        _ => CheckProgress::WorkRemaining,
    };
    TurnResult { progress, was_active }
}

fn serve_grpc(
    context: &mut EventLoopContext,
    stream: &mut TcpStream,
    grpc: &mut GrpcCheckConnection,
    observer: &Shared<HealthObserver>,
) -> TurnResult {
    let activity_before = grpc.activity();
    let read = if grpc.wants_input() {
        let length = READ_BUFFER_BYTES.min(context.scratch.len());
        stream::read(stream, &mut context.scratch[..length], |bytes| {
            grpc.feed(bytes);
            grpc.wants_input()
        })
    } else {
        Ok(false)
    };
    if read == Err(stream::StreamEnd::Reset) {
        return TurnResult::inactive(CheckProgress::Finished(CheckCloseReason::Reset));
    }
    if read.is_err() {
        grpc.input_ended();
    }
    let more_to_process = grpc.process(observer.borrow_mut().verdict(context.now));
    let output = grpc.take_output();
    let Ok(written) = stream::write_some(stream, &output) else {
        return TurnResult::inactive(CheckProgress::Finished(CheckCloseReason::Reset));
    };
    grpc.return_output(&output[written..]);
    let was_active = grpc.activity() > activity_before;
    if grpc.is_finished() {
        return TurnResult { progress: CheckProgress::Finished(CheckCloseReason::Closed), was_active };
    }
    // Written output makes room for more output, for which the socket reports no event.
    let may_continue = matches!(read, Ok(false)) || more_to_process || !output.is_empty();
    let progress = if may_continue && !grpc.has_output() {
        CheckProgress::WorkRemaining
    } else {
        CheckProgress::WaitingForSocket
    };
    TurnResult { progress, was_active }
}

/// Reads the line of an agent-check and writes the reply.
fn serve_agent(
    context: &mut EventLoopContext,
    stream: &mut TcpStream,
    query_parser: &mut AgentCheckConnection,
    reply: &mut Option<Vec<u8>>,
    source: AnswerSource,
) -> CheckProgress {
    let mut query = None;
    let read = stream::read(stream, &mut context.scratch, |bytes| {
        query = query.take().or_else(|| query_parser.feed(bytes));
        query.is_none()
    });
    if reply.is_none() {
        if read == Err(stream::StreamEnd::Closed) {
            query = query.or_else(|| query_parser.input_ended());
        }
        *reply = query.map(|query| agent_reply(context, &query, source));
    }
    let Some(unwritten) = reply else {
        return if read.is_err() {
            CheckProgress::Finished(CheckCloseReason::Reset)
        } else {
            CheckProgress::WaitingForSocket
        };
    };
    match stream::write_some(stream, unwritten) {
        Err(_) => CheckProgress::Finished(CheckCloseReason::Reset),
        Ok(written) if written < unwritten.len() => {
            unwritten.drain(..written);
            CheckProgress::WaitingForSocket
        }
        Ok(_) => {
            let _ = stream.shutdown(Shutdown::Write);
            CheckProgress::Finished(CheckCloseReason::Answered)
        }
    }
}

/// Returns the reply to an agent-check. The reply is empty while health reporting is off.
pub(super) fn agent_reply(context: &EventLoopContext, query: &ParsedQuery, source: AnswerSource) -> Vec<u8> {
    let Some(observer) = source.observer else { return Vec::new() };
    let mut observer = observer.borrow_mut();
    let verdict = observer.verdict(context.now);
    let reports_maxconn =
        source.options.and_then(|options| options.agent.as_ref()).is_some_and(|agent| agent.reports_maxconn);
    let max_connections = reports_maxconn.then_some(verdict.client_capacity);
    agent::reply(query, verdict, max_connections).into_bytes()
}
