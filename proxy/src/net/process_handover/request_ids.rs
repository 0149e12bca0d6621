//! The ids of open requests, of which each process of a proxy tells the others, so that none of them starts a request again that may
//! still run at another one.

use super::super::clients::IdHash;
use super::super::event_loop_context::EventLoopContext;
use super::{Peer, ProcessHandover};
use crate::handover_protocol::HandoverMessage;
use birchreach::Micros;

/// The id of a request that another process has begun, and the request's deadline.
pub(in super::super) type RemoteRequest = (IdHash, Micros);

impl ProcessHandover {
    /// Tells the other processes that a request begins, before it is sent to a database.
    pub(in super::super) fn share_request(&mut self, context: &EventLoopContext, id: IdHash, until: Micros) {
        let until = until.saturating_add(context.clock.unix_offset());
        for link in [&mut self.predecessor, &mut self.successor].into_iter().flatten() {
            link.send_request_id(id, until);
            link.flush();
        }
    }

    /// Returns whether a process has asked for the ids of the requests that are open, since the last call.
    pub(in super::super) fn take_asked_for_request_ids(&mut self) -> bool {
        let mut asked = false;
        for link in [&mut self.predecessor, &mut self.successor].into_iter().flatten() {
            asked |= std::mem::take(&mut link.asked_for_request_ids);
        }
        asked
    }

    /// Returns the requests that other processes have begun, since the last call.
    pub(in super::super) fn take_remote_requests(&mut self) -> Vec<RemoteRequest> {
        std::mem::take(&mut self.remote_requests)
    }

    /// Records a request that a process has begun, and passes it on to the process beyond.
    pub(super) fn record_remote_request(
        &mut self,
        peer: Peer,
        id: IdHash,
        until: i64,
        context: &EventLoopContext,
    ) {
        let local_until = until.saturating_sub(context.clock.unix_offset());
        let longest = context.now + self.longest_client_timeout;
        self.remote_requests.push((id, local_until.min(longest)));
        self.forward(peer.other(), |link| link.send_request_id(id, until));
    }

    /// Answers a process that understands request ids, and remembers that it asks for those of the open requests.
    pub(super) fn start_sharing_request_ids(&mut self, peer: Peer) {
        let Some(link) = self.link_mut(peer) else { return };
        if !std::mem::replace(&mut link.shares_request_ids, true) {
            link.asked_for_request_ids = true;
            if peer == Peer::Successor {
                link.protocol.send(HandoverMessage::SharesRequestIds);
            }
        }
    }
}
