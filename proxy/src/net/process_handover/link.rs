//! A connection to another process of this proxy.

use super::super::clients::IdHash;
use super::super::registration;
use super::super::sources::Source;
use super::super::stream;
use super::grants::ANSWER_TIMEOUT_MICROS;
use crate::handover_protocol::session_write_reports::SessionWriteReports;
use crate::handover_protocol::{HandoverMessage, HandoverProtocol, InvalidMessage};
use birchreach::Micros;
use mio::net::UnixStream;
use mio::{Interest, Registry};
use std::path::Path;

/// The time that [`ProcessLink::writes_recorded_until`] has before the other process has reported any writes.
const NO_WRITES_RECORDED: Micros = Micros::MIN;
/// The time that it has once the other process answers no further writes.
const ALL_WRITES_RECORDED: Micros = Micros::MAX;

/// The most output of a link to which ids of requests are added.
const MAX_BUFFERED_IDS_BYTES: usize = 64 << 10;

/// The result of reading a piece of a link's input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkProgress {
    /// There may be more input.
    MoreInput,
    /// All input that has arrived was read.
    InputRead,
    /// The other process has closed the link, or has sent something that is not a message.
    Broken,
}

/// A connection to another process, and the state that the other process has reported.
pub(super) struct ProcessLink {
    pub(super) stream: UnixStream,
    pub(super) protocol: HandoverProtocol,
    /// Whether the other process is a successor that accepts clients.
    pub(super) is_serving: bool,
    /// The number of descriptors that a stopping predecessor still has open. `None` if the other process is not stopping.
    pub(super) descriptors_when_stopping: Option<usize>,
    /// The time at which a predecessor stops accepting work, in Unix microseconds. `None` until it is announced.
    pub(super) stops_accepting_at: Option<i64>,
    /// The session writes that the other process has been told of.
    pub(super) reports: SessionWriteReports,
    /// The time until which all writes that the other process, and those beyond it, answered are recorded here.
    pub(super) writes_recorded_until: Micros,
    /// Whether the other process has announced until when its writes are reported.
    has_announced: bool,
    /// When the other process was first seen to have read all messages that had been sent to it.
    all_read_at: Option<Micros>,
    /// Whether the other process understands grants of requests.
    pub(super) grants_requests: bool,
    /// Whether the other process was told that this one understands request ids.
    offered_request_ids: bool,
    /// Whether the other process understands request ids.
    pub(super) shares_request_ids: bool,
    /// The ids of the requests that were open at the other process when it was asked for them have arrived.
    pub(super) request_ids_received: bool,
    /// Whether the other process has still to be told of the requests that are open.
    pub(super) asked_for_request_ids: bool,
    /// Received messages about session writes, which the owner applies.
    pub(super) session_messages: Vec<HandoverMessage>,
}

impl ProcessLink {
    /// Connects to a process that serves. Fails if the socket does not exist or refuses the connection.
    pub(super) fn connect(registry: &Registry, path: &Path) -> std::io::Result<ProcessLink> {
        let stream = UnixStream::connect(path)?;
        let mut link = ProcessLink::register(registry, stream, Source::Predecessor)?;
        // The answer to this message comes ahead of the first announcement.
        link.protocol.send(HandoverMessage::GrantsRequests);
        link.protocol.send(HandoverMessage::SharesSessionWrites);
        Ok(link)
    }

    /// Creates a link on a connection and registers the connection with the event loop. Fails if the system refuses that.
    pub(super) fn register(
        registry: &Registry,
        mut stream: UnixStream,
        source: Source,
    ) -> std::io::Result<ProcessLink> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        registration::register(registry, &mut stream, source.token(), interest)?;
        Ok(ProcessLink {
            stream,
            protocol: HandoverProtocol::default(),
            is_serving: false,
            descriptors_when_stopping: None,
            stops_accepting_at: None,
            reports: SessionWriteReports::default(),
            writes_recorded_until: NO_WRITES_RECORDED,
            has_announced: false,
            all_read_at: None,
            grants_requests: false,
            offered_request_ids: false,
            shares_request_ids: false,
            request_ids_received: false,
            asked_for_request_ids: false,
            session_messages: Vec::new(),
        })
    }

    /// Reads one piece of the input and applies its messages, except for those about session writes.
    pub(super) fn read_piece(&mut self, scratch: &mut [u8]) -> LinkProgress {
        let protocol = &mut self.protocol;
        let read = stream::read(&mut self.stream, scratch, |bytes| {
            protocol.feed(bytes);
            false
        });
        let applied = self.apply_messages();
        match (read, applied) {
            (Ok(false), Ok(())) => LinkProgress::MoreInput,
            (Ok(true), Ok(())) => LinkProgress::InputRead,
            _ => LinkProgress::Broken,
        }
    }

    /// Tells the other process that this one understands request ids, once it has announced session writes. Earlier versions that
    /// announce them take the message for another one, which they do not use.
    pub(super) fn offer_request_ids(&mut self) {
        if self.has_announced {
            self.send_request_ids_offer();
        }
    }

    /// Tells the other process once that this one understands request ids.
    pub(super) fn send_request_ids_offer(&mut self) {
        if !std::mem::replace(&mut self.offered_request_ids, true) {
            self.protocol.send(HandoverMessage::SharesRequestIds);
        }
    }

    /// Records when the other process has read all messages that were sent to it.
    pub(super) fn check_unread_messages(&mut self, now: Micros) {
        let all_read =
            || self.protocol.outbox.pending().is_empty() && stream::unacknowledged_bytes(&self.stream) == 0;
        if self.all_read_at.is_none() && all_read() {
            self.all_read_at = Some(now);
        }
    }

    /// Returns whether the other process has read the first messages long enough ago to have answered them.
    pub(super) fn had_time_to_answer(&self, now: Micros) -> bool {
        self.all_read_at.is_some_and(|read_at| now - read_at >= ANSWER_TIMEOUT_MICROS)
    }

    /// Whether the output has space for messages about requests.
    pub(super) fn has_space(&self) -> bool {
        self.protocol.outbox.pending().len() < MAX_BUFFERED_IDS_BYTES
    }

    /// Tells the other process of a request that begins, if it understands that and the output is not full.
    pub(super) fn send_request_id(&mut self, id: IdHash, until: i64) {
        if self.shares_request_ids && self.has_space() {
            self.protocol.send(HandoverMessage::RequestBegun { id: id.0, until });
        }
    }

    /// Writes the output as far as possible without blocking. Returns whether the link is still usable.
    pub(super) fn flush(&mut self) -> bool {
        stream::write(&mut self.stream, &mut self.protocol.outbox).is_ok()
    }

    /// Applies the messages that have arrived completely. Those about session writes are left to the owner.
    fn apply_messages(&mut self) -> Result<(), InvalidMessage> {
        while let Some(message) = self.protocol.next_message()? {
            match message {
                HandoverMessage::Serving => {
                    (self.is_serving, self.descriptors_when_stopping) = (true, None);
                }
                HandoverMessage::Stopping(descriptors) => {
                    (self.is_serving, self.descriptors_when_stopping) = (false, Some(descriptors));
                }
                HandoverMessage::StopsAcceptingAt(at) => self.stops_accepting_at = Some(at),
                message => self.session_messages.push(message),
            }
        }
        Ok(())
    }

    /// Records an announcement of the other process. Returns whether it is the first one.
    pub(super) fn record_announcement(&mut self, recorded_until: Micros) -> bool {
        self.writes_recorded_until = recorded_until;
        // The ids follow the other process's answer at once, and so come ahead of its next announcement.
        self.request_ids_received |= self.shares_request_ids;
        !std::mem::replace(&mut self.has_announced, true)
    }

    /// Records that the other process, and those beyond it, answer no further writes.
    pub(super) fn set_finished(&mut self) {
        self.writes_recorded_until = ALL_WRITES_RECORDED;
    }

    /// Returns whether the other process, and those beyond it, answer no further writes.
    pub(super) fn is_finished(&self) -> bool {
        self.writes_recorded_until == ALL_WRITES_RECORDED
    }
}
