//! What this router saw of a server: signs of life, failures, trials.

use super::*;

/// A server failing more than this share of its requests is avoided, until down to a third of it.
const FAILING: f64 = 0.3;
/// Each router leaves so much time to each of the others: 20 trials a second of one server, however many.
const TRIAL_TURN: Micros = 50_000;

impl Router {
    pub(super) fn suspect(&mut self, id: ServerId, mute: bool, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.mute |= mute;
        if !s.suspect || Some(self.now) >= s.trial_at {
            s.trial_at = Some(self.now + s.trial_wait.max(Micros::from(self.set.proxy_count) * TRIAL_TURN));
            s.trial_wait = (s.trial_wait * 2).min(LONGEST_TRIAL);
        }
        if !std::mem::replace(&mut s.suspect, true) {
            let why = if mute { "gives no sign of life" } else { "fails its requests" };
            out.push(Action::Log(format!("server {} {why}: reads avoid it", id.0)));
        }
    }

    /// A sign of life; `failed` tells whether the request itself went wrong.
    pub(super) fn heard(&mut self, id: ServerId, failed: bool, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        (s.last_reply, s.mute) = (Some(self.now), false);
        self.tally(id, failed, out);
    }

    pub(super) fn tally(&mut self, id: ServerId, failed: bool, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        blend(&mut s.failing, f64::from(failed), QUICK_BLEND);
        if failed && s.failing > FAILING {
            self.suspect(id, false, out);
        } else if s.suspect && s.failing <= FAILING / 3.0 {
            (s.suspect, s.trial_wait) = (false, FIRST_TRIAL);
        } else if s.suspect && !failed {
            s.trial_at = Some(self.now);
        }
    }

    pub(super) fn trial_due(&self, s: &Server) -> bool {
        s.out == 0 && s.suspect && Some(self.now) >= s.trial_at
    }
}
