//! The graceful shutdown: connections that still arrive are served, idle clients are closed, and the process ends once no request
//! is open. This module owns the times of these steps; [`super::clients`] decides which client is closed.

#[cfg(test)]
mod tests;

use super::EventLoop;
use super::timer_events::TimerEvent;
use birchreach::Micros;
use birchreach_health::HealthEvent;
use tracing::info;

/// Connections may still arrive for this time after SIGTERM, and are served.
const LATE_ARRIVAL_PERIOD_MICROS: Micros = 400_000;
/// A request that is accepted later than this after SIGTERM may not have its whole timeout before SIGKILL: that comes the longest
/// timeout and this time after SIGTERM, or later.
const SAFE_ACCEPT_PERIOD_MICROS: Micros = 700_000;
/// When idle clients are closed: halfway between those two times.
const CLOSE_IDLE_AFTER_MICROS: Micros =
    LATE_ARRIVAL_PERIOD_MICROS + (SAFE_ACCEPT_PERIOD_MICROS - LATE_ARRIVAL_PERIOD_MICROS) / 2;
/// The same if another process has the listener too, so that no new client arrives here. If an idle client sends another request
/// within this time, the connection is closed right after the response, when no further request can be under way.
const CLOSE_IDLE_AFTER_HANDOVER_MICROS: Micros = 600_000;
/// When the process exits, this time after the longest timeout of a request that was accepted: no client still waits.
const EXIT_AFTER_LONGEST_TIMEOUT_MICROS: Micros = 1_500_000;

impl EventLoop {
    /// Begins the shutdown. Where balancers check this proxy they first have some time to send clients elsewhere; a second signal
    /// ends that time.
    pub(super) fn begin_shutdown(&mut self) {
        if !std::mem::replace(&mut self.stopping, true) {
            info!(event = "stopping", open = self.context.core.open_request_count());
            self.record_health_event(HealthEvent::Stopping);
            let notice = self.config.options.health.as_ref().map_or(0, |health| health.shutdown_notice);
            if notice > 0 && !self.handover.is_replaced() {
                return self.context.timers.set(self.context.now + notice, TimerEvent::ShutdownNoticeEnded);
            }
        }
        self.schedule_client_shutdown();
    }

    /// Sets the times at which idle clients are closed and the process exits.
    pub(super) fn schedule_client_shutdown(&mut self) {
        if std::mem::replace(&mut self.listener_closed, true) {
            return;
        }
        let close_idle_after = if self.config.inherited_descriptor.is_some() {
            self.clients.start_handover(&mut self.context);
            CLOSE_IDLE_AFTER_HANDOVER_MICROS
        } else {
            CLOSE_IDLE_AFTER_MICROS
        };
        let close_idle_at = self.context.now + close_idle_after;
        let exit_at = close_idle_at + self.longest_client_timeout + EXIT_AFTER_LONGEST_TIMEOUT_MICROS;
        self.context.timers.set(close_idle_at, TimerEvent::CloseIdleClients);
        self.context.timers.set(exit_at, TimerEvent::Exit);
    }

    /// Closes idle clients; each of the others is closed with its response.
    pub(super) fn close_idle_clients(&mut self) {
        self.clients.shut_down(&mut self.context);
        if let Some(fleet) = &mut self.fleet {
            fleet.leave(&self.context);
            self.apply_fleet_changes();
        }
        self.clients_closed = true;
    }
}
