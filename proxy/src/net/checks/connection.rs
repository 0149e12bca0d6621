//! A balancer's connection, whichever protocol it speaks, and why it is closed.

use super::super::ids::CheckSerial;
use super::super::sources::Source;
use crate::grpc::GrpcCheckConnection;
use birchreach::Micros;
use birchreach_health::agent::AgentCheckConnection;
use birchreach_health::http::HttpCheckConnection;
use birchreach_options::{CheckListener, HealthOptions};
use mio::net::TcpStream;

/// The protocol of a listener and its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CheckProtocol {
    /// HTTP health checks.
    Http,
    /// HAProxy's agent-check.
    Agent,
    /// gRPC health checks.
    Grpc,
}

impl CheckProtocol {
    /// The event source of its listener.
    pub(super) fn source(self) -> Source {
        match self {
            CheckProtocol::Http => Source::HttpListener,
            CheckProtocol::Agent => Source::AgentListener,
            CheckProtocol::Grpc => Source::GrpcListener,
        }
    }

    /// Its name in the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            CheckProtocol::Http => "http",
            CheckProtocol::Agent => "agent",
            CheckProtocol::Grpc => "grpc",
        }
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CheckCloseReason {
    /// Its last response is written.
    Answered,
    /// The balancer closed it between requests.
    Closed,
    /// It had no request for long enough.
    Idle,
    /// The balancer closed it within a request.
    RequestTruncated,
    /// It broke.
    Reset,
    /// It makes room for another.
    Shed,
    /// No complete request came, or the response was not read, in time.
    Unresponsive,
    /// Health reporting is switched off.
    ListenerDisabled,
}

impl CheckCloseReason {
    /// Its name in the log.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            CheckCloseReason::Answered => "answered",
            CheckCloseReason::Closed => "closed",
            CheckCloseReason::Idle => "idle",
            CheckCloseReason::RequestTruncated => "cut-short",
            CheckCloseReason::Reset => "reset",
            CheckCloseReason::Shed => "shed",
            CheckCloseReason::Unresponsive => "unresponsive",
            CheckCloseReason::ListenerDisabled => "off",
        }
    }

    /// The connection ended as it should. There are hundreds of these a second.
    pub(super) fn is_expected(self) -> bool {
        matches!(self, CheckCloseReason::Answered | CheckCloseReason::Closed | CheckCloseReason::Idle)
    }
}

/// The state of a connection in its protocol.
pub(super) enum ProtocolState {
    Http(HttpCheckConnection),
    Agent {
        line: AgentCheckConnection,
        /// What is left to write of the reply, once there is one.
        reply: Option<Vec<u8>>,
    },
    Grpc(Box<GrpcCheckConnection>),
}

impl ProtocolState {
    /// The state of a connection on which nothing has arrived.
    fn new(protocol: CheckProtocol) -> ProtocolState {
        match protocol {
            CheckProtocol::Http => ProtocolState::Http(HttpCheckConnection::default()),
            CheckProtocol::Agent => {
                ProtocolState::Agent { line: AgentCheckConnection::default(), reply: None }
            }
            CheckProtocol::Grpc => ProtocolState::Grpc(Box::default()),
        }
    }
}

/// A balancer's connection.
pub(super) struct CheckConnection {
    pub(super) stream: TcpStream,
    pub(super) protocol: CheckProtocol,
    pub(super) state: ProtocolState,
    /// Tells it from an earlier connection with the same key.
    pub(super) serial: CheckSerial,
    /// When it last completed a request or read something.
    pub(super) active_at: Micros,
}

impl CheckConnection {
    /// A connection that was accepted just now.
    pub(super) fn new(stream: TcpStream, protocol: CheckProtocol, serial: CheckSerial, now: Micros) -> Self {
        CheckConnection { stream, protocol, state: ProtocolState::new(protocol), serial, active_at: now }
    }

    /// It is sent each change of the verdict.
    pub(super) fn has_watches(&self) -> bool {
        matches!(&self.state, ProtocolState::Grpc(grpc) if grpc.has_watches())
    }

    /// Sends a ping if watches leave it without traffic for long.
    pub(super) fn ping_if_idle(&mut self, now: Micros, options: &HealthOptions) -> bool {
        let idle_timeout = options.grpc.as_ref().map_or(0, |grpc| grpc.idle_timeout);
        match &mut self.state {
            ProtocolState::Grpc(grpc) if grpc.has_watches() && now - self.active_at >= idle_timeout / 2 => {
                grpc.ping();
                true
            }
            _ => false,
        }
    }

    /// Why it is to be closed for inactivity, if it is.
    pub(super) fn inactivity_reason(&self, now: Micros, options: &HealthOptions) -> Option<CheckCloseReason> {
        let (timeout, reason) = match &self.state {
            ProtocolState::Http(http)
                if http.requests_answered() > 0 && !http.has_partial_request() && http.output.is_empty() =>
            {
                (options.http.as_ref().map_or(0, |http| http.idle_timeout), CheckCloseReason::Idle)
            }
            ProtocolState::Grpc(grpc)
                if grpc.activity() > 0 && (grpc.is_idle() || grpc.has_watches()) && !grpc.has_output() =>
            {
                (options.grpc.as_ref().map_or(0, |grpc| grpc.idle_timeout), CheckCloseReason::Idle)
            }
            _ => {
                let listener = listener_options(options, self.protocol);
                let timeout = listener.map_or(0, |listener| listener.silence_timeout);
                (timeout, CheckCloseReason::Unresponsive)
            }
        };
        (now - self.active_at >= timeout).then_some(reason)
    }
}

/// The listeners that the options require.
pub(super) fn wanted_listeners(
    options: &HealthOptions,
) -> impl Iterator<Item = (CheckProtocol, &CheckListener)> {
    [CheckProtocol::Http, CheckProtocol::Agent, CheckProtocol::Grpc]
        .into_iter()
        .filter_map(|protocol| Some((protocol, listener_options(options, protocol)?)))
}

/// The options of a protocol's listener.
pub(super) fn listener_options(options: &HealthOptions, protocol: CheckProtocol) -> Option<&CheckListener> {
    match protocol {
        CheckProtocol::Http => options.http.as_ref().map(|http| &http.listener),
        CheckProtocol::Agent => options.agent.as_ref().map(|agent| &agent.listener),
        CheckProtocol::Grpc => options.grpc.as_ref().map(|grpc| &grpc.listener),
    }
}
