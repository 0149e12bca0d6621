//! Admission: which requests are accepted, and load shedding when a group misses its latency objectives.
//!
//! A proxy with a small part of the traffic has no attempts in flight when overload begins, so that its
//! concurrency limits never bind. It sheds a fraction of its reads by how the last ones of their group ended.

use super::pending::{InFlightAttempt, PendingRequest};
use super::queue::QueuePosition;
use super::{MEAN_SAMPLE_WEIGHT, POSITION_QUERYING_PROXIES, RECENT_SAMPLE_WEIGHT, Router};
use crate::estimates::{MIN_WAKE_DELAY, update_mean};
use crate::interface::{Action, AttemptOutcome, Consistency, GroupId, Request, RequestClass};
use std::cmp::Reverse;

/// Admitted fraction of reads, as a multiple of the fraction that met its objective: admits a little more
/// than what was served in time, so that the group recovers when load falls.
const ADMISSION_GAIN: f64 = 1.4;
/// Each admission check reduces the miss rate by this fraction, so that a group from which all is shed is
/// tried again.
const MISS_RATE_DECAY: f64 = 0.01;
/// Below this fraction of missed objectives, reads that fall back on the primary are served well: the last
/// miss is about ten answers or a hundred admission checks ago.
const LOW_MISS_RATE: f64 = 0.05;

/// Fractions of the attempts of a group that missed the latency objective.
#[derive(Default)]
pub(super) struct MissRates {
    /// Attempts at the servers meant for them.
    objective_miss_rate: f64,
    /// Reads that fell back on the primary.
    fallback_miss_rate: f64,
}

impl MissRates {
    /// Whether reads that fall back on the primary mostly meet their objective.
    pub(super) fn is_fallback_served_well(&self) -> bool {
        self.fallback_miss_rate < LOW_MISS_RATE
    }
}

impl Router {
    /// A request arrives: it is dispatched, or rejected if its group sheds load. One whose id is pending is
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

    /// The state of a new request.
    fn pending_request(&mut self, request: Request) -> PendingRequest {
        let class = &self.settings.classes[request.class.index()];
        let timeout = request.timeout.max(0);
        let is_late_answer_useful = class.late_weight_fraction > 0.0;
        let useful_for = if is_late_answer_useful { timeout } else { timeout.min(class.latency_objective) };
        PendingRequest {
            class: request.class,
            group: request.group,
            session: request.session,
            required_session_position: self.session_position_for(&request),
            copy_candidates: request.copy_candidates,
            useful_until: self.now.saturating_add(useful_for),
            reached_no_server: true,
            unsent_until: self.now + timeout / 2 - MIN_WAKE_DELAY,
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
            next_wake: 0,
        }
    }

    /// Whether a new read is admitted, by the miss rate of its group.
    fn admits_read(&mut self, request: &PendingRequest) -> bool {
        let rates = &mut self.groups.get_or_create(request.group).miss_rates;
        update_mean(&mut rates.objective_miss_rate, 0.0, MISS_RATE_DECAY);
        let served_fraction = 1.0 - rates.objective_miss_rate;
        request.admission_draw < served_fraction * ADMISSION_GAIN
    }

    /// Whether a read may fall back on the primary of its group. A proxy of a large fleet sends too few reads
    /// to each primary to learn its miss rate: the larger the fleet, the more the rate over all groups
    /// counts.
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

    /// Updates the miss rates after an attempt. Outcomes that say nothing of the load count only if they came
    /// late.
    pub(super) fn record_miss_rate(
        &mut self,
        group: GroupId,
        attempt: &InFlightAttempt,
        outcome: AttemptOutcome,
    ) {
        let RequestClass { consistency, latency_objective, .. } =
            self.settings.classes[attempt.class.index()];
        let is_late = attempt.latency(self.now) > latency_objective;
        let shows_load =
            matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Timeout | AttemptOutcome::Overloaded);
        if !is_late && !shows_load {
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
