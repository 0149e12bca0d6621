//! Agreement with the other processes of this proxy on which of them begins a write.

use super::EventLoop;
use super::clients::WriteAdmission;
use super::process_handover::GrantDecision;

impl EventLoop {
    /// Exchanges the ids of requests that may run with the other processes.
    pub(super) fn share_request_ids(&mut self) {
        for (id, until) in self.handover.take_remote_requests() {
            self.clients.hold_id(id, until);
        }
        if self.handover.take_asked_for_request_ids() {
            for (id, until) in self.clients.ids_in_use(self.context.now, self.longest_client_timeout) {
                self.handover.share_request(&self.context, id, until);
            }
        }
        self.exchange_grants();
    }

    /// Decides about the writes that the newer process wants to begin, and begins or rejects those about which the older one has decided.
    fn exchange_grants(&mut self) {
        let now = self.context.now;
        self.handover.check_predecessor(now);
        let write_admission = self.handover.write_admission(now);
        self.clients.set_write_admission(write_admission);
        for (id, until) in self.handover.take_successor_requests() {
            if self.clients.is_id_in_use(now, id) {
                self.handover.answer_successor(id, GrantDecision::Taken);
            } else if write_admission == WriteAdmission::NeedsGrant {
                self.handover.pass_on(&self.context, (id, until));
            } else if write_admission == WriteAdmission::Allowed && self.clients.hold_id(id, until) {
                self.handover.answer_successor(id, GrantDecision::Granted);
            }
        }
        let clients = &mut self.clients;
        let decisions = self.handover.take_grant_decisions(|id, until| clients.hold_id(id, until));
        for (id, decision) in decisions {
            self.clients.grant_decided(&mut self.context, id, decision);
        }
        if write_admission != WriteAdmission::NeedsGrant {
            // The older process has ended, and answers no more.
            self.handover.drop_passed_on();
            self.clients.decide_waiting_writes(&mut self.context);
        }
        self.execute_commands();
    }
}
