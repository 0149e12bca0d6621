//! A link's turn: what has come is taken, what is to be said is written, and it goes on or ends.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream;
use super::super::timer_events::TimerEvent;
use super::peer_protocol::{self, Next, take};
use super::{Ends, Gossip};

impl Gossip {
    /// A link's turn.
    pub fn ready_link(&mut self, context: &mut EventLoopContext, key: usize) {
        let Some(link) = self.slots.get_mut(key) else { return };
        let read = match &mut link.ends {
            Ends::Asks { machine, .. } => take(&mut link.stream, context, |b| machine.feed(b)),
            Ends::Tells { machine, .. } => take(&mut link.stream, context, |b| machine.feed(b)),
            Ends::View(machine) => take(&mut link.stream, context, |b| machine.feed(b)),
        };
        let next = match (&mut link.ends, &mut self.state_transfer, &mut self.membership_sync) {
            (Ends::Asks { machine, donor, asked_at }, Some(lessons), _) => {
                peer_protocol::listen(context, machine, donor, *asked_at, lessons)
            }
            (Ends::Tells { machine, serving }, Some(lessons), _) => {
                peer_protocol::tell(context, machine, serving, lessons, (key, link.serial))
            }
            (Ends::View(machine), _, Some(views)) => views.step(context, machine),
            _ => Next::Over("closed"),
        };
        let out = link.ends.out();
        let connected = link.stream.peer_addr().is_ok();
        let written = if connected { stream::write_some(&mut link.stream, out) } else { Ok(0) };
        let gone = match written {
            Ok(n) => {
                out.drain(..n);
                false
            }
            Err(_) => true,
        };
        let drained = out.is_empty();
        let told = drained
            && match &link.ends {
                Ends::Tells { machine, .. } => machine.is_finished(),
                Ends::View(machine) => machine.is_finished(),
                Ends::Asks { .. } => false,
            };
        let broken = matches!(link.stream.take_error(), Ok(Some(_)) | Err(_));
        match next {
            Next::Waits if told => self.end(context, key, Next::Over("told")),
            Next::Waits if gone || broken || read.is_err() => self.end(context, key, Next::Over("closed")),
            // What is left of the answer goes on when there is room.
            Next::Waits
                if drained
                    && matches!(&self.slots[key].ends, Ends::Tells { machine, .. } if machine.is_sending()) =>
            {
                let serial = self.slots[key].serial;
                context.timers.set(context.now + 1, TimerEvent::GossipSend { key, serial });
            }
            Next::Waits => {}
            over => self.end(context, key, over),
        }
    }
}
