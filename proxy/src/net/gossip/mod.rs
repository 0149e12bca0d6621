//! The links to other proxies: over some knowledge travels, over others all that is known of the fleet. It moves bytes and keeps
//! times; whom to ask, whom to answer and what to believe is decided by the knowledge and fleet crates.

mod link_events;
mod membership_sync;
mod nonce;
mod peer_protocol;
mod state_transfer;

use super::error::{ListenError, ListenPurpose};
use super::event_loop_context::EventLoopContext;
use super::sources::Source;
use super::timer_events::TimerEvent;
use birchreach::Micros;
use birchreach_peer_state::full_exchange::FullExchange;
use birchreach_peer_state::request_scheduler::RequestOutcome;
use birchreach_peer_state::transfer_protocol::{StateRequester, StateSender};
pub use membership_sync::MembershipSync;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};
use peer_protocol::Next;
use slab::Slab;
pub use state_transfer::StateTransfer;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Links at once, both ways; one more is not taken.
pub const MOST: usize = 24;
/// A link that has not come to its end by then is cut.
const LIFE: Micros = 5_000_000;
/// Accepted in one turn, and read at once.
const TURN: usize = 16;

enum Ends {
    /// This process asks, of whom and since when.
    Asks {
        machine: Box<StateRequester>,
        donor: String,
        asked_at: Micros,
    },
    Tells {
        machine: Box<StateSender>,
        serving: bool,
    },
    /// Both tell all that they know of the fleet.
    View(Box<FullExchange>),
}

impl Ends {
    fn out(&mut self) -> &mut Vec<u8> {
        match self {
            Ends::Asks { machine, .. } => &mut machine.output,
            Ends::Tells { machine, .. } => &mut machine.output,
            Ends::View(machine) => &mut machine.output,
        }
    }
}

struct Link {
    stream: TcpStream,
    ends: Ends,
    peer: SocketAddr,
    serial: u64,
    since: Micros,
}

#[derive(Default)]
pub struct Gossip {
    slots: Slab<Link>,
    state_transfer: Option<StateTransfer>,
    membership_sync: Option<MembershipSync>,
    serial: u64,
}

/// A listener for other proxies.
fn listen(
    registry: &Registry,
    address: SocketAddr,
    source: Source,
    purpose: ListenPurpose,
) -> Result<TcpListener, ListenError> {
    let failed = |error| ListenError { purpose, address, error };
    let mut listener = TcpListener::bind(address).map_err(failed)?;
    registry.register(&mut listener, source.token(), Interest::READABLE).map_err(failed)?;
    Ok(listener)
}

impl Gossip {
    pub fn learn(&mut self, lessons: StateTransfer) {
        self.state_transfer = Some(lessons);
    }

    pub fn view(&mut self, views: MembershipSync) {
        self.membership_sync = Some(views);
    }

    /// This process speaks for the proxy in the fleet, or another does.
    pub fn speak(&mut self, registry: &Registry, speaks: bool) {
        self.membership_sync.iter_mut().for_each(|views| views.speak(registry, speaks));
    }

    /// The start need not wait any more.
    pub fn ready(&self) -> bool {
        self.state_transfer.as_ref().is_none_or(|lessons| lessons.joiner.is_startup_complete())
    }

    pub fn accept_ready(&mut self, source: Source) {
        match source {
            Source::MembershipListener => self.membership_sync.iter_mut().for_each(|v| v.waiting = true),
            _ => self.state_transfer.iter_mut().for_each(|l| l.waiting = true),
        }
    }

    /// What is due: links to be accepted, donors to be asked, links that have had their time.
    pub fn step(&mut self, context: &mut EventLoopContext) {
        let old: Vec<usize> =
            self.slots.iter().filter(|(_, l)| context.now - l.since >= LIFE).map(|(key, _)| key).collect();
        old.into_iter().for_each(|key| self.end(context, key, Next::Over("silent")));
        self.accept(context);
        let mut next = context.now + 1_000_000;
        let asked = self
            .state_transfer
            .iter_mut()
            .flat_map(|l| l.joiner.due_requests(context.now))
            .collect::<Vec<_>>();
        for donor in asked {
            let ends = |machine| Ends::Asks { machine, donor: donor.clone(), asked_at: context.now };
            let Some(lessons) = &self.state_transfer else { break };
            let asks = lessons.ask(&donor).map(|(stream, peer, machine)| (stream, peer, ends(machine)));
            if let Err(why) = asks.and_then(|(stream, peer, ends)| self.link(context, stream, peer, ends)) {
                self.state_transfer
                    .iter_mut()
                    .for_each(|l| l.joiner.record_outcome(context.now, &donor, RequestOutcome::Failed));
                info!(conn = "knowledge", peer = donor, reason = why);
            }
        }
        if let Some(lessons) = &self.state_transfer {
            next = next.min(lessons.joiner.next_change(context.now));
        }
        context.timers.set(next, TimerEvent::Gossip);
    }

    /// How much this process has to do for its clients.
    pub fn pressed(&mut self, pressure: f64) {
        self.state_transfer.iter_mut().for_each(|lessons| lessons.donor.set_load(pressure));
    }

    /// All that is known of the fleet is to be exchanged with a member.
    pub fn exchange(&mut self, context: &mut EventLoopContext, peer: SocketAddr) {
        let Some(views) = &self.membership_sync else { return };
        let linked = views.ask(peer).and_then(|(stream, machine)| {
            let ends = Ends::View(machine);
            self.link(context, stream, peer, ends)
        });
        if let Err(reason) = linked {
            info!(conn = "fleet", %peer, reason);
        }
    }

    fn link(
        &mut self,
        context: &mut EventLoopContext,
        mut stream: TcpStream,
        peer: SocketAddr,
        ends: Ends,
    ) -> Result<(), &'static str> {
        let alike = |l: &Link| matches!((&l.ends, &ends), (Ends::View(_), Ends::View(_)));
        let views = self.slots.iter().filter(|(_, l)| alike(l)).count();
        if self.slots.len() >= MOST || views >= membership_sync::MOST {
            return Err("full");
        }
        let _ = stream.set_nodelay(true);
        let slot = self.slots.vacant_entry();
        let wanted = Interest::READABLE | Interest::WRITABLE;
        let token = Source::Gossip(slot.key()).token();
        context.registry.register(&mut stream, token, wanted).map_err(|_| "no-socket")?;
        self.serial += 1;
        slot.insert(Link { stream, ends, peer, serial: self.serial, since: context.now });
        Ok(())
    }

    fn accept(&mut self, context: &mut EventLoopContext) {
        for _ in 0..TURN {
            let lessons = self.state_transfer.as_mut().and_then(StateTransfer::accept);
            let views = self.membership_sync.as_mut().and_then(MembershipSync::accept);
            if lessons.is_none() && views.is_none() {
                return;
            }
            let told = lessons.map(|(s, peer, machine)| (s, peer, Ends::Tells { machine, serving: false }));
            let viewed = views.map(|(s, peer, machine)| (s, peer, Ends::View(machine)));
            for (stream, peer, ends) in told.into_iter().chain(viewed) {
                let conn = if matches!(ends, Ends::View(_)) { "fleet" } else { "knowledge" };
                if let Err(reason) = self.link(context, stream, peer, ends) {
                    info!(conn, %peer, reason);
                }
            }
        }
    }

    /// A link's budget has come.
    pub fn go_on(&mut self, context: &mut EventLoopContext, key: usize, serial: u64) {
        if self.slots.get(key).is_some_and(|l| l.serial == serial) {
            self.ready_link(context, key);
        }
    }

    fn end(&mut self, context: &mut EventLoopContext, key: usize, how: Next) {
        let mut link = self.slots.remove(key);
        let _ = context.registry.deregister(&mut link.stream);
        let whole = matches!(how, Next::Over("told" | "heard"));
        if let Some(lessons) = &mut self.state_transfer {
            match &link.ends {
                Ends::Asks { donor, .. } if !whole => {
                    lessons.joiner.record_outcome(context.now, donor, RequestOutcome::Failed)
                }
                Ends::Tells { serving: true, .. } => lessons.donor.finish(whole),
                _ => {}
            }
        }
        let conn = if matches!(link.ends, Ends::View(_)) { "fleet" } else { "knowledge" };
        match how {
            Next::Refused(reason) => {
                warn!(conn, peer = %link.peer, reason = %crate::log::Quoted(reason))
            }
            Next::Over(reason) => info!(conn, peer = %link.peer, reason),
            Next::Waits => {}
        }
    }
}
