//! The monitor's input: the events, and how attempts and probes ended.

use crate::{GroupId, Micros, Role, ServerId};

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered, possibly with an error.
    Answered,
    /// It timed out.
    TimedOut,
    /// The connection was refused.
    Refused,
    /// The connection broke.
    Reset,
    /// It was cancelled before its timeout.
    Cancelled,
    /// It was never sent, for no fault of the server's.
    NotSent,
}

/// Something that happened, as far as it concerns the proxy's health.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthEvent {
    /// The endpoint list has a new server, or changed what it says of one.
    ServerListed {
        /// The server.
        server: ServerId,
        /// Its group.
        group: GroupId,
        /// Whether it is the primary, if the list says.
        primary: Option<bool>,
        /// It takes new work.
        accepts_work: bool,
    },
    /// The endpoint list no longer has the server.
    ServerUnlisted {
        /// The server.
        server: ServerId,
    },
    /// Discovery responded.
    DiscoveryAnswered,
    /// An attempt was sent to a server.
    AttemptSent {
        /// The server.
        server: ServerId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The server.
        server: ServerId,
        /// The request was a write.
        write: bool,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The role that the server reported, if it did.
        role: Option<Role>,
    },
    /// A probe that the monitor requested ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The role that the server reported, if it did.
        role: Option<Role>,
    },
    /// A sign of life other than an answer: a connection was established.
    ServerAlive {
        /// The server.
        server: ServerId,
    },
    /// A read request got its final answer.
    ReadEnded {
        /// The group it was for.
        group: GroupId,
        /// It was served, not rejected or failed.
        served: bool,
    },
    /// A group's oldest write that is queued because no server takes it has changed.
    WritesQueued {
        /// The group.
        group: GroupId,
        /// Since when that write is queued; none if no write is.
        since: Option<Micros>,
    },
    /// The proxy's own load since the last such event, and figures to report.
    Load {
        /// From 0 (idle) to 1 (saturated).
        pressure: f64,
        /// Open requests.
        in_progress: usize,
        /// Requests without an attempt in flight.
        queued: usize,
        /// Connections from clients that the proxy can hold.
        client_capacity: usize,
    },
    /// The process isn't ready before this time.
    ReadyAt(Micros),
    /// The process begins its graceful shutdown.
    Stopping,
    /// Another process takes over at this time; none if it doesn't after all.
    HandoverAt(Option<Micros>),
    /// An operator takes the proxy out of rotation (true) or back in.
    Maintenance(bool),
}
