//! The state of a server, composed of the parts that the other modules own.

use super::concurrency::ConcurrencyLimit;
use super::endpoints::EndpointStatus;
use super::health_checks::HealthCheckState;
use super::outlier_detection::OutlierDetection;
use super::replication::ReplicationState;
use super::slow_start::SlowStart;
use crate::interface::Micros;

/// What the router knows about a server.
pub(super) struct Server {
    pub endpoint: EndpointStatus,
    pub replication: ReplicationState,
    pub concurrency: ConcurrencyLimit,
    pub slow_start: SlowStart,
    pub outlier: OutlierDetection,
    pub health_check: HealthCheckState,
    /// Time at which the endpoint list first showed the current process of the server; `None` if it is the
    /// first one.
    pub process_listed_at: Option<Micros>,
    /// Number of attempts without a result, including those that no longer count against the concurrency
    /// limit.
    pub unfinished_attempt_count: usize,
}

impl Server {
    /// Creates the state of a server that has just been listed.
    pub(super) fn new(endpoint: EndpointStatus, slow_start: SlowStart) -> Self {
        Server {
            endpoint,
            replication: ReplicationState::default(),
            concurrency: ConcurrencyLimit::new(),
            slow_start,
            outlier: OutlierDetection::new(),
            health_check: HealthCheckState::default(),
            process_listed_at: None,
            unfinished_attempt_count: 0,
        }
    }

    /// Resets the state after a new process has started. Of the previous process, only the log position
    /// remains valid.
    pub(super) fn reset_for_new_process(&mut self, slow_start: SlowStart, now: Micros) {
        self.process_listed_at = Some(now);
        self.replication.reset_for_new_process();
        self.slow_start.reset_for_new_process(slow_start);
        self.outlier.reset_for_new_process();
        self.concurrency.reset_for_new_process();
    }

    /// Whether the server has no unfinished attempt and either accepts no work or is unresponsive.
    pub(super) fn is_unused(&self) -> bool {
        let is_in_use = self.endpoint.accepts_work() && !self.outlier.is_unresponsive();
        self.unfinished_attempt_count == 0 && !is_in_use
    }
}
