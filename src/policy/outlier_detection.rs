//! What this router saw of a server: signs of life, failures, trials.

use super::*;

/// A server failing more than this share of its requests is avoided, until down to a third of it.
const EJECTION_FAILURE_RATE: f64 = 0.3;
/// Each router leaves so much time to each of the others: 20 trials a second of one server, however many.
const EJECTION_RETRY_SPACING: Micros = 50_000;

impl Router {
    pub(super) fn eject(&mut self, id: ServerId, mute: bool, actions: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.unresponsive |= mute;
        if !s.ejected || Some(self.now) >= s.half_open_at {
            s.half_open_at = Some(
                self.now
                    + s.ejection_backoff
                        .max(Micros::from(self.settings.proxy_count) * EJECTION_RETRY_SPACING),
            );
            s.ejection_backoff = (s.ejection_backoff * 2).min(MAX_EJECTION_BACKOFF);
        }
        if !std::mem::replace(&mut s.ejected, true) {
            let why = if mute { "gives no sign of life" } else { "fails its requests" };
            actions.push(Action::Log(format!("server {} {why}: reads avoid it", id.0)));
        }
    }

    /// A sign of life; `failed` tells whether the request itself went wrong.
    pub(super) fn record_sign_of_life(&mut self, id: ServerId, failed: bool, actions: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        (s.last_response_at, s.unresponsive) = (Some(self.now), false);
        self.record_outcome(id, failed, actions);
    }

    pub(super) fn record_outcome(&mut self, id: ServerId, failed: bool, actions: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        update_mean(&mut s.failure_rate, f64::from(failed), RECENT_SAMPLE_WEIGHT);
        if failed && s.failure_rate > EJECTION_FAILURE_RATE {
            self.eject(id, false, actions);
        } else if s.ejected && s.failure_rate <= EJECTION_FAILURE_RATE / 3.0 {
            (s.ejected, s.ejection_backoff) = (false, INITIAL_EJECTION_BACKOFF);
        } else if s.ejected && !failed {
            s.half_open_at = Some(self.now);
        }
    }

    pub(super) fn is_half_open(&self, s: &Server) -> bool {
        s.in_flight_count == 0 && s.ejected && Some(self.now) >= s.half_open_at
    }
}
