//! Dispatches each timer that is due to its owner.

use super::ids::{LinkKey, LinkSerial};
use super::sources::Source;
use super::timer_events::TimerEvent;
use super::{EventLoop, PERIODIC_TASK_INTERVAL_MICROS};

impl EventLoop {
    /// Passes a due timer to its owner. Timers are never cancelled, so each owner checks whether the timer still
    /// applies.
    pub(super) fn handle_timer(&mut self, due: TimerEvent) {
        let context = &mut self.context;
        match due {
            TimerEvent::Routing(id) => context.core.timer_fired(context.now, id),
            TimerEvent::AttemptTimeout(attempt) => self.pool.attempt_timed_out(context, attempt),
            TimerEvent::ConnectTimeout(key, serial) => self.pool.connect_timed_out(context, key, serial),
            TimerEvent::QueryTimeout(key, serial) => self.pool.query_timed_out(context, key, serial),
            TimerEvent::CooldownEnded(key, serial) => self.pool.cooldown_ended(context, key, serial),
            TimerEvent::RetryAccept => self.clients.resume_accepting(),
            TimerEvent::GrantTimeout(id) => self.clients.grant_timed_out(context, id),
            TimerEvent::CheckDeliveries => self.clients.check_deliveries(context),
            TimerEvent::Discovery(state_serial) => self.discovery.timed_out(context, state_serial),
            TimerEvent::PeriodicTasks => self.run_periodic_tasks(),
            TimerEvent::CheckTimeout(key, serial) => self.checks.query_timed_out(context, key, serial),
            // `update_health` updates the verdict at the end of the turn.
            TimerEvent::HealthUpdate => {
                self.health.update_timer = self.health.update_timer.filter(|at| *at > context.now)
            }
            TimerEvent::HealthLoadReport => self.report_load(),
            TimerEvent::StopAcceptingChecks if self.health.handing_over => {
                self.checks.stop_listening(context)
            }
            TimerEvent::OpenCheckListeners if self.checks.is_missing_listener() => {
                self.checks.reopen_listeners(context);
            }
            TimerEvent::StopAcceptingChecks | TimerEvent::OpenCheckListeners => {}
            TimerEvent::Gossip => self.advance_gossip(),
            TimerEvent::GossipSend(key, serial) => self.continue_gossip_send(key, serial),
            TimerEvent::AnnounceSessionWrites => self.handover.announce_session_writes(context),
            TimerEvent::PredecessorWaitEnded => {
                self.handover.end_wait_for_predecessor();
                self.apply_handover_state();
            }
            TimerEvent::Fleet => self.handle_fleet_timer(),
            TimerEvent::Background => self.run_background(),
            TimerEvent::RetryReload => self.try_reload(),
            TimerEvent::ShutdownNoticeEnded => self.schedule_client_shutdown(),
            TimerEvent::CloseIdleClients => self.close_idle_clients(),
            TimerEvent::Exit => self.exit_unless_answering(),
        }
    }

    /// Sends the next part of a state transfer if the link is still open.
    fn continue_gossip_send(&mut self, key: LinkKey, serial: LinkSerial) {
        if let Some(gossip) = &mut self.gossip {
            gossip.continue_sending(&mut self.context, key, serial);
            self.apply_gossip_progress();
        }
    }

    /// Returns the number of attempts in flight divided by the limit of connections to databases.
    pub(super) fn database_connections_in_use(&self) -> f64 {
        let limit = self.connection_limits().databases.max(1);
        self.context.core.attempts_in_flight() as f64 / limit as f64
    }

    /// Closes connections that have been idle or unresponsive for too long, reports the load of this process to other
    /// processes and proxies, and opens missing listeners for checks. Sets the timer for the next run.
    fn run_periodic_tasks(&mut self) {
        let context = &mut self.context;
        let pool = &self.pool;
        context.timers.remove_stale(|event| match event {
            TimerEvent::AttemptTimeout(attempt) => pool.has_attempt(*attempt),
            TimerEvent::ConnectTimeout(key, serial) => pool.is_opening(*key, *serial),
            _ => true,
        });
        context.memory.compare_with_system();
        self.clients.reclaim_memory(context);
        self.clients.close_expired(context);
        self.pool.close_expired(context);
        context.timers.set(context.now + PERIODIC_TASK_INTERVAL_MICROS, TimerEvent::PeriodicTasks);
        let descriptors = self.clients.len() + self.pool.len();
        self.admin.close_unresponsive(context);
        if self.stopping {
            self.handover.announce_stopping(context, descriptors);
        }
        let pressure = self.database_connections_in_use();
        if let Some(gossip) = &mut self.gossip {
            gossip.set_load(pressure);
            self.apply_gossip_progress();
        }
        self.clients.set_write_admission(self.handover.write_admission(self.context.now));
        self.reopen_check_listeners();
        self.handover.listen_after_successor(self.context.poll.registry());
        if self.handover.has_failed_accept() {
            self.handle_handover(Source::HandoverListener);
        }
    }
}
