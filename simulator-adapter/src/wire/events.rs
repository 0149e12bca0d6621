//! Decodes the simulator's event records into events of the router.

use super::batch::Batch;
use super::error::FrameError;
use super::fields::Fields;
use super::load_report::{decode_load_report, decode_status};
use super::{micros_rounded_down, micros_rounded_up};
use crate::host::RouterInstance;
use birchreach::{
    AttemptNumber, AttemptOutcome, AttemptResult, ClassId, Endpoint, EndpointList, EndpointState, Event,
    GroupId, Request, RequestId, ServerId, SessionId, TenantId, ZoneId,
};
use birchreach_settings::DeploymentSettings;
use std::collections::BTreeMap;

/// Length of an event record in bytes.
pub(super) const EVENT_BYTES: usize = 56;
/// Length of an endpoint in the tail, in bytes.
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
    pub(super) const DEFINE_ENDPOINT_LIST: u16 = 266;
}

/// Number of a router on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouterId(pub u16);

/// Number of an endpoint list on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndpointListId(pub u16);

/// An entry of an endpoint list.
#[derive(Clone)]
pub(crate) struct EndpointRecord(Endpoint);

/// A decoded event record.
pub(crate) enum DecodedRecord {
    /// Defines an endpoint list that later records can refer to.
    DefineEndpointList { list: EndpointListId, endpoints: Vec<EndpointRecord> },
    /// Starts a router. The settings are JSON that has not been parsed yet.
    Start { router: RouterId, seed: u64, settings: String },
    /// Removes a router and its state.
    Stop { router: RouterId },
    /// Passes an event to a router.
    Event { router: RouterId, event: Event },
    /// A valid record without an effect in the adapter.
    Ignored,
    /// A record with an unknown code.
    Unknown { code: u16 },
}

impl Batch {
    /// Decodes the record at this index. `lists` holds the endpoint lists that earlier records defined.
    ///
    /// # Errors
    /// Returns an error if the record is malformed or refers to an endpoint list or bytes that do not exist.
    pub(crate) fn decode_record(
        &self,
        index: usize,
        lists: &BTreeMap<EndpointListId, Vec<EndpointRecord>>,
        instances: &BTreeMap<RouterId, RouterInstance>,
    ) -> Result<DecodedRecord, FrameError> {
        let record = self.record(index);
        let router = RouterId(record.u16(2));
        let settings = instances.get(&router).map(|instance| &instance.settings);
        let event = match record.u16(0) {
            code::START => return self.decode_start(router, &record),
            code::STOP => return Ok(DecodedRecord::Stop { router }),
            code::DEFINE_ENDPOINT_LIST => {
                return self.decode_endpoint_list(EndpointListId(record.u16(2)), &record);
            }
            code::PEER_MESSAGE => {
                // Routers have no peers in the simulator. Only the reference to the tail is checked.
                self.tail_bytes(record.u32(8), record.u32(12) as usize)?;
                return Ok(DecodedRecord::Ignored);
            }
            code::ENDPOINTS => decode_endpoint_list_change(&record, lists)?,
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
            code => return Ok(DecodedRecord::Unknown { code }),
        };
        Ok(DecodedRecord::Event { router, event })
    }

    /// Decodes the start of a router. The settings are in the tail.
    fn decode_start(&self, router: RouterId, record: &Fields) -> Result<DecodedRecord, FrameError> {
        let settings = self.tail_bytes(record.u32(12), record.u32(16) as usize)?;
        let settings = String::from_utf8_lossy(settings).into_owned();
        Ok(DecodedRecord::Start { router, seed: record.u64(4), settings })
    }

    /// Decodes the definition of an endpoint list. The entries are in the tail.
    fn decode_endpoint_list(
        &self,
        list: EndpointListId,
        record: &Fields,
    ) -> Result<DecodedRecord, FrameError> {
        let count = record.u32(8) as usize;
        let length = count.checked_mul(ENDPOINT_BYTES).ok_or(FrameError::EndpointListTooLong)?;
        let bytes = self.tail_bytes(record.u32(4), length)?;
        let endpoints: Result<Vec<_>, _> = bytes.chunks_exact(ENDPOINT_BYTES).map(decode_endpoint).collect();
        Ok(DecodedRecord::DefineEndpointList { list, endpoints: endpoints? })
    }

    /// Decodes a client request.
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
            // Rounded up, including the precision of the 32-bit float, because the read must see the write.
            last_write_position: (carries_position && since_write_ms > 0.0)
                .then(|| micros_rounded_up(self.clock_ms - f64::from(since_write_ms.next_down()))),
            copy_candidates: Vec::new(),
        }
    }
}

/// Decodes a change of the endpoint list. The record refers to a list that an earlier record defined.
fn decode_endpoint_list_change(
    record: &Fields,
    lists: &BTreeMap<EndpointListId, Vec<EndpointRecord>>,
) -> Result<Event, FrameError> {
    const CHANGES: u8 = 0;
    const POLL_FAILED: u8 = 3;
    match record.u8(4) {
        POLL_FAILED => Ok(Event::EndpointPollFailed),
        mode if mode < POLL_FAILED => {
            let list = EndpointListId(record.u16(13));
            let endpoints = lists.get(&list).ok_or(FrameError::UndefinedEndpointList(list))?;
            let endpoints = endpoints.iter().map(|endpoint| endpoint.0.clone()).collect();
            Ok(Event::EndpointsChanged(EndpointList { complete: mode != CHANGES, endpoints }))
        }
        mode => Err(FrameError::UnknownEndpointListMode(mode)),
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
