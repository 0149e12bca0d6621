//! Leave to begin writes. While two processes of a proxy take clients, both may be sent the same id at the same instant. The older
//! process decides: it begins its own writes at once, and the newer one asks it before it begins one. Messages on a link keep their
//! order, so the ids that were open before arrive ahead of the first answer.

use super::super::clients::{IdHash, WriteAdmission};
use super::super::event_loop_context::EventLoopContext;
use super::link::ProcessLink;
use super::{Peer, ProcessHandover};
use crate::handover_protocol::HandoverMessage;
use birchreach::Micros;
use std::collections::HashMap;

/// How long a process that has read a message is left to answer it. By the platform's rules a process may stand still for 0.15 s.
pub(in super::super) const ANSWER_TIMEOUT_MICROS: Micros = 300_000;

/// A write that the newer process wants to begin, and the time after which nothing of it begins.
pub(in super::super) type WriteToBegin = (IdHash, Micros);

/// The answer of the older process to the newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) enum GrantDecision {
    Granted,
    /// The request may run already.
    Taken,
    /// It is not known whether the request may run already.
    Unknown,
}

/// The writes about which the processes have not agreed yet.
#[derive(Default)]
pub(super) struct Grants {
    /// Writes that the successor asks for, which the clients' owner has still to be asked about.
    successor_requests: Vec<WriteToBegin>,
    /// Writes that the successor asks for, about which the predecessor was asked.
    passed_on: HashMap<IdHash, Micros>,
    decisions: Vec<(IdHash, GrantDecision)>,
    /// The predecessor has answered, so that the ids that were open before are known here.
    predecessor_has_answered: bool,
    /// Until when writes may run that a predecessor has not told of before it ended.
    unknown_until: Micros,
}

impl ProcessHandover {
    /// Returns whether writes may begin here.
    pub(in super::super) fn write_admission(&self, now: Micros) -> WriteAdmission {
        match &self.predecessor {
            Some(link) if link.grants_requests => WriteAdmission::NeedsGrant,
            // A process of an earlier version tells of its ids, if it does so, and is not asked.
            Some(link) if link.had_time_to_answer(now) => WriteAdmission::Allowed,
            Some(_) => WriteAdmission::Rejected,
            None if now < self.grants.unknown_until => WriteAdmission::Rejected,
            None => WriteAdmission::Allowed,
        }
    }

    /// Checks whether the predecessor has read the first messages. One that stands still has not, one of an earlier version has.
    pub(in super::super) fn check_predecessor(&mut self, now: Micros) {
        if let Some(link) = self.predecessor.as_mut().filter(|link| !link.grants_requests) {
            link.check_unread_messages(now);
        }
    }

    /// Asks the predecessor whether a write may begin. Returns false if it cannot be asked now.
    pub(in super::super) fn request_grant(
        &mut self,
        context: &EventLoopContext,
        (id, until): WriteToBegin,
    ) -> bool {
        let until = until.saturating_add(context.clock.unix_offset());
        let Some(link) = self.predecessor.as_mut().filter(|link| link.has_space()) else { return false };
        link.protocol.send(HandoverMessage::MayBegin { id: id.0, until });
        // The poll reports a broken link.
        link.flush();
        true
    }

    /// Returns the writes that the successor wants to begin, since the last call.
    pub(in super::super) fn take_successor_requests(&mut self) -> Vec<WriteToBegin> {
        std::mem::take(&mut self.grants.successor_requests)
    }

    /// Returns the decisions about the writes of this process's clients, since the last call, and passes on those that the successor
    /// waits for. `hold` keeps an id in use that was granted to the successor, and returns whether it could.
    pub(in super::super) fn take_grant_decisions(
        &mut self,
        mut hold: impl FnMut(IdHash, Micros) -> bool,
    ) -> Vec<(IdHash, GrantDecision)> {
        let mut own = Vec::new();
        for (id, decision) in std::mem::take(&mut self.grants.decisions) {
            match self.grants.passed_on.remove(&id) {
                None => own.push((id, decision)),
                Some(until) if decision != GrantDecision::Granted || hold(id, until) => {
                    self.answer_successor(id, decision);
                }
                // There is no space to hold the id.
                Some(_) => {}
            }
        }
        own
    }

    /// Asks the predecessor about a write that the successor wants to begin.
    pub(in super::super) fn pass_on(&mut self, context: &EventLoopContext, write: WriteToBegin) {
        if self.request_grant(context, write) {
            self.grants.passed_on.insert(write.0, write.1);
        }
    }

    /// Forgets the writes about which the predecessor was asked. The successor rejects them.
    pub(in super::super) fn drop_passed_on(&mut self) {
        self.grants.passed_on.clear();
    }

    /// Answers the successor. It rejects a write about which it hears nothing.
    pub(in super::super) fn answer_successor(&mut self, id: IdHash, decision: GrantDecision) {
        let message = match decision {
            GrantDecision::Granted => HandoverMessage::RequestGranted(id.0),
            GrantDecision::Taken => HandoverMessage::RequestTaken(id.0),
            GrantDecision::Unknown => return,
        };
        self.forward(Peer::Successor, |link| link.protocol.send(message));
    }

    /// Records that the successor wants to begin a write.
    pub(super) fn record_grant_request(&mut self, id: IdHash, until: i64, context: &EventLoopContext) {
        let until = until.saturating_sub(context.clock.unix_offset());
        let longest = context.now + self.longest_client_timeout;
        self.grants.successor_requests.push((id, until.min(longest)));
    }

    /// Records an answer of the predecessor.
    pub(super) fn record_decision(&mut self, id: IdHash, decision: GrantDecision) {
        self.grants.predecessor_has_answered = true;
        self.grants.decisions.push((id, decision));
    }

    /// Starts to exchange grants and ids with a process that understands both.
    pub(super) fn start_granting(&mut self, peer: Peer) {
        let Some(link) = self.link_mut(peer) else { return };
        if std::mem::replace(&mut link.grants_requests, true) {
            return;
        }
        match peer {
            Peer::Successor => link.protocol.send(HandoverMessage::GrantsRequests),
            Peer::Predecessor => link.send_request_ids_offer(),
        }
    }

    /// Records that the predecessor has ended. If it has not told which writes it had begun, they may run as long as a client may wait.
    pub(super) fn predecessor_ended(&mut self, link: &ProcessLink, now: Micros) {
        let is_earlier_version = !link.grants_requests && link.had_time_to_answer(now);
        let is_known = link.is_finished() || link.request_ids_received || is_earlier_version;
        if !is_known && !self.grants.predecessor_has_answered {
            self.grants.unknown_until = now + self.longest_client_timeout;
        }
    }
}
