//! The events that timers are set for.

use super::ids::{
    CheckKey, CheckSerial, ConnectionKey, ConnectionSerial, LinkKey, LinkSerial, PollStateSerial, QuerySerial,
};
use crate::core::{AttemptId, RoutingTimerId};

/// What a timer was set for. A key is that of the owner's slab; a serial distinguishes later uses of the same key.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerEvent {
    /// A timer of the decisions.
    Routing(RoutingTimerId),
    /// The deadline of an attempt has passed.
    AttemptTimeout(AttemptId),
    /// A connection to a database was not established in time.
    ConnectTimeout(ConnectionKey, ConnectionSerial),
    /// A health check or a background query was not answered in time.
    QueryTimeout(ConnectionKey, QuerySerial),
    /// The cooldown of a connection to a database is over.
    CooldownEnded(ConnectionKey, ConnectionSerial),
    /// Clients may be accepted again after the system had no free descriptor.
    RetryAccept,
    /// The next poll of discovery is due, or a state of the current one has timed out.
    Discovery(PollStateSerial),
    /// Connections are checked for those that have been idle for too long.
    Sweep,
    /// A balancer has sent no query in time.
    CheckTimeout(CheckKey, CheckSerial),
    /// The verdict for balancers may change.
    HealthUpdate,
    /// The load is reported to the health monitor.
    HealthLoadReport,
    /// Checks are answered by the process that replaces this one.
    StopAcceptingChecks,
    /// The process that this one replaces no longer answers checks.
    OpenCheckListeners,
    /// A request for another proxy's state is due, or a link may have timed out.
    Gossip,
    /// The send budget allows the next part of the state that is sent to another proxy.
    GossipSend(LinkKey, LinkSerial),
    /// A probe of a member of the fleet is due or has timed out.
    Fleet,
    /// Background work may be due.
    Background,
    /// The shutdown notice to balancers is over: the listener is closed.
    ShutdownNoticeEnded,
    /// Idle clients are closed in a graceful shutdown.
    CloseIdleClients,
    /// The process exits.
    Exit,
}
