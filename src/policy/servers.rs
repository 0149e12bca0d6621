//! A server. Each part of its state belongs to the module that decides about it.

use super::concurrency::ConcurrencyLimit;
use super::endpoints::EndpointStatus;
use super::health_checks::HealthCheckState;
use super::outlier_detection::OutlierDetection;
use super::replication::ReplicationState;
use super::slow_start::SlowStart;

/// What the router knows of a server.
pub(super) struct Server {
    pub endpoint: EndpointStatus,
    pub replication: ReplicationState,
    pub concurrency: ConcurrencyLimit,
    pub slow_start: SlowStart,
    pub outlier: OutlierDetection,
    pub health_check: HealthCheckState,
    /// Attempts without an outcome, those that no longer count against the concurrency limit included.
    pub attempt_count: usize,
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
            attempt_count: 0,
        }
    }

    /// A new process runs at this server: of the previous one only the log position still holds.
    pub(super) fn reset_for_new_process(&mut self, slow_start: SlowStart) {
        self.replication.reset_for_new_process();
        self.slow_start.reset_for_new_process(slow_start);
        self.outlier.reset_for_new_process();
        self.concurrency.reset_for_new_process();
    }

    /// It has no attempt in flight, and accepts no work or does not respond.
    pub(super) fn is_unused(&self) -> bool {
        let is_in_use = self.endpoint.accepts_work() && !self.outlier.is_unresponsive();
        self.attempt_count == 0 && !is_in_use
    }
}
