//! The roles that servers confirm to the processes of one proxy while more than one of them serves. What one process was told counts
//! as known to the proxy: none of its processes may then take the data of a former primary for current.

use super::super::event_loop_context::EventLoopContext;
use super::{Peer, ProcessHandover};
use crate::handover_protocol::ConfirmedRole;
use birchreach::ServerId;

impl ProcessHandover {
    /// Reports the role that a server has confirmed to the other processes.
    pub(in super::super) fn share_role(&mut self, context: &EventLoopContext, server: ServerId) {
        for peer in [Peer::Predecessor, Peer::Successor] {
            self.share_role_with(peer, context, server);
        }
    }

    /// Reports the roles in which servers differ from the endpoint list, to a process that does not know them yet.
    pub(super) fn share_known_roles(&mut self, peer: Peer, context: &EventLoopContext) {
        for server in context.core.servers_with_other_role() {
            self.share_role_with(peer, context, server);
        }
    }

    fn share_role_with(&mut self, peer: Peer, context: &EventLoopContext, server: ServerId) {
        let Some((uid, role, confirmed_at)) = context.core.confirmed_role(server) else { return };
        let confirmed_at = confirmed_at.saturating_add(context.clock.unix_offset());
        let role = ConfirmedRole { uid: uid.to_string(), role, confirmed_at };
        self.forward(peer, |link| link.reports.report_role(&mut link.protocol, role));
    }

    /// Records a role that a link has received, and passes it on to the other link.
    pub(super) fn apply_role(&mut self, peer: Peer, role: ConfirmedRole, context: &mut EventLoopContext) {
        let confirmed_at = role.confirmed_at.saturating_sub(context.clock.unix_offset());
        context.core.record_remote_role(context.now, role.uid.clone(), role.role, confirmed_at);
        self.forward(peer.other(), |link| link.reports.report_role(&mut link.protocol, role));
    }
}
