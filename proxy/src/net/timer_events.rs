//! The events for which the subsystems set timers.

use super::clients::IdHash;
use super::ids::{
    CheckConnectionKey, CheckConnectionSerial, ConnectionKey, ConnectionSerial, LinkKey, LinkSerial,
    PollStateSerial, QuerySerial,
};
use crate::core::{AttemptId, RoutingTimerId};

/// The event for which a timer was set. A key is an index into the owner's slab. A serial distinguishes later uses of
/// the same key.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerEvent {
    /// A timer of the router is due.
    Routing(RoutingTimerId),
    /// An attempt has reached its deadline.
    AttemptTimeout(AttemptId),
    /// A connection to a database was not established within the time limit.
    ConnectTimeout(ConnectionKey, ConnectionSerial),
    /// A health check or a background query was not answered within the time limit.
    QueryTimeout(ConnectionKey, QuerySerial),
    /// The cooldown of a connection to a database is over.
    CooldownEnded(ConnectionKey, ConnectionSerial),
    /// The pause in accepting clients is over. Accepting pauses when the system has no free descriptor.
    RetryAccept,
    /// Connections to clients that are closed once their output is delivered are checked.
    CheckDeliveries,
    /// Another process has not answered in time whether the write with this id may begin.
    GrantTimeout(IdHash),
    /// The next poll of discovery is due, or a state of the current one has timed out.
    Discovery(PollStateSerial),
    /// The periodic tasks are due: connections that have been idle for too long are closed, and the load is reported.
    PeriodicTasks,
    /// A balancer has not sent a query within the time limit.
    CheckTimeout(CheckConnectionKey, CheckConnectionSerial),
    /// The verdict for balancers may change at this time.
    HealthUpdate,
    /// The next load report to the health monitor is due.
    HealthLoadReport,
    /// The process that replaces this one answers health checks from now on.
    StopAcceptingChecks,
    /// The process that this one replaces is about to stop answering health checks.
    OpenCheckListeners,
    /// A request for another proxy's state is due, or a link may have timed out.
    Gossip,
    /// The send budget allows the next part of a state transfer to another proxy.
    GossipSend(LinkKey, LinkSerial),
    /// The next announcement to the other processes of this proxy is due, of the session writes that are reported.
    AnnounceSessionWrites,
    /// The predecessor has not reported what it knows in time.
    PredecessorWaitEnded,
    /// A probe of a fleet member is due or has timed out.
    Fleet,
    /// Background work may be due.
    Background,
    /// The shutdown notice to balancers has ended, and the shutdown of clients begins.
    ShutdownNoticeEnded,
    /// A configuration that could not be read is read again.
    RetryReload,
    /// Idle clients are closed in a graceful shutdown.
    CloseIdleClients,
    /// The process exits, even if requests are still open.
    Exit,
}
