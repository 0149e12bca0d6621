//! Timers that are due, each handed to the owner that set it.

use super::timer_events::TimerEvent;
use super::{EventLoop, SWEEP};
use tracing::info;

impl EventLoop {
    /// Hands a due timer to its owner. No timer is ever taken back: each owner checks whether its own still means anything.
    pub(super) fn handle_timer(&mut self, due: TimerEvent) {
        let context = &mut self.context;
        match due {
            TimerEvent::Routing(id) => context.core.timer_fired(context.now, id),
            TimerEvent::AttemptTimeout(attempt) => self.pool.attempt_timed_out(context, attempt),
            TimerEvent::ConnectTimeout(key, serial) => self.pool.connect_timed_out(context, key, serial),
            TimerEvent::QueryTimeout(key, turn) => self.pool.query_timed_out(context, key, turn),
            TimerEvent::ConnectionRested(key, serial) => self.pool.connection_rested(context, key, serial),
            TimerEvent::RetryAccept => self.clients.resume_accepting(),
            TimerEvent::Discovery(state_serial) => self.discovery.timed_out(context, state_serial),
            TimerEvent::Sweep => self.sweep(),
            TimerEvent::CheckTimeout(key, serial) => self.checks.asked(context, key, serial),
            // `update_health` at the end of the turn does the rest.
            TimerEvent::HealthChange => self.health.timer = self.health.timer.filter(|at| *at > context.now),
            TimerEvent::HealthTick => self.report_load(),
            TimerEvent::StopAcceptingChecks => {
                if self.health.yielding {
                    self.checks.stop_listening(context);
                }
            }
            TimerEvent::OpenCheckListeners => {
                if self.checks.lacks() {
                    self.checks.reopen(context);
                }
            }
            TimerEvent::Gossip => self.step_gossip(),
            TimerEvent::GossipSend(key, serial) => {
                if let Some(gossip) = &mut self.gossip {
                    gossip.continue_sending(context, key, serial);
                    self.after_gossip();
                }
            }
            TimerEvent::Fleet => self.fleet_due(),
            TimerEvent::Background => self.run_background(),
            TimerEvent::StopListening => self.stop_listening(),
            TimerEvent::CloseIdleClients => self.close_idle_clients(),
            TimerEvent::Exit => {
                info!(event = "stopped", open = context.core.open_request_count());
                std::process::exit(0);
            }
        }
    }

    /// Closes what has been idle or silent for too long, and tells others how much this process holds and has to do.
    fn sweep(&mut self) {
        let context = &mut self.context;
        self.clients.close_expired(context);
        self.pool.close_expired(context);
        context.timers.set(context.now + SWEEP, TimerEvent::Sweep);
        let descriptors = self.clients.len() + self.pool.len();
        self.admin.sweep(context);
        if self.stopping {
            self.handover.announce_stopping(context, descriptors);
        }
        let (_, for_databases) = self.connection_limits();
        let pressure = self.context.core.attempts_in_flight() as f64 / for_databases.max(1) as f64;
        if let Some(gossip) = &mut self.gossip {
            gossip.set_load(pressure);
            self.after_gossip();
        }
        self.reopen_check_listeners();
    }
}
