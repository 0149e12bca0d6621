//! A turn of the loop: who is ready has his turn, in order; what the core commands is done; timers fire.

use super::checks::Checks;
use super::sources::Source;
use super::{Proxy, TimerEvent};
use crate::admin_protocol::Call;
use crate::core::{Command, LogRecord};
use crate::discovery::Update;
use crate::log::Quoted;
use birchreach_health::HealthEvent;
use mio::Events;
use signal_hook::consts::SIGHUP;
use signal_hook_mio::v1_0::Signals;
use std::io::ErrorKind;
use tracing::info;

impl Proxy {
    pub(super) fn run_once(&mut self, events: &mut Events, signals: &mut Signals) -> Result<(), String> {
        let asleep = self.clock.now();
        let pressing =
            self.clients.has_pending_work() || self.admin.pressing() || self.checks.pressing(asleep);
        let wait = if pressing { Some(std::time::Duration::ZERO) } else { self.timers.wait(asleep) };
        match self.poll.poll(events, wait) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(format!("polling: {e}")),
            _ => {}
        }
        self.now = self.clock.now();
        self.health.slept += if pressing { 0 } else { self.now - asleep };
        for event in events.iter() {
            match Source::of(event.token()) {
                Source::Admin => self.admin.accept_ready(),
                Source::Operator(key) => self.operator(key),
                source @ (Source::HttpListener | Source::AgentListener | Source::GrpcListener) => {
                    self.checks.accept_ready(source)
                }
                Source::Check(key) => self.with_checks(|checks, context| checks.ready(context, key)),
                _ => {}
            }
        }
        self.with_own(|admin, _, context| admin.accept(context));
        self.with_checks(Checks::go_on);
        for event in events.iter() {
            match Source::of(event.token()) {
                source if source.first() => {}
                source @ (Source::Successors | Source::Predecessor | Source::Successor) => {
                    self.handle_handover(source)
                }
                Source::Listener => self.clients.listener_ready(),
                Source::Signals => {
                    for signal in signals.pending() {
                        match signal {
                            SIGHUP => self.reload(),
                            _ => self.stop(),
                        }
                    }
                }
                Source::Discovery => {
                    if let Some(update) = self.with(|_, _, agent, context| agent.ready(context)) {
                        self.members(update);
                    }
                }
                Source::Fleet => self.with_fleet(|fellows, now| fellows.ready(now)),
                source @ (Source::GossipListener | Source::ViewListener) => {
                    self.with_gossip(|gossip, context| {
                        gossip.accept_ready(source);
                        gossip.step(context);
                    })
                }
                Source::Gossip(key) => self.with_gossip(|gossip, context| gossip.ready_link(context, key)),
                Source::Client(key) => {
                    let ended = event.is_read_closed() || event.is_error();
                    self.with(|clients, _, _, context| {
                        if ended {
                            clients.peer_closed(key);
                        }
                        clients.handle_ready(context, key);
                    });
                }
                Source::Database(key) => self.with(|_, pool, _, context| pool.handle_ready(context, key)),
                _ => {}
            }
            self.carry_out();
        }
        self.with(|clients, pool, agent, context| {
            clients.continue_pending_work(context);
            if pool.take_descriptors_exhausted() {
                clients.release_descriptor(context);
            }
            if agent.take_descriptors_exhausted() {
                clients.release_descriptor(context);
            }
        });
        self.carry_out();
        self.now = self.clock.now();
        while let Some(due) = self.timers.due(self.now) {
            self.handle_timer(due);
            self.carry_out();
        }
        if self.pool.has_completed_queries() {
            self.with_background(|_, _| {});
        }
        self.update_health();
        Ok(())
    }

    /// Another process of this proxy came, spoke or went.
    fn handle_handover(&mut self, source: Source) {
        self.with_own(|_, twin, context| match source {
            Source::Successors => twin.accept(context),
            link => twin.ready(context, link),
        });
        self.apply_process_count();
        let replaced = self.handover.is_replaced();
        self.with_fleet(|fellows, now| fellows.replaced(now, replaced));
        self.negotiate_handover();
    }

    /// An operator's connection is ready.
    fn operator(&mut self, key: usize) {
        let (stopping, balanced) = (self.stopping, self.health.watch.is_some());
        let mut maintenance = None;
        let told = self.admin_reports();
        self.with_own(|admin, _, context| {
            let Some(call) = admin.ready(context, key) else { return };
            let figures = context.core.stats.lines(context.core.gauges(context.now));
            if let Some(caller) = admin.caller(key) {
                match call {
                    Call::Status if stopping => caller.no("stopping"),
                    Call::Status => caller.yes("it takes clients"),
                    Call::Stats => caller.figures(&figures),
                    Call::Fleet | Call::Hot | Call::Split => match told.lines(call) {
                        Some(lines) => caller.figures(lines),
                        None => caller.unknown(),
                    },
                    Call::Metrics => match &told.metrics {
                        Some(metrics) => caller.text(metrics),
                        None => caller.unknown(),
                    },
                    // Without balancers there is nothing to be taken out of.
                    Call::Maintenance(_) if !balanced => caller.unknown(),
                    Call::Maintenance(on) => {
                        maintenance = Some(on);
                        caller.yes(if on { "balancers are told maintenance" } else { "maintenance is over" });
                    }
                }
            }
            admin.write(context, key);
        });
        if let Some(on) = maintenance {
            self.record_health_event(HealthEvent::Maintenance(on));
        }
    }

    /// Does what the core commands; what comes of it may bring more.
    pub(super) fn carry_out(&mut self) {
        loop {
            let Some(command) = self.core.next_command() else {
                // Clients that have taken what there was of a long value get more of it.
                let Some(attempt) = self.clients.next_ready_for_more() else { return };
                self.with(|_, pool, _, context| pool.resume_reading(context, attempt));
                continue;
            };
            self.with(|clients, pool, _, context| match command {
                Command::StartAttempt {
                    attempt,
                    server,
                    payload: work,
                    deadline: until,
                    from_copy: copy,
                } => pool.start_attempt(context, attempt, server, work, until, copy),
                Command::CancelAttempt { attempt } => pool.cancel_attempt(context, attempt),
                Command::HealthCheck { server } => pool.start_health_check(context, server),
                Command::Answer { client, request, answer } => {
                    clients.answer(context, client, request, &answer)
                }
                Command::BeginStream { client, request, attempt, length } => {
                    clients.start_value(context, client, request, attempt, length);
                }
                Command::StreamChunk { client, request, bytes } => {
                    clients.send_value_chunk(context, client, request, &bytes)
                }
                Command::AbortStream { client, request } => clients.abort_value(context, client, request),
                Command::SetTimer { id, at } => context.timers.set(at, TimerEvent::Routing(id)),
                Command::Log(LogRecord::RoutingNote(note)) => info!(event = "module", note = %Quoted(note)),
                Command::Log(LogRecord::ServerListed { number, uid, endpoint }) => {
                    info!(event = "server", number, uid, endpoint);
                }
            });
        }
    }

    pub(super) fn members(&mut self, update: Update) {
        info!(event = "list", rev = update.rev, all = update.all, lines = update.targets.len());
        let moved = self.core.update_endpoints(self.now, update);
        self.with(|_, pool, _, context| {
            moved.into_iter().for_each(|server| pool.server_moved(context, server))
        });
        self.carry_out();
    }
}
