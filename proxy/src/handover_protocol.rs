//! The protocol between two processes of one proxy while one replaces the other. Messages are lines of text. The protocol is a
//! state machine: the caller reads and writes the bytes.

pub(crate) mod session_write_reports;
#[cfg(test)]
mod tests;

use crate::outbox::Outbox;
use birchreach::{Role, SessionId};
use std::error::Error;
use std::fmt::{self, Display};
use std::str::FromStr;

/// The most bytes that may arrive before the end of a line. Only the roles of servers need more than 64.
const MAX_LINE_BYTES: usize = MAX_UID_BYTES + 64;

/// A message to the other process. The words on the wire must not change, because the other process may run an earlier version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum HandoverMessage {
    /// `serving`: the newer process accepts clients.
    Serving,
    /// `leaving N`: the older process is stopping and still has `N` descriptors open.
    Stopping(usize),
    /// `yields T`: the older process accepts no work from the time `T` on, in Unix microseconds of the system's clock, which both
    /// processes read.
    StopsAcceptingAt(i64),
    /// `yields 0`, from the newer process only: it understands the messages below. An earlier version takes it for a time, which it
    /// does not use. Neither process sends the messages below to a process that has not sent this message or one of them.
    SharesSessionWrites,
    /// `yields 1`: the sender understands request ids. An earlier version takes it for a time, as it does `yields 0`. The older process
    /// sends it in answer to that of the newer one.
    SharesRequestIds,
    /// `yields 2`: the sender understands the three messages below. An earlier version takes it for a time, as it does `yields 0`. The
    /// older process sends it in answer to that of the newer one.
    GrantsRequests,
    /// `begin H T`, from the newer process: it may begin the request whose id has the hash `H` only if the older one grants that. Nothing
    /// of it begins after the time `T`, in Unix microseconds of the system's clock.
    MayBegin { id: u64, until: i64 },
    /// `granted H`: the older process does not begin this request any more before its time.
    RequestGranted(u64),
    /// `taken H`: the request may run already.
    RequestTaken(u64),
    /// `begun H T`: the sender begins the request whose id has the hash `H` (in 16 hexadecimal digits). Nothing of it begins after the
    /// time `T`, in Unix microseconds of the system's clock.
    RequestBegun { id: u64, until: i64 },
    /// `committed S P`: the sender has answered a write of the session `S` (in 16 hexadecimal digits), which was committed at the
    /// position `P`.
    SessionWritten { session: SessionId, position: i64 },
    /// `missed P`: the sender has answered writes up to the position `P` that it has not reported one by one.
    SessionWritesMissed(i64),
    /// `current T`: all writes that the sender, and the processes beyond it, answered before the time `T` have been reported. `T` is
    /// in Unix microseconds of the system's clock.
    SessionWritesReportedUntil(i64),
    /// `finished`: the sender, and the processes beyond it, answer no further writes.
    SessionWritesFinished,
    /// `primary T U` or `replica T U`: the server with the uid `U` has confirmed this role in a response at the time `T`, in Unix
    /// microseconds of the system's clock.
    RoleConfirmed(ConfirmedRole),
}

/// A role that a server has confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ConfirmedRole {
    /// The uid of the server in the endpoint list.
    pub uid: String,
    pub role: Role,
    /// When the server confirmed the role, in Unix microseconds of the system's clock.
    pub confirmed_at: i64,
}

impl ConfirmedRole {
    /// Returns whether the role fits into a line that is read back as the same role.
    fn is_sendable(&self) -> bool {
        let uid = self.uid.as_str();
        uid.len() <= MAX_UID_BYTES && uid.trim() == uid && !uid.contains(['\n', '\r'])
    }
}

/// The longest uid of a server that a line contains.
const MAX_UID_BYTES: usize = 200;
/// The time of the line `yields` that stands for [`HandoverMessage::SharesSessionWrites`].
const SHARES_SESSION_WRITES_TIME: i64 = 0;
/// The time of the line `yields` that stands for [`HandoverMessage::SharesRequestIds`].
const SHARES_REQUEST_IDS_TIME: i64 = 1;
/// The time of the line `yields` that stands for [`HandoverMessage::GrantsRequests`].
const GRANTS_REQUESTS_TIME: i64 = 2;

/// A received line is not a message, or is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidMessage;

impl Display for InvalidMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("received a line that is not a handover message")
    }
}

impl Error for InvalidMessage {}

/// The state of the protocol on one connection.
#[derive(Default)]
pub(crate) struct HandoverProtocol {
    input: Vec<u8>,
    /// Encoded messages that wait to be written.
    pub outbox: Outbox,
}

impl HandoverProtocol {
    /// Adds bytes that were read from the other process.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Returns the next message, or `None` until its line is complete.
    pub(crate) fn next_message(&mut self) -> Result<Option<HandoverMessage>, InvalidMessage> {
        let Some(end) = self.input.iter().position(|byte| *byte == b'\n') else {
            return if self.input.len() > MAX_LINE_BYTES { Err(InvalidMessage) } else { Ok(None) };
        };
        let line: Vec<u8> = self.input.drain(..=end).collect();
        let line = std::str::from_utf8(&line).map_err(|_| InvalidMessage)?;
        parse(line.trim_end()).map(Some)
    }

    /// Appends a message to the outbox.
    pub(crate) fn send(&mut self, message: HandoverMessage) {
        let line = match message {
            HandoverMessage::Serving => "serving\n".to_string(),
            HandoverMessage::Stopping(descriptors) => format!("leaving {descriptors}\n"),
            HandoverMessage::StopsAcceptingAt(unix_micros) => format!("yields {unix_micros}\n"),
            HandoverMessage::SharesSessionWrites => format!("yields {SHARES_SESSION_WRITES_TIME}\n"),
            HandoverMessage::SharesRequestIds => format!("yields {SHARES_REQUEST_IDS_TIME}\n"),
            HandoverMessage::GrantsRequests => format!("yields {GRANTS_REQUESTS_TIME}\n"),
            HandoverMessage::MayBegin { id, until } => format!("begin {id:016x} {until}\n"),
            HandoverMessage::RequestGranted(id) => format!("granted {id:016x}\n"),
            HandoverMessage::RequestTaken(id) => format!("taken {id:016x}\n"),
            HandoverMessage::RequestBegun { id, until } => format!("begun {id:016x} {until}\n"),
            HandoverMessage::SessionWritten { session: SessionId(session), position } => {
                format!("committed {session:016x} {position}\n")
            }
            HandoverMessage::SessionWritesMissed(position) => format!("missed {position}\n"),
            HandoverMessage::SessionWritesReportedUntil(unix_micros) => format!("current {unix_micros}\n"),
            HandoverMessage::SessionWritesFinished => "finished\n".to_string(),
            HandoverMessage::RoleConfirmed(ConfirmedRole { uid, role: Role::Primary, confirmed_at }) => {
                format!("primary {confirmed_at} {uid}\n")
            }
            HandoverMessage::RoleConfirmed(ConfirmedRole { uid, role: Role::Replica, confirmed_at }) => {
                format!("replica {confirmed_at} {uid}\n")
            }
        };
        self.outbox.append(line.as_bytes());
    }
}

/// Parses a line without its line break.
fn parse(line: &str) -> Result<HandoverMessage, InvalidMessage> {
    match line.split_once(' ') {
        None if line == "serving" => Ok(HandoverMessage::Serving),
        None if line == "finished" => Ok(HandoverMessage::SessionWritesFinished),
        Some(("leaving", descriptors)) => parse_number(descriptors).map(HandoverMessage::Stopping),
        Some(("yields", unix_micros)) => match parse_number(unix_micros)? {
            SHARES_SESSION_WRITES_TIME => Ok(HandoverMessage::SharesSessionWrites),
            SHARES_REQUEST_IDS_TIME => Ok(HandoverMessage::SharesRequestIds),
            GRANTS_REQUESTS_TIME => Ok(HandoverMessage::GrantsRequests),
            unix_micros => Ok(HandoverMessage::StopsAcceptingAt(unix_micros)),
        },
        Some(("committed", write)) => parse_session_write(write),
        Some(("begun", request)) => {
            parse_request(request).map(|(id, until)| HandoverMessage::RequestBegun { id, until })
        }
        Some(("begin", request)) => {
            parse_request(request).map(|(id, until)| HandoverMessage::MayBegin { id, until })
        }
        Some(("granted", id)) => parse_id(id).map(HandoverMessage::RequestGranted),
        Some(("taken", id)) => parse_id(id).map(HandoverMessage::RequestTaken),
        Some(("missed", position)) => parse_number(position).map(HandoverMessage::SessionWritesMissed),
        Some(("current", unix_micros)) => {
            parse_number(unix_micros).map(HandoverMessage::SessionWritesReportedUntil)
        }
        Some(("primary", confirmed)) => parse_role(Role::Primary, confirmed),
        Some(("replica", confirmed)) => parse_role(Role::Replica, confirmed),
        _ => Err(InvalidMessage),
    }
}

/// Parses the time and the server of a confirmed role.
fn parse_role(role: Role, confirmed: &str) -> Result<HandoverMessage, InvalidMessage> {
    let (confirmed_at, uid) = confirmed.split_once(' ').ok_or(InvalidMessage)?;
    let confirmed_at = parse_number(confirmed_at)?;
    Ok(HandoverMessage::RoleConfirmed(ConfirmedRole { uid: uid.to_string(), role, confirmed_at }))
}

/// Parses the session and the position of a write.
fn parse_session_write(write: &str) -> Result<HandoverMessage, InvalidMessage> {
    let (session, position) = write.split_once(' ').ok_or(InvalidMessage)?;
    let session = u64::from_str_radix(session, 16).map_err(|_| InvalidMessage)?;
    let position = parse_number(position)?;
    Ok(HandoverMessage::SessionWritten { session: SessionId(session), position })
}

/// Parses the id and the deadline of a request.
fn parse_request(request: &str) -> Result<(u64, i64), InvalidMessage> {
    let (id, until) = request.split_once(' ').ok_or(InvalidMessage)?;
    Ok((parse_id(id)?, parse_number(until)?))
}

/// Parses the hash of a request's id.
fn parse_id(id: &str) -> Result<u64, InvalidMessage> {
    u64::from_str_radix(id, 16).map_err(|_| InvalidMessage)
}

fn parse_number<N: FromStr>(text: &str) -> Result<N, InvalidMessage> {
    text.parse().map_err(|_| InvalidMessage)
}
