//! What timers are set for.

use super::ids::{ConnectionKey, ConnectionSerial, LinkKey, LinkSerial, PollStateSerial, QuerySerial};
use crate::core::{AttemptId, RoutingTimerId};

/// What a timer was set for. A key is that of the owner's slab; a serial tells a later use of the same key from this one.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    /// A timer of the decisions.
    Routing(RoutingTimerId),
    /// An attempt's time is over.
    AttemptTimeout(AttemptId),
    /// A connection to a database was not established in time.
    ConnectTimeout(ConnectionKey, ConnectionSerial),
    /// A query that no client waits for was not answered in time.
    QueryTimeout(ConnectionKey, QuerySerial),
    /// A connection to a database may be used again.
    CooldownEnded(ConnectionKey, ConnectionSerial),
    /// Clients may be accepted again after the system had no descriptor.
    RetryAccept,
    /// The next poll of discovery is due, or a state of the current one has lasted too long.
    Discovery(PollStateSerial),
    /// Connections are looked through for those that have been idle for too long.
    Sweep,
    /// A balancer has sent no query in time.
    CheckTimeout { key: usize, serial: u64 },
    /// What balancers are told may change.
    HealthChange,
    /// The monitor is told of the load.
    HealthTick,
    /// Checks are answered by the process that replaces this one.
    StopAcceptingChecks,
    /// The process that this one replaces no longer answers checks.
    OpenCheckListeners,
    /// Another proxy is to be asked for state, or has had its time.
    Gossip,
    /// The budget for state that is sent to another proxy allows for more.
    GossipSend(LinkKey, LinkSerial),
    /// A member of the fleet is to be probed, or has had its time.
    Fleet,
    /// Work that no client waits for may be due.
    Background,
    /// Balancers have had their time to send clients elsewhere.
    StopListening,
    /// Idle clients are closed in a graceful shutdown.
    CloseIdleClients,
    /// The process exits.
    Exit,
}
