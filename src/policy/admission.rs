//! Admission: which requests are accepted, and load shedding when a group misses its latency objectives.
//!
//! A proxy with a small share of the traffic often has no attempts in flight when overload begins, so that it
//! never reaches its concurrency limits. Admission therefore sheds a fraction of the reads of a group
//! according to the recent results in this group.

use super::pending::{InFlightAttempt, PendingRequest};
use super::queue::QueuePosition;
use super::{MEAN_SAMPLE_WEIGHT, POSITION_QUERYING_PROXIES, RECENT_SAMPLE_WEIGHT, Router};
use crate::estimates::{MIN_WAKEUP_DELAY, update_mean};
use crate::interface::{Action, AttemptOutcome, Consistency, GroupId, Request, RequestClass};
use std::cmp::Reverse;

/// Admitted fraction of reads, as a multiple of the fraction that met the latency objective. Slightly more
/// reads are admitted than were served in time, so that the group recovers when the load falls.
const ADMISSION_GAIN: f64 = 1.4;
/// Fraction by which each admission check reduces the miss rate, so that a group whose reads are all shed is
/// tried again.
const MISS_RATE_DECAY: f64 = 0.01;
/// Fallback reads are considered on time below this fraction of missed objectives, which corresponds to a
/// last miss about ten responses or a hundred admission checks ago.
const LOW_MISS_RATE: f64 = 0.05;

/// Running means: fractions of the attempts of a group that missed the latency objective.
#[derive(Default)]
pub(super) struct MissRates {
    /// Attempts other than fallback reads.
    objective_miss_rate: f64,
    /// Fallback reads, which were sent to the primary although a replica may serve them.
    fallback_miss_rate: f64,
}

impl MissRates {
    /// Whether most fallback reads meet their latency objective.
    pub(super) fn is_fallback_on_time(&self) -> bool {
        self.fallback_miss_rate < LOW_MISS_RATE
    }
}

impl Router {
    /// Dispatches a new request, or rejects it if its group sheds load. A request whose id is pending is
    /// ignored. Cost: O(members of the group).
    pub(super) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        if self.pending.contains_key(&request.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(request.class.index()) else {
            return actions.push(Action::Reject { request: request.id, retry_after: None });
        };
        let is_write = class.consistency == Consistency::Write;
        self.retry_budget.record_request(self.settings.proxy_count);
        self.arrival_count += 1;
        let request_id = request.id;
        let pending = self.pending_request(request);
        let admitted = is_write || self.admits_read(&pending);
        self.pending.insert(request_id, pending);
        if admitted {
            self.dispatch(request_id, actions);
        } else {
            self.finish_unserved(request_id, actions);
        }
    }

    /// Creates the state of a new request.
    fn pending_request(&mut self, request: Request) -> PendingRequest {
        let class = &self.settings.classes[request.class.index()];
        let timeout = request.timeout.max(0);
        let has_late_value = class.late_weight_fraction > 0.0;
        let time_to_deadline = if has_late_value { timeout } else { timeout.min(class.latency_objective) };
        PendingRequest {
            class: request.class,
            group: request.group,
            session: request.session,
            required_session_position: self.session_position_for(&request),
            copy_candidates: request.copy_candidates,
            deadline: self.now.saturating_add(time_to_deadline),
            is_undelivered: true,
            delivery_deadline: self.now + timeout / 2 - MIN_WAKEUP_DELAY,
            queue_position: QueuePosition {
                is_read: class.consistency != Consistency::Write,
                priority_weight_thousandths: Reverse((class.priority_weight * 1000.0) as i64),
                arrival: Reverse(self.arrival_count),
                request: request.id,
            },
            attempts_sent: 0,
            max_attempts: self.settings.max_attempts,
            in_flight_attempts: Vec::new(),
            tried_servers: Vec::new(),
            queried_servers: Vec::new(),
            query_until: None,
            admission_draw: self.rng.f64(),
            possible_execution: None,
            next_wakeup: 0,
        }
    }

    /// Whether a new read is admitted, according to the miss rate of its group.
    fn admits_read(&mut self, request: &PendingRequest) -> bool {
        let rates = &mut self.groups.get_or_create(request.group).miss_rates;
        update_mean(&mut rates.objective_miss_rate, 0.0, MISS_RATE_DECAY);
        let served_fraction = 1.0 - rates.objective_miss_rate;
        request.admission_draw < served_fraction * ADMISSION_GAIN
    }

    /// Whether a read may fall back on the primary of its group. A proxy in a large fleet sends too few reads
    /// to each primary to learn its miss rate. The larger the fleet, the more weight the miss rate over all
    /// groups has.
    pub(super) fn admits_fallback(&mut self, request: &PendingRequest) -> bool {
        let rates = &mut self.groups.get_or_create(request.group).miss_rates;
        update_mean(&mut rates.fallback_miss_rate, 0.0, MISS_RATE_DECAY);
        update_mean(&mut self.fallback_miss_rate, 0.0, MISS_RATE_DECAY);
        let all_groups_weight =
            (1.0 - POSITION_QUERYING_PROXIES / f64::from(self.settings.proxy_count)).max(0.0);
        let miss_rate = rates.fallback_miss_rate.max(self.fallback_miss_rate * all_groups_weight);
        let served_fraction = 1.0 - miss_rate;
        request.admission_draw < served_fraction * served_fraction
    }

    /// Updates the miss rates after an attempt. An outcome that does not indicate load counts only if it came
    /// after the latency objective.
    pub(super) fn record_miss_rate(
        &mut self,
        group: GroupId,
        attempt: &InFlightAttempt,
        outcome: AttemptOutcome,
    ) {
        let RequestClass { consistency, latency_objective, .. } =
            self.settings.classes[attempt.class.index()];
        let is_late = attempt.time_to_first_bytes(self.now) > latency_objective;
        let indicates_load =
            matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Timeout | AttemptOutcome::Overloaded);
        if !is_late && !indicates_load {
            return;
        }
        let is_fallback = !consistency.requires_primary() && self.primary(group) == Some(attempt.server);
        let miss = f64::from(is_late || outcome != AttemptOutcome::Ok);
        let rates = &mut self.groups.get_or_create(group).miss_rates;
        if is_fallback {
            update_mean(&mut rates.fallback_miss_rate, miss, RECENT_SAMPLE_WEIGHT);
            update_mean(&mut self.fallback_miss_rate, miss, MEAN_SAMPLE_WEIGHT);
        } else {
            update_mean(&mut rates.objective_miss_rate, miss, RECENT_SAMPLE_WEIGHT);
        }
    }
}
