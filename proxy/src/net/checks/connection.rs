//! A balancer's connection in any of the check protocols, and the reasons for closing it.

use super::super::ids::CheckConnectionSerial;
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
    /// Returns the event source of the protocol's listener.
    pub(super) fn source(self) -> Source {
        match self {
            CheckProtocol::Http => Source::HttpListener,
            CheckProtocol::Agent => Source::AgentListener,
            CheckProtocol::Grpc => Source::GrpcListener,
        }
    }

    /// Returns the name of the protocol in the log.
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
    /// The last response is written.
    Answered,
    /// The balancer has closed the connection between requests.
    Closed,
    /// No request is open, and none has arrived within the idle timeout.
    Idle,
    /// The balancer has closed the connection within a request.
    RequestTruncated,
    /// The connection was reset or has failed in another way.
    Reset,
    /// The limit on connections is reached, and another connection has arrived.
    Shed,
    /// The balancer has not sent a complete request or has not read the response in time.
    Unresponsive,
    /// Health reporting is off.
    ListenerDisabled,
}

impl CheckCloseReason {
    /// Returns the word for the reason in the log.
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

    /// Whether the connection ended normally. Hundreds of connections may end this way each second.
    pub(super) fn is_expected(self) -> bool {
        matches!(self, CheckCloseReason::Answered | CheckCloseReason::Closed | CheckCloseReason::Idle)
    }
}

/// The protocol state of a connection.
pub(super) enum ProtocolState {
    Http(HttpCheckConnection),
    Agent {
        query_parser: AgentCheckConnection,
        /// The part of the reply that is not written yet. `None` until there is a reply.
        reply: Option<Vec<u8>>,
    },
    Grpc(Box<GrpcCheckConnection>),
}

impl ProtocolState {
    /// Creates the state of a connection on which no bytes have arrived.
    fn new(protocol: CheckProtocol) -> ProtocolState {
        match protocol {
            CheckProtocol::Http => ProtocolState::Http(HttpCheckConnection::default()),
            CheckProtocol::Agent => {
                ProtocolState::Agent { query_parser: AgentCheckConnection::default(), reply: None }
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
    /// Distinguishes the connection from earlier ones with the same key.
    pub(super) serial: CheckConnectionSerial,
    /// The time at which the balancer last completed a request or read some output.
    pub(super) active_at: Micros,
}

impl CheckConnection {
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new(
        stream: TcpStream,
        protocol: CheckProtocol,
        serial: CheckConnectionSerial,
        now: Micros,
    ) -> Self {
        CheckConnection { stream, protocol, state: ProtocolState::new(protocol), serial, active_at: now }
    }

    /// Whether the balancer is sent each change of the verdict.
    pub(super) fn has_watches(&self) -> bool {
        matches!(&self.state, ProtocolState::Grpc(grpc) if grpc.has_watches())
    }

    /// Sends a ping if the connection has watches and was inactive for half of the idle timeout. Returns whether a ping
    /// was sent.
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

    /// Returns why the connection must be closed for inactivity, or `None` if it may stay open.
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

/// Returns the listeners that the options require.
pub(super) fn wanted_listeners(
    options: &HealthOptions,
) -> impl Iterator<Item = (CheckProtocol, &CheckListener)> {
    [CheckProtocol::Http, CheckProtocol::Agent, CheckProtocol::Grpc]
        .into_iter()
        .filter_map(|protocol| Some((protocol, listener_options(options, protocol)?)))
}

/// Returns the options of a protocol's listener, or `None` if the options require no such listener.
pub(super) fn listener_options(options: &HealthOptions, protocol: CheckProtocol) -> Option<&CheckListener> {
    match protocol {
        CheckProtocol::Http => options.http.as_ref().map(|http| &http.listener),
        CheckProtocol::Agent => options.agent.as_ref().map(|agent| &agent.listener),
        CheckProtocol::Grpc => options.grpc.as_ref().map(|grpc| &grpc.listener),
    }
}
