//! Results of attempts, and the state that servers report.

use super::{AttemptNumber, Micros, RequestId, ServerId};

/// Replication role of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The server accepts writes, and its data is current.
    Primary,
    /// The server replicates the log of the primary.
    Replica,
}

/// Role and log position that a server reports in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// Role at the time of the response.
    pub role: Role,
    /// Log position of the server, rounded down. After a successful write: the commit position, rounded up.
    pub position: Option<Micros>,
}

/// Load report of a server. Its values may be slightly outdated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Log position of the server, rounded down; `None` if the report does not contain it.
    pub position: Option<Micros>,
    /// Role of the server; `None` if the report does not contain it.
    pub role: Option<Role>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The request was served.
    Ok,
    /// The server responded with an error; the request may have run.
    Error,
    /// The server rejected the request before execution because its queue is full or it is draining.
    Overloaded,
    /// No response arrived in time; the request may have run.
    Timeout,
    /// No connection could be established; the request did not run.
    ConnectFailed,
    /// The connection was closed before the request was completely written; the request did not run.
    ClosedBeforeExecution,
    /// The connection was lost; the request may have run.
    ConnectionReset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The server rejected the request before execution because it is not the primary or its data is too old.
    Ineligible,
}

impl AttemptOutcome {
    /// Whether the outcome rules out that the server ran the request.
    pub fn never_executed(self) -> bool {
        use AttemptOutcome::*;
        matches!(self, Overloaded | ConnectFailed | ClosedBeforeExecution | NotSent | Ineligible)
    }
}

/// Result of an attempt. The caller reports exactly one for each [`Action::Send`](super::Action::Send).
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request, counted from 0.
    pub attempt: AttemptNumber,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Whether the client already has its final response, so that the router sends none.
    pub request_finished: bool,
    /// Status in the response; `None` without a response, or if the response contains none.
    pub status: Option<ServerStatus>,
    /// Load report in the response; `None` without a response, or if the response contains none.
    pub load_report: Option<LoadReport>,
}
