//! Graceful shutdown. The process serves connections that still arrive, then closes idle clients, and exits once no request is
//! open.
//!
//! This module sets the times of these steps. [`super::clients`] decides which client is closed.

#[cfg(test)]
mod tests;

use super::EventLoop;
use super::timer_events::TimerEvent;
use birchreach::Micros;
use birchreach_health::HealthEvent;
use tracing::info;

/// Connections may still arrive for this long after SIGTERM. They are served.
const LATE_ARRIVAL_PERIOD_MICROS: Micros = 400_000;
/// SIGKILL follows SIGTERM after the longest request timeout plus this time, or later. A request that is accepted later than this
/// after SIGTERM may therefore be cut off before its timeout.
const SAFE_ACCEPT_PERIOD_MICROS: Micros = 700_000;
/// Idle clients are closed this long after the shutdown of clients is scheduled, halfway between the two times above.
const CLOSE_IDLE_AFTER_MICROS: Micros =
    LATE_ARRIVAL_PERIOD_MICROS + (SAFE_ACCEPT_PERIOD_MICROS - LATE_ARRIVAL_PERIOD_MICROS) / 2;
/// Replaces [`CLOSE_IDLE_AFTER_MICROS`] if another process has the listener too, so that no new client arrives here. If an idle
/// client sends another request within this time, its connection is closed right after the response, when no further request can
/// be in flight.
const CLOSE_IDLE_AFTER_HANDOVER_MICROS: Micros = 600_000;
/// The process exits this long after the last accepted request can time out, when no client still waits for a response.
const EXIT_AFTER_LONGEST_TIMEOUT_MICROS: Micros = 1_500_000;

/// How long the exit is put off in all while clients still fetch their answers, so that a client that hardly reads cannot keep the
/// process.
const MAX_EXIT_DELAY_MICROS: Micros = 30_000_000;
/// How often the exit is tried again meanwhile.
const EXIT_RETRY_INTERVAL_MICROS: Micros = 100_000;

/// Returns the longest time from SIGTERM to the exit of a process that shares its listener.
pub(super) fn longest_duration(longest_client_timeout: Micros) -> Micros {
    CLOSE_IDLE_AFTER_HANDOVER_MICROS + longest_client_timeout + EXIT_AFTER_LONGEST_TIMEOUT_MICROS
}

impl EventLoop {
    /// Begins the shutdown. If balancers check this proxy, they first get some time to send clients elsewhere. A second signal
    /// ends that time early.
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

    /// Sets the timers that close idle clients and exit the process. Does nothing if they are already set.
    pub(super) fn schedule_client_shutdown(&mut self) {
        if std::mem::replace(&mut self.client_shutdown_scheduled, true) {
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
        self.exit_by = exit_at + MAX_EXIT_DELAY_MICROS;
    }

    /// Exits the process. Waits while answers are on their way to clients, since the end of the process would cut them off.
    pub(super) fn exit_unless_answering(&mut self) {
        let now = self.context.now;
        if now < self.exit_by && self.clients.has_answers_under_way() {
            return self.context.timers.set(now + EXIT_RETRY_INTERVAL_MICROS, TimerEvent::Exit);
        }
        info!(event = "stopped", open = self.context.core.open_request_count());
        self.handover.announce_finished();
        std::process::exit(0);
    }

    /// Closes idle clients and leaves the fleet. Each other client is closed after its response.
    pub(super) fn close_idle_clients(&mut self) {
        self.clients.shut_down(&mut self.context);
        if let Some(fleet) = &mut self.fleet {
            fleet.leave(&self.context);
            self.apply_fleet_changes();
        }
        self.clients_closed = true;
    }
}
