//! What timers are set for, and who has his turn when one is due.

use super::checks::Checks;
use super::gossip::Gossip;
use super::{Proxy, SWEEP};
use crate::core::AttemptId;
use tracing::info;

/// What a timer was set for.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Module(u32),
    Attempt(AttemptId),
    Connect(usize, u64),
    Probe(usize, u64),
    Rested(usize, u64),
    Accept,
    /// A call to discovery is due, or a stage of one has had its time.
    Discovery(u64),
    Sweep,
    /// A balancer has had its time to ask for something.
    Asked(usize, u64),
    /// What balancers are told may change; and the load is to be told.
    Health,
    HealthTick,
    /// This process yields to the next; this one may listen for checks, for the one before has yielded.
    Yield,
    Checks,
    /// Another proxy is to be asked, or has had its time; more may be told to one that asks.
    Gossip,
    GossipSend(usize, u64),
    /// A fellow is to be asked, or has had its time.
    Fleet,
    /// Work that no client waits for may be due.
    Background,
    /// Draining has been told for long enough.
    Depart,
    Leave,
    Exit,
}

impl Proxy {
    pub(super) fn fire(&mut self, due: Due) {
        if let Due::Module(id) = due {
            return self.core.timer_fired(self.now, id);
        }
        self.with(|clients, pool, agent, context| match due {
            Due::Module(_) | Due::Leave | Due::Exit | Due::Depart => {}
            Due::Asked(..) | Due::Health | Due::HealthTick | Due::Yield | Due::Checks => {}
            Due::Gossip | Due::GossipSend(..) | Due::Fleet | Due::Background => {}
            Due::Attempt(attempt) => pool.overdue(context, attempt),
            Due::Connect(key, serial) => pool.connect_overdue(context, key, serial),
            Due::Probe(key, turn) => pool.probe_overdue(context, key, turn),
            Due::Rested(key, serial) => pool.rested(context, key, serial),
            Due::Accept => clients.accept_again(),
            Due::Discovery(turn) => agent.due(context, turn),
            Due::Sweep => {
                clients.sweep(context);
                pool.sweep(context);
                context.timers.set(context.now + SWEEP, Due::Sweep);
            }
        });
        match due {
            Due::Sweep => {
                let (stopping, held) = (self.stopping, self.clients.len() + self.pool.len());
                self.with_own(|admin, twin, context| {
                    admin.sweep(context);
                    if stopping {
                        twin.leaving(context, held);
                    }
                });
                let (_, for_databases) = self.places();
                let pressure = self.core.attempts_in_flight() as f64 / for_databases.max(1) as f64;
                self.with_gossip(|gossip, _| gossip.pressed(pressure));
                self.check_doors();
            }
            Due::Asked(key, serial) => self.with_checks(|checks, context| checks.asked(context, key, serial)),
            // The look at the end of the turn does the rest.
            Due::Health => self.health.timer = self.health.timer.filter(|at| *at > self.now),
            Due::HealthTick => self.tell_load(),
            Due::Yield if self.health.yielding => self.with_checks(Checks::stop_listening),
            Due::Checks if self.checks.lacks() => self.with_checks(Checks::reopen),
            Due::Gossip => self.with_gossip(Gossip::step),
            Due::GossipSend(key, serial) => {
                self.with_gossip(|gossip, context| gossip.go_on(context, key, serial))
            }
            Due::Fleet => self.with_fleet(|fellows, now| fellows.due(now)),
            Due::Background => self.with_background(|_, _| {}),
            Due::Depart => self.depart(),
            Due::Leave => self.leave(),
            Due::Exit => {
                info!(event = "stopped", open = self.core.open_request_count());
                std::process::exit(0);
            }
            _ => {}
        }
    }
}
