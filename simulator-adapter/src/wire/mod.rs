//! The frames: records of fixed size, then a tail. Times turn into microseconds here, once.

mod fields;
mod reply;

use crate::Instance;
use birchreach::*;
use fields::Fields;
pub use reply::Reply;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};

const EVENT: usize = 56;
const ACTION: usize = 24;
const ENTRY: usize = 25;
const HEADER: usize = 20;

/// Milliseconds to microseconds, never later than what was meant.
pub fn micros_down(ms: f64) -> Micros {
    // The cast saturates and turns NaN into 0, so no input can overflow.
    (ms * 1000.0).floor() as Micros
}

fn micros_up(ms: f64) -> Micros {
    (ms * 1000.0).ceil() as Micros
}

/// A line of a numbered list.
#[derive(Clone)]
pub struct Entry(Endpoint);

/// An event record, decoded.
pub enum Incoming {
    List { bank: u16, entries: Vec<Entry> },
    Begin { router: u16, seed: u64, info: String },
    Detach { router: u16 },
    Event { router: u16, event: Event },
    Ignored,
    Unknown { code: u16 },
}

pub struct Batch {
    pub clock_ms: f64,
    pub number: u32,
    pub records: usize,
    body: Vec<u8>,
}

/// The next batch, or `None` at a clean end of input.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, String> {
    let mut header = [0u8; HEADER];
    let mut got = 0;
    while got < HEADER {
        match input.read(&mut header[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(format!("input ends {got} bytes into a header of {HEADER}")),
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("reading a header: {e}")),
        }
    }
    let head = Fields(&header);
    let length = head.u32(0) as usize;
    let records = head.u32(4) as usize;
    let (clock_ms, number) = (head.f64(8), head.u32(16));
    let mut body = Vec::new();
    match input.take(length as u64).read_to_end(&mut body) {
        Ok(n) if n == length => {}
        Ok(n) => return Err(format!("batch {number}: input ends after {n} of {length} bytes")),
        Err(e) => return Err(format!("batch {number}: {e}")),
    }
    if records.checked_mul(EVENT).is_none_or(|need| need > length) {
        return Err(format!("batch {number}: {records} records do not fit into {length} bytes"));
    }
    if !clock_ms.is_finite() {
        return Err(format!("batch {number}: the clock is not a number"));
    }
    Ok(Some(Batch { clock_ms, number, records, body }))
}

impl Batch {
    fn tail(&self, offset: u32, length: usize) -> Result<&[u8], String> {
        let tail = &self.body[self.records * EVENT..];
        let start = offset as usize;
        start
            .checked_add(length)
            .and_then(|end| tail.get(start..end))
            .ok_or_else(|| format!("tail reference {start}+{length} lies outside a tail of {}", tail.len()))
    }

    /// Decodes one record. Lists are resolved as of this record, in event order.
    pub fn event(
        &self,
        index: usize,
        lists: &BTreeMap<u16, Vec<Entry>>,
        instances: &BTreeMap<u16, Instance>,
    ) -> Result<Incoming, String> {
        let f = Fields(&self.body[index * EVENT..(index + 1) * EVENT]);
        let (code, router) = (f.u16(0), f.u16(2));
        let wire = instances.get(&router).map(|i| &i.settings);
        let event = match code {
            266 => {
                let count = f.u32(8) as usize;
                let bytes = count.checked_mul(ENTRY).ok_or("a list too long to hold")?;
                let raw = self.tail(f.u32(4), bytes)?;
                let entries: Result<Vec<_>, _> = raw.chunks_exact(ENTRY).map(entry).collect();
                return Ok(Incoming::List { bank: router, entries: entries? });
            }
            256 => {
                let raw = self.tail(f.u32(12), f.u32(16) as usize)?;
                let info = String::from_utf8_lossy(raw).into_owned();
                return Ok(Incoming::Begin { router, seed: f.u64(4), info });
            }
            265 => return Ok(Incoming::Detach { router }),
            257 => match f.u8(4) {
                3 => Event::EndpointPollFailed,
                mode @ 0..=2 => {
                    let bank = f.u16(13);
                    let entries = lists.get(&bank).ok_or_else(|| format!("list {bank} was never defined"))?;
                    Event::EndpointsChanged(EndpointList {
                        complete: mode != 0,
                        endpoints: entries.iter().map(|e| e.0.clone()).collect(),
                    })
                }
                mode => return Err(format!("unknown mode {mode} of a list")),
            },
            258 => {
                let class = f.u16(20);
                let carried =
                    wire.is_some_and(|w| w.session_position_in_request.get(class as usize) == Some(&true));
                let ago = f.f32(30);
                Event::Request(Request {
                    id: RequestId(f.u64(4)),
                    class: ClassId(class),
                    group: GroupId(f.f32(34) as u32),
                    tenant: TenantId(f.u16(46)),
                    timeout: micros_down(f.f64(12)),
                    session: Some(f.u64(38)).filter(|s| *s != 0).map(SessionId),
                    // A commit is rounded up, a step of the float included: the read must see it.
                    last_write_position: (carried && ago > 0.0)
                        .then(|| micros_up(self.clock_ms - f64::from((ago as f32).next_down()))),
                    copy_candidates: Vec::new(),
                })
            }
            259 => Event::ResponseStarted { request: RequestId(f.u64(4)), attempt: AttemptNo(f.u16(20)) },
            260 => {
                let ending = ending(f.u8(23))?;
                Event::AttemptCompleted(AttemptResult {
                    request: RequestId(f.u64(4)),
                    attempt: AttemptNo(f.u16(21)),
                    server: ServerId(f.u32(16)),
                    outcome: ending,
                    elapsed: micros_down(f.f64(24)),
                    request_finished: f.u8(20) != 0,
                    status: wire.and_then(|w| note(f.u32(12), w.position_epoch)),
                    load_report: wire.and_then(|w| report(&f, 32, w)),
                })
            }
            261 => Event::ClientDisconnected { request: RequestId(f.u64(4)) },
            262 => Event::Timer { id: f.u32(4) },
            263 => Event::HealthCheckCompleted {
                server: ServerId(f.u32(4)),
                outcome: ending(f.u8(16))?,
                load_report: wire.and_then(|w| report(&f, 17, w)),
            },
            264 => {
                // Routers of these sites have no peers; the bytes are only checked.
                self.tail(f.u32(8), f.u32(12) as usize)?;
                return Ok(Incoming::Ignored);
            }
            code => return Ok(Incoming::Unknown { code }),
        };
        Ok(Incoming::Event { router, event })
    }
}

fn entry(raw: &[u8]) -> Result<Entry, String> {
    let f = Fields(raw);
    let state = match f.u8(0) {
        0 => EndpointState::Removed,
        1 => EndpointState::Draining,
        2 => EndpointState::Ready,
        mode => return Err(format!("unknown mode {mode} of a list entry")),
    };
    let started = f.f64(2);
    Ok(Entry(Endpoint {
        server: ServerId(f.u32(21)),
        group: GroupId(u32::from(f.u16(14))),
        zone: ZoneId(u16::from(f.u8(1))),
        state,
        started_at: (started != 0.0).then(|| micros_down(started)),
        weight: f.f32(10),
        primary: f.f32(16) == 1.0,
    }))
}

fn ending(code: u8) -> Result<AttemptOutcome, String> {
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
        code => return Err(format!("unknown completion code {code}")),
    })
}

fn note(raw: u32, zero: Micros) -> Option<ServerStatus> {
    let role = match raw % 4 {
        1 => Role::Primary,
        2 => Role::Replica,
        _ => return None,
    };
    let ms = Micros::from(raw / 4);
    let position = (ms > 0).then_some(zero + ms * 1000);
    Some(ServerStatus { role, position })
}

fn report(f: &Fields, at: usize, wire: &birchreach_settings::DeploymentSettings) -> Option<LoadReport> {
    let n = (f.u8(at) as usize).min(4);
    if n == 0 {
        return None;
    }
    let value = |place: Option<usize>| {
        place.filter(|p| *p < n).map(|p| f.f32(at + 1 + 4 * p)).filter(|v| v.is_finite())
    };
    // A position of a few seconds survives 32-bit floats to a fraction of a millisecond; the
    // last step of that is taken off, so that it is never read as later than it was.
    let position = value(wire.load_report_position_index).map(|s| {
        let step = (s as f32).next_up() as f64 - s;
        wire.position_epoch + micros_down((s - step) * 1000.0)
    });
    let role = value(wire.load_report_role_index).map(|v| match v {
        v if v >= 0.5 => Role::Primary,
        _ => Role::Replica,
    });
    Some(LoadReport { position, role })
}
