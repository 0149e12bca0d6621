//! What timers are set for.

use super::database_ids::{ConnectionKey, ConnectionSerial, QuerySerial};
use crate::core::AttemptId;

/// What a timer was set for.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    Routing(u32),
    AttemptTimeout(AttemptId),
    ConnectTimeout(ConnectionKey, ConnectionSerial),
    QueryTimeout(ConnectionKey, QuerySerial),
    ConnectionRested(ConnectionKey, ConnectionSerial),
    RetryAccept,
    /// A call to discovery is due, or a stage of one has had its time.
    Discovery(u64),
    Sweep,
    /// A balancer has had its time to ask for something.
    CheckTimeout(usize, u64),
    /// What balancers are told may change; and the load is to be told.
    HealthChange,
    HealthTick,
    /// This process yields to the next; this one may listen for checks, for the one before has yielded.
    StopAcceptingChecks,
    OpenCheckListeners,
    /// Another proxy is to be asked, or has had its time; more may be told to one that asks.
    Gossip,
    GossipSend(usize, u64),
    /// A fellow is to be asked, or has had its time.
    Fleet,
    /// Work that no client waits for may be due.
    Background,
    /// Draining has been told for long enough.
    StopListening,
    CloseIdleClients,
    Exit,
}
