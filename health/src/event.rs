//! The events that the monitor receives, and the outcomes of attempts and probes.

use crate::{GroupId, Micros, Role, ServerId};

/// The outcome of an attempt or a probe, as far as it concerns the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered, possibly with an error.
    Answered,
    /// The server did not answer within the timeout.
    TimedOut,
    /// The server refused the connection.
    Refused,
    /// The connection was reset or closed, or could not be established.
    Reset,
    /// The proxy cancelled the attempt before its timeout.
    Cancelled,
    /// The attempt was never sent, for a reason other than a fault of the server.
    NotSent,
}

/// An event that concerns the proxy's health.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthEvent {
    /// The endpoint list added a server or changed its entry.
    ServerListed {
        /// The server whose entry was added or changed.
        server: ServerId,
        /// The group that the server belongs to.
        group: GroupId,
        /// Whether the server is the primary; `None` if the list doesn't say.
        primary: Option<bool>,
        /// Whether the list allows new work for the server.
        accepts_work: bool,
    },
    /// The endpoint list no longer contains the server.
    ServerUnlisted {
        /// The server whose entry was removed from the list.
        server: ServerId,
    },
    /// Discovery responded. This is evidence that the proxy is not isolated.
    DiscoveryAnswered,
    /// An attempt was sent to a server.
    AttemptSent {
        /// The server that the attempt was sent to.
        server: ServerId,
    },
    /// An attempt was answered, failed, was cancelled or was never sent.
    AttemptEnded {
        /// The server that the attempt was sent to.
        server: ServerId,
        /// True if the request was a write.
        write: bool,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// The role that the server reported; `None` if it reported no role.
        role: Option<Role>,
    },
    /// A probe that the monitor requested ended.
    ProbeEnded {
        /// The server that the probe was for.
        server: ServerId,
        /// How the probe ended.
        outcome: AttemptOutcome,
        /// The role that the server reported; `None` if it reported no role.
        role: Option<Role>,
    },
    /// A connection to a server was established, or a response began to arrive.
    ServerAlive {
        /// The server at the other end of the connection.
        server: ServerId,
    },
    /// A read request got its final answer.
    ReadEnded {
        /// The group that the request was for.
        group: GroupId,
        /// True if the read was served, false if it was rejected or failed.
        served: bool,
    },
    /// The oldest queued write of a group changed. Writes are queued while no server accepts them.
    WritesQueued {
        /// The group that the writes are for.
        group: GroupId,
        /// When the oldest queued write was queued; `None` if no write is queued.
        since: Option<Micros>,
    },
    /// A measurement of the proxy's own load since the previous measurement.
    Load {
        /// How close the proxy is to saturation, from 0 (idle) to 1 (saturated).
        pressure: f64,
        /// The number of open requests.
        in_progress: usize,
        /// The number of open requests without an attempt in flight.
        queued: usize,
        /// The number of client connections that the proxy can hold.
        client_capacity: usize,
    },
    /// The process will not be ready before this time.
    ReadyAt(Micros),
    /// The process begins its graceful shutdown.
    Stopping,
    /// Another process takes over at this time. `None` revokes an announced handover.
    HandoverAt(Option<Micros>),
    /// An operator takes the proxy out of rotation (true) or puts it back (false).
    Maintenance(bool),
}
