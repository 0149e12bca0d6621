//! How the process ends: told to stop, it serves who still arrives, closes whoever is idle, and ends when nothing is owed.
//! It owns the times of that order; whom to close when is the clients' owner's to do.

use super::EventLoop;
use super::timer_events::TimerEvent;
use birchreach::Micros;
use birchreach_health::HealthEvent;
use tracing::info;

/// After SIGTERM connections still arrive for so long at the most; they are served.
const NEWCOMERS: Micros = 400_000;
/// What is taken later may not have its whole deadline before SIGKILL: that comes the longest deadline and this after
/// SIGTERM, or later.
const LAST_TAKEN: Micros = 700_000;
/// Idle clients are closed then, well after the one and well before the other.
const LINGER: Micros = NEWCOMERS + (LAST_TAKEN - NEWCOMERS) / 2;
/// Where another process has the listener too, nobody new arrives here: idle clients have this time to ask once
/// more, for an answer and the end behind it cross with no request.
const HANDOVER: Micros = 600_000;
/// Beyond the longest deadline, clients have gone: nothing more is owed to anyone.
const LAST_CALL: Micros = 1_500_000;

impl EventLoop {
    /// Told to stop. Where balancers are told of it, they have a while to go elsewhere first; told again, it leaves.
    pub(super) fn stop(&mut self) {
        if !std::mem::replace(&mut self.stopping, true) {
            info!(event = "stopping", open = self.context.core.open_request_count());
            self.record_health_event(HealthEvent::Stopping);
            let lead = self.config.options.health.as_ref().map_or(0, |health| health.shutdown_notice);
            if lead > 0 && !self.handover.is_replaced() {
                return self.context.timers.set(self.context.now + lead, TimerEvent::StopListening);
            }
        }
        self.stop_listening();
    }

    pub(super) fn stop_listening(&mut self) {
        if !std::mem::replace(&mut self.listener_closed, true) {
            let linger = if self.config.inherited.is_some() {
                self.clients.start_handover(&mut self.context);
                HANDOVER
            } else {
                LINGER
            };
            self.context.timers.set(self.context.now + linger, TimerEvent::CloseIdleClients);
            self.context
                .timers
                .set(self.context.now + linger + self.longest_deadline + LAST_CALL, TimerEvent::Exit);
        }
    }

    /// The last idle clients go now; who has a request in hand goes with its answer.
    pub(super) fn close_idle_clients(&mut self) {
        self.clients.shut_down(&mut self.context);
        if let Some(fleet) = &mut self.fleet {
            fleet.leave(self.context.now);
            self.after_fleet();
        }
        self.clients_closed = true;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Whoever arrives is taken, and whatever is taken has its whole deadline before the process may be killed, with a
    /// tenth of a second to spare for a loop that shares its core.
    #[test]
    fn what_is_taken_after_sigterm_has_its_deadline_before_the_kill() {
        let spare = 100_000;
        assert!((NEWCOMERS + spare..=LAST_TAKEN - spare).contains(&LINGER), "{LINGER}");
        // With the listener handed over nobody arrives here: only the kill bounds that.
        assert!((0..=LAST_TAKEN - spare).contains(&HANDOVER), "{HANDOVER}");
    }
}
