//! One turn of a link: its input is read and processed, its output is written, and a link that has ended is closed.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::LinkKey;
use super::super::timer_events::TimerEvent;
use super::Gossip;
use super::close_reason::{LinkCloseReason, LinkProgress};
use super::link::LinkRole;
use super::peer_protocol::{self, LinkId};

impl Gossip {
    /// Reads, processes and writes as far as the link's connection allows. Does nothing if the link is no longer open.
    pub(crate) fn process_link(&mut self, context: &mut EventLoopContext, key: LinkKey) {
        let Some(link) = self.links.get_mut(key.0) else { return };
        let id = LinkId { key, serial: link.serial };
        let read_failed = link.read_input(&mut context.scratch).is_err();
        let progress = match (&mut link.role, &mut self.state_transfer, &self.membership_sync) {
            (LinkRole::RequestsState { requester, provider, requested_at }, Some(transfer), _) => {
                peer_protocol::receive_state(context, requester, provider, *requested_at, transfer)
            }
            (LinkRole::SendsState { sender, admitted }, Some(transfer), _) => {
                peer_protocol::answer_request(context, sender, admitted, transfer, id)
            }
            (LinkRole::ExchangesMembers(exchange), _, Some(sync)) => sync.process_exchange(context, exchange),
            _ => LinkProgress::Close(LinkCloseReason::Closed),
        };
        let write_failed = link.write_output().is_err();
        let output_written = link.role.output().is_empty();
        let connection_failed =
            read_failed || write_failed || matches!(link.stream.take_error(), Ok(Some(_)) | Err(_));
        match progress {
            LinkProgress::Close(reason) => self.close_link(context, key, reason),
            LinkProgress::Continue if output_written && link.role.has_sent_everything() => {
                self.close_link(context, key, LinkCloseReason::Sent);
            }
            LinkProgress::Continue if connection_failed => {
                self.close_link(context, key, LinkCloseReason::Closed)
            }
            LinkProgress::Continue if output_written && link.role.is_sending() => {
                context.timers.set(context.now + 1, TimerEvent::GossipSend(key, id.serial));
            }
            LinkProgress::Continue => {}
        }
    }
}
