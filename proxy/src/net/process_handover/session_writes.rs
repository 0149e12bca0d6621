//! The session writes that the processes of one proxy answer while more than one of them serves.
//!
//! A session may write through one process and read through another. Each process therefore reports each committed write to the
//! others before it answers the client, and regularly announces the time until which all its writes are reported. While such an
//! announcement is missing, late or impossible, this process takes it that it does not know all writes: its session reads then have
//! to see everything that was committed before they arrived.

use super::super::clients::IdHash;
use super::super::event_loop_context::EventLoopContext;
use super::super::graceful_shutdown;
use super::super::timer_events::TimerEvent;
use super::link::ProcessLink;
use super::{GrantDecision, Peer, ProcessHandover};
use crate::handover_protocol::HandoverMessage;
use birchreach::{Micros, SessionId};
use tracing::{info, warn};

/// The interval of the announcements. Several fit into the delay that the router allows.
const ANNOUNCEMENT_INTERVAL_MICROS: Micros = 25_000;
/// The longest time that a process may take to become ready.
const MAX_START_MICROS: Micros = 30_000_000;
/// The older process is told to stop at the latest this long after the newer one is ready.
const MAX_STOP_DELAY_MICROS: Micros = 6_000_000;

/// Processes whose link has broken while they may still answer writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LostProcesses {
    /// The time until which all writes that they answered are recorded.
    writes_recorded_until: Micros,
    /// The latest time at which one of them may serve beside this process.
    serve_until: Micros,
}

impl ProcessHandover {
    /// Reports a committed write to the other processes. Must be called before the client is answered.
    pub(in super::super) fn share_session_write(&mut self, session: SessionId, position: Micros) {
        for link in [&mut self.predecessor, &mut self.successor].into_iter().flatten() {
            link.reports.report(&mut link.protocol, session, position);
            // The poll reports a broken link.
            link.flush();
        }
    }

    /// Announces to each other process until when all writes are reported, including those of the processes beyond it, and forgets
    /// lost processes that cannot serve any more. Sets the timer for the next announcement.
    pub(in super::super) fn announce_session_writes(&mut self, context: &mut EventLoopContext) {
        self.announcement_timer_set = false;
        self.forget_ended_processes(context);
        for peer in [Peer::Predecessor, Peer::Successor] {
            self.announce_to(peer, context);
        }
        self.update_recorded_writes(context);
    }

    /// Announces to the other processes that this process answers no further writes, unless it still hears of writes from others.
    pub(in super::super) fn announce_finished(&mut self) {
        for peer in [Peer::Predecessor, Peer::Successor] {
            let is_last = self.writes_recorded_beyond(peer) == Micros::MAX;
            if let Some(link) = self.link_mut(peer).filter(|_| is_last) {
                link.reports.finish(&mut link.protocol);
                link.flush();
            }
        }
    }

    /// Sets the longest time that a client may wait, which limits how long a process takes to stop.
    pub(in super::super) fn set_longest_client_timeout(&mut self, timeout: Micros) {
        self.longest_client_timeout = timeout;
    }

    /// Applies the messages about session writes that a link has received.
    pub(super) fn apply_session_messages(&mut self, peer: Peer, context: &mut EventLoopContext) {
        let messages = self.link_mut(peer).map(|link| std::mem::take(&mut link.session_messages));
        for message in messages.unwrap_or_default() {
            self.apply_session_message(peer, message, context);
        }
        self.update_recorded_writes(context);
    }

    fn apply_session_message(
        &mut self,
        peer: Peer,
        message: HandoverMessage,
        context: &mut EventLoopContext,
    ) {
        let now = context.now;
        let clock_offset = context.clock.unix_offset();
        let Some(link) = self.link_mut(peer) else { return };
        // Only the newer process starts without writes of its own.
        let answered_before = (peer == Peer::Successor).then_some(now);
        link.reports.start(answered_before);
        match message {
            HandoverMessage::SessionWritten { session, position } => {
                context.core.record_remote_session_write(now, session, position);
                self.forward(peer.other(), |link| {
                    link.reports.report(&mut link.protocol, session, position);
                });
            }
            HandoverMessage::SessionWritesMissed(position) => {
                context.core.require_session_position(now, position);
                self.forward(peer.other(), |link| link.reports.add_missed(position));
            }
            HandoverMessage::SessionWritesReportedUntil(at) => {
                let recorded_until = at.saturating_sub(clock_offset).min(now);
                let is_first = link.record_announcement(recorded_until);
                if is_first && peer == Peer::Predecessor {
                    // It follows the reports of what the predecessor knew before.
                    info!(event = "predecessor-reported");
                    self.end_wait_for_predecessor();
                }
            }
            HandoverMessage::SessionWritesFinished => link.set_finished(),
            HandoverMessage::SharesSessionWrites => {
                self.share_known_roles(peer, context);
                self.announce_to(peer, context);
            }
            HandoverMessage::RoleConfirmed(role) => self.apply_role(peer, role, context),
            HandoverMessage::SharesRequestIds => self.start_sharing_request_ids(peer),
            HandoverMessage::GrantsRequests => self.start_granting(peer),
            HandoverMessage::MayBegin { id, until } => self.record_grant_request(IdHash(id), until, context),
            HandoverMessage::RequestGranted(id) => self.record_decision(IdHash(id), GrantDecision::Granted),
            HandoverMessage::RequestTaken(id) => self.record_decision(IdHash(id), GrantDecision::Taken),
            HandoverMessage::RequestBegun { id, until } => {
                self.record_remote_request(peer, IdHash(id), until, context);
            }
            HandoverMessage::Serving
            | HandoverMessage::Stopping(_)
            | HandoverMessage::StopsAcceptingAt(_) => {}
        }
    }

    /// Passes a report on to a process, if there is a link to it.
    pub(super) fn forward(&mut self, to: Peer, report: impl FnOnce(&mut ProcessLink)) {
        if let Some(link) = self.link_mut(to) {
            report(link);
            link.flush();
        }
    }

    /// Announces to a process until when all writes of this process and of those beyond it are reported.
    fn announce_to(&mut self, peer: Peer, context: &EventLoopContext) {
        let recorded_until = self.writes_recorded_beyond(peer).min(context.now);
        let reported_until = recorded_until.saturating_add(context.clock.unix_offset());
        if let Some(link) = self.link_mut(peer) {
            link.reports.announce(&mut link.protocol, reported_until);
            if peer == Peer::Predecessor {
                link.offer_request_ids();
            }
            link.flush();
        }
    }

    /// Returns the time until which all writes are recorded here that other processes than this peer answered.
    fn writes_recorded_beyond(&self, peer: Peer) -> Micros {
        let lost = self.lost.map(|lost| lost.writes_recorded_until);
        let other = self.link(peer.other()).map(|link| link.writes_recorded_until);
        lost.into_iter().chain(other).min().unwrap_or(Micros::MAX)
    }

    /// Records that the link to a process has broken. Unless the process has finished, it may still answer writes for a while.
    pub(super) fn record_lost_process(
        &mut self,
        peer: Peer,
        link: &ProcessLink,
        context: &mut EventLoopContext,
    ) {
        if !link.is_finished() {
            let lost = self.lost_process(peer, link, context.now);
            self.lost = Some(match self.lost {
                None => lost,
                Some(earlier) => LostProcesses {
                    writes_recorded_until: earlier.writes_recorded_until.min(lost.writes_recorded_until),
                    serve_until: earlier.serve_until.max(lost.serve_until),
                },
            });
            let seconds = (lost.serve_until - context.now) / 1_000_000;
            warn!(event = "session-writes-unknown", seconds);
        }
        self.update_recorded_writes(context);
    }

    /// Returns how long the process of a broken link may serve beside this one.
    fn lost_process(&self, peer: Peer, link: &ProcessLink, now: Micros) -> LostProcesses {
        let newer_is_ready = match peer {
            Peer::Predecessor => self.serving_announced,
            Peer::Successor => link.is_serving,
        };
        let until_stop = match link.descriptors_when_stopping {
            Some(_) => 0,
            None if newer_is_ready => MAX_STOP_DELAY_MICROS,
            None => MAX_START_MICROS + MAX_STOP_DELAY_MICROS,
        };
        let stop_duration = graceful_shutdown::longest_duration(self.longest_client_timeout);
        LostProcesses {
            writes_recorded_until: link.writes_recorded_until,
            serve_until: now + until_stop + stop_duration,
        }
    }

    /// Forgets lost processes that cannot serve any more. All reads have to see what they may have answered.
    fn forget_ended_processes(&mut self, context: &mut EventLoopContext) {
        if self.lost.take_if(|lost| lost.serve_until <= context.now).is_some() {
            context.core.require_session_position(context.now, context.now);
        }
    }

    /// Informs the router until when the writes of other processes are recorded, and sets the timer for the next announcement.
    pub(super) fn update_recorded_writes(&mut self, context: &mut EventLoopContext) {
        let lost = self.lost.map(|lost| lost.writes_recorded_until);
        let links = [&self.predecessor, &self.successor].into_iter().flatten();
        let recorded_until = lost.into_iter().chain(links.map(|link| link.writes_recorded_until)).min();
        context.core.set_remote_writes_recorded_until(recorded_until);
        if recorded_until.is_some() && !std::mem::replace(&mut self.announcement_timer_set, true) {
            let at = context.now + ANNOUNCEMENT_INTERVAL_MICROS;
            context.timers.set(at, TimerEvent::AnnounceSessionWrites);
        }
    }
}
