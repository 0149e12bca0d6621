//! What timers are set for, and who has his turn when one is due.

use super::checks::Checks;
use super::gossip::Gossip;
use super::pool::{ConnectionKey, ConnectionSerial, QuerySerial};
use super::{Proxy, SWEEP};
use crate::core::AttemptId;
use tracing::info;

/// What a timer was set for.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    Routing(u32),
    AttemptTimeout(AttemptId),
    ConnectTimeout(ConnectionKey, ConnectionSerial),
    QueryTimeout(ConnectionKey, QuerySerial),
    ConnectionRested(ConnectionKey, ConnectionSerial),
    RetryAccept,
    /// A call to discovery is due, or a stage of one has had its time.
    Discovery(u64),
    Sweep,
    /// A balancer has had its time to ask for something.
    CheckTimeout(usize, u64),
    /// What balancers are told may change; and the load is to be told.
    HealthChange,
    HealthTick,
    /// This process yields to the next; this one may listen for checks, for the one before has yielded.
    StopAcceptingChecks,
    OpenCheckListeners,
    /// Another proxy is to be asked, or has had its time; more may be told to one that asks.
    Gossip,
    GossipSend(usize, u64),
    /// A fellow is to be asked, or has had its time.
    Fleet,
    /// Work that no client waits for may be due.
    Background,
    /// Draining has been told for long enough.
    StopListening,
    CloseIdleClients,
    Exit,
}

impl Proxy {
    pub(super) fn handle_timer(&mut self, due: TimerEvent) {
        if let TimerEvent::Routing(id) = due {
            return self.core.timer_fired(self.now, id);
        }
        self.with(|clients, pool, agent, context| match due {
            TimerEvent::Routing(_)
            | TimerEvent::CloseIdleClients
            | TimerEvent::Exit
            | TimerEvent::StopListening => {}
            TimerEvent::CheckTimeout(..)
            | TimerEvent::HealthChange
            | TimerEvent::HealthTick
            | TimerEvent::StopAcceptingChecks
            | TimerEvent::OpenCheckListeners => {}
            TimerEvent::Gossip | TimerEvent::GossipSend(..) | TimerEvent::Fleet | TimerEvent::Background => {}
            TimerEvent::AttemptTimeout(attempt) => pool.attempt_timed_out(context, attempt),
            TimerEvent::ConnectTimeout(key, serial) => pool.connect_timed_out(context, key, serial),
            TimerEvent::QueryTimeout(key, serial) => pool.query_timed_out(context, key, serial),
            TimerEvent::ConnectionRested(key, serial) => pool.connection_rested(context, key, serial),
            TimerEvent::RetryAccept => clients.resume_accepting(),
            TimerEvent::Discovery(turn) => agent.due(context, turn),
            TimerEvent::Sweep => {
                clients.close_expired(context);
                pool.close_expired(context);
                context.timers.set(context.now + SWEEP, TimerEvent::Sweep);
            }
        });
        match due {
            TimerEvent::Sweep => {
                let (stopping, held) = (self.stopping, self.clients.len() + self.pool.len());
                self.with_own(|admin, twin, context| {
                    admin.sweep(context);
                    if stopping {
                        twin.announce_stopping(context, held);
                    }
                });
                let (_, for_databases) = self.connection_limits();
                let pressure = self.core.attempts_in_flight() as f64 / for_databases.max(1) as f64;
                self.with_gossip(|gossip, _| gossip.pressed(pressure));
                self.reopen_check_listeners();
            }
            TimerEvent::CheckTimeout(key, serial) => {
                self.with_checks(|checks, context| checks.asked(context, key, serial))
            }
            // The look at the end of the turn does the rest.
            TimerEvent::HealthChange => self.health.timer = self.health.timer.filter(|at| *at > self.now),
            TimerEvent::HealthTick => self.report_load(),
            TimerEvent::StopAcceptingChecks if self.health.yielding => {
                self.with_checks(Checks::stop_listening)
            }
            TimerEvent::OpenCheckListeners if self.checks.lacks() => self.with_checks(Checks::reopen),
            TimerEvent::Gossip => self.with_gossip(Gossip::step),
            TimerEvent::GossipSend(key, serial) => {
                self.with_gossip(|gossip, context| gossip.go_on(context, key, serial))
            }
            TimerEvent::Fleet => self.with_fleet(|fellows, now| fellows.due(now)),
            TimerEvent::Background => self.with_background(|_, _| {}),
            TimerEvent::StopListening => self.stop_listening(),
            TimerEvent::CloseIdleClients => self.close_idle_clients(),
            TimerEvent::Exit => {
                info!(event = "stopped", open = self.core.open_request_count());
                std::process::exit(0);
            }
            _ => {}
        }
    }
}
