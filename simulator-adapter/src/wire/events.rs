//! Event records of the simulator, decoded into the router's events.

use super::batch::Batch;
use super::error::FrameError;
use super::fields::Fields;
use super::load_report::{decode_load_report, decode_status};
use super::{micros_rounded_down, micros_rounded_up};
use crate::host::Instance;
use birchreach::{
    AttemptNumber, AttemptOutcome, AttemptResult, ClassId, Endpoint, EndpointList, EndpointState, Event,
    GroupId, Request, RequestId, ServerId, SessionId, TenantId, ZoneId,
};
use birchreach_settings::DeploymentSettings;
use std::collections::BTreeMap;

/// Length of an event record.
pub(super) const EVENT_BYTES: usize = 56;
/// Length of an endpoint in the tail.
const ENDPOINT_BYTES: usize = 25;

/// Codes of event records.
mod code {
    pub(super) const START: u16 = 256;
    pub(super) const ENDPOINTS: u16 = 257;
    pub(super) const REQUEST: u16 = 258;
    pub(super) const RESPONSE_STARTED: u16 = 259;
    pub(super) const ATTEMPT_COMPLETED: u16 = 260;
    pub(super) const CLIENT_DISCONNECTED: u16 = 261;
    pub(super) const TIMER: u16 = 262;
    pub(super) const HEALTH_CHECK_COMPLETED: u16 = 263;
    pub(super) const PEER_MESSAGE: u16 = 264;
    pub(super) const STOP: u16 = 265;
    pub(super) const DEFINE_LIST: u16 = 266;
}

/// Number of a router on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouterId(pub u16);

/// Number of an endpoint list on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ListId(pub u16);

/// An entry of an endpoint list.
#[derive(Clone)]
pub(crate) struct EndpointRecord(Endpoint);

/// A decoded record.
pub(crate) enum Incoming {
    /// Defines an endpoint list for later records.
    DefineList { list: ListId, endpoints: Vec<EndpointRecord> },
    /// Starts a router with settings in JSON.
    Start { router: RouterId, seed: u64, settings: String },
    /// Stops a router.
    Stop { router: RouterId },
    /// An event for a router.
    Event { router: RouterId, event: Event },
    /// A record that is valid and has no meaning here.
    Ignored,
    /// A record with an unknown code.
    Unknown { code: u16 },
}

impl Batch {
    /// Decodes one record, with the endpoint lists that were defined before it.
    ///
    /// # Errors
    /// The record is malformed or refers to something that does not exist.
    pub(crate) fn decode(
        &self,
        index: usize,
        lists: &BTreeMap<ListId, Vec<EndpointRecord>>,
        instances: &BTreeMap<RouterId, Instance>,
    ) -> Result<Incoming, FrameError> {
        let record = self.record(index);
        let router = RouterId(record.u16(2));
        let settings = instances.get(&router).map(|instance| &instance.settings);
        let event = match record.u16(0) {
            code::START => return self.decode_start(router, &record),
            code::STOP => return Ok(Incoming::Stop { router }),
            code::DEFINE_LIST => return self.decode_list(ListId(record.u16(2)), &record),
            code::PEER_MESSAGE => {
                // The router has no peers in the simulator; only the reference into the tail is checked.
                self.tail(record.u32(8), record.u32(12) as usize)?;
                return Ok(Incoming::Ignored);
            }
            code::ENDPOINTS => decode_endpoints(&record, lists)?,
            code::REQUEST => Event::Request(self.decode_request(&record, settings)),
            code::RESPONSE_STARTED => Event::ResponseStarted {
                request: RequestId(record.u64(4)),
                attempt: AttemptNumber(record.u16(20)),
            },
            code::ATTEMPT_COMPLETED => Event::AttemptCompleted(decode_result(&record, settings)?),
            code::CLIENT_DISCONNECTED => Event::ClientDisconnected { request: RequestId(record.u64(4)) },
            code::TIMER => Event::Timer { id: record.u32(4) },
            code::HEALTH_CHECK_COMPLETED => Event::HealthCheckCompleted {
                server: ServerId(record.u32(4)),
                outcome: decode_outcome(record.u8(16))?,
                load_report: settings.and_then(|settings| decode_load_report(&record, 17, settings)),
            },
            code => return Ok(Incoming::Unknown { code }),
        };
        Ok(Incoming::Event { router, event })
    }

    /// Decodes the start of a router, whose settings are in the tail.
    fn decode_start(&self, router: RouterId, record: &Fields) -> Result<Incoming, FrameError> {
        let settings = self.tail(record.u32(12), record.u32(16) as usize)?;
        let settings = String::from_utf8_lossy(settings).into_owned();
        Ok(Incoming::Start { router, seed: record.u64(4), settings })
    }

    /// Decodes the definition of an endpoint list, whose entries are in the tail.
    fn decode_list(&self, list: ListId, record: &Fields) -> Result<Incoming, FrameError> {
        let count = record.u32(8) as usize;
        let length = count.checked_mul(ENDPOINT_BYTES).ok_or(FrameError::ListTooLong)?;
        let bytes = self.tail(record.u32(4), length)?;
        let endpoints: Result<Vec<_>, _> = bytes.chunks_exact(ENDPOINT_BYTES).map(decode_endpoint).collect();
        Ok(Incoming::DefineList { list, endpoints: endpoints? })
    }

    /// Decodes a request of a client.
    fn decode_request(&self, record: &Fields, settings: Option<&DeploymentSettings>) -> Request {
        let class = record.u16(20);
        let carries_position = settings.is_some_and(|settings| {
            settings.session_position_in_request.get(usize::from(class)) == Some(&true)
        });
        let since_write_ms = record.f32(30);
        Request {
            id: RequestId(record.u64(4)),
            class: ClassId(class),
            group: GroupId(record.f32(34) as u32),
            tenant: TenantId(record.u16(46)),
            timeout: micros_rounded_down(record.f64(12)),
            session: Some(record.u64(38)).filter(|session| *session != 0).map(SessionId),
            // Rounded up, including the precision of the 32-bit float: the read has to see the write.
            last_write_position: (carries_position && since_write_ms > 0.0)
                .then(|| micros_rounded_up(self.clock_ms - f64::from(since_write_ms.next_down()))),
            copy_candidates: Vec::new(),
        }
    }
}

/// Decodes a change of the endpoint list, which refers to a list that was defined before.
fn decode_endpoints(
    record: &Fields,
    lists: &BTreeMap<ListId, Vec<EndpointRecord>>,
) -> Result<Event, FrameError> {
    const CHANGES: u8 = 0;
    const POLL_FAILED: u8 = 3;
    match record.u8(4) {
        POLL_FAILED => Ok(Event::EndpointPollFailed),
        mode if mode < POLL_FAILED => {
            let list = ListId(record.u16(13));
            let endpoints = lists.get(&list).ok_or(FrameError::UndefinedList(list))?;
            let endpoints = endpoints.iter().map(|endpoint| endpoint.0.clone()).collect();
            Ok(Event::EndpointsChanged(EndpointList { complete: mode != CHANGES, endpoints }))
        }
        mode => Err(FrameError::UnknownListMode(mode)),
    }
}

/// Decodes an entry of an endpoint list.
fn decode_endpoint(bytes: &[u8]) -> Result<EndpointRecord, FrameError> {
    let fields = Fields(bytes);
    let state = match fields.u8(0) {
        0 => EndpointState::Removed,
        1 => EndpointState::Draining,
        2 => EndpointState::Ready,
        state => return Err(FrameError::UnknownEndpointState(state)),
    };
    let started_ms = fields.f64(2);
    Ok(EndpointRecord(Endpoint {
        server: ServerId(fields.u32(21)),
        group: GroupId(u32::from(fields.u16(14))),
        zone: ZoneId(u16::from(fields.u8(1))),
        state,
        started_at: (started_ms != 0.0).then(|| micros_rounded_down(started_ms)),
        weight: f64::from(fields.f32(10)),
        primary: fields.f32(16) == 1.0,
    }))
}

/// Decodes the result of an attempt.
fn decode_result(
    record: &Fields,
    settings: Option<&DeploymentSettings>,
) -> Result<AttemptResult, FrameError> {
    Ok(AttemptResult {
        request: RequestId(record.u64(4)),
        attempt: AttemptNumber(record.u16(21)),
        server: ServerId(record.u32(16)),
        outcome: decode_outcome(record.u8(23))?,
        elapsed: micros_rounded_down(record.f64(24)),
        request_finished: record.u8(20) != 0,
        status: settings.and_then(|settings| decode_status(record.u32(12), settings.position_epoch)),
        load_report: settings.and_then(|settings| decode_load_report(record, 32, settings)),
    })
}

/// Decodes the outcome of an attempt or a health check.
fn decode_outcome(code: u8) -> Result<AttemptOutcome, FrameError> {
    Ok(match code {
        0 => AttemptOutcome::Ok,
        1 => AttemptOutcome::Error,
        2 => AttemptOutcome::Overloaded,
        3 => AttemptOutcome::Timeout,
        4 => AttemptOutcome::ConnectFailed,
        5 => AttemptOutcome::ConnectionReset,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::NotSent,
        8 => AttemptOutcome::Ineligible,
        code => return Err(FrameError::UnknownOutcome(code)),
    })
}
