//! A server and a group of servers. Each part of a server's state belongs to the module that decides about
//! it.

use super::admission::MissRates;
use super::concurrency::ConcurrencyLimit;
use super::endpoints::EndpointStatus;
use super::health_checks::HealthCheckState;
use super::outlier_detection::OutlierDetection;
use super::queue::QueuePosition;
use super::replication::ReplicationState;
use super::slow_start::SlowStart;
use crate::interface::ServerId;
use std::collections::BTreeSet;

/// What the router knows of a server.
pub(super) struct Server {
    pub endpoint: EndpointStatus,
    pub replication: ReplicationState,
    pub concurrency: ConcurrencyLimit,
    pub slow_start: SlowStart,
    pub outlier: OutlierDetection,
    pub health_check: HealthCheckState,
}

impl Server {
    /// A server that has just been listed.
    pub(super) fn new(endpoint: EndpointStatus, slow_start: SlowStart) -> Self {
        Server {
            endpoint,
            replication: ReplicationState::default(),
            concurrency: ConcurrencyLimit::new(),
            slow_start,
            outlier: OutlierDetection::new(),
            health_check: HealthCheckState::default(),
        }
    }

    /// A new process runs at this server: of the previous one only the log position still holds.
    pub(super) fn reset_for_new_process(&mut self, slow_start: SlowStart) {
        self.replication.reset_for_new_process();
        self.slow_start.reset_for_new_process(slow_start);
        self.outlier.reset_for_new_process();
        self.concurrency.reset_for_new_process();
    }
}

/// A replication group.
#[derive(Default)]
pub(super) struct Group {
    pub members: BTreeSet<ServerId>,
    /// Requests that wait for a server of the group.
    pub queued: BTreeSet<QueuePosition>,
    pub miss_rates: MissRates,
}

impl Group {
    /// It has no members, and no request waits in it.
    pub(super) fn is_unused(&self) -> bool {
        self.members.is_empty() && self.queued.is_empty()
    }
}
