//! HTTP/1.1 health: GET, HEAD and OPTIONS on a handful of paths. A machine fed bytes that answers from the verdict it is
//! handed; it knows no socket and no clock.
//!
//! Owns the framing and the mapping of verdicts to statuses and headers. Never keeps more than [`MAX_HEAD_BYTES`] of input for
//! one call, nor answers more than [`MAX_PENDING_OUTPUT_BYTES`] bytes ahead of a caller that reads nothing.

use crate::verdict::{Capability, HealthQuery, Operation, Reason, State, Verdict};
use crate::{GroupId, Micros, ServerId};
use serde::Serialize;
use std::borrow::Cow;

/// A call's request line and headers together; the longest target; headers in one call.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
const TARGET: usize = 1 << 10;
const HEADERS: usize = 64;
/// A body is of no use here: a short one is passed over, a longer one ends the connection.
const BODY: usize = 4 << 10;
/// Replies that wait to be read; calls behind them wait too.
pub const MAX_PENDING_OUTPUT_BYTES: usize = 16 << 10;

/// How servers are called in what people read.
pub type ServerNames<'a> = &'a dyn Fn(ServerId) -> String;

/// A balancer's connection.
#[derive(Default)]
pub struct HttpCheckConnection {
    input: Vec<u8>,
    /// Bytes of a body that are still to be passed over.
    skip: usize,
    /// What waits to be written.
    pub output: Vec<u8>,
    closing: bool,
    calls: u64,
}

/// The answer to one call, before it is written down.
struct Reply<'a> {
    status: u16,
    headers: Vec<(&'static str, &'static str)>,
    body: Cow<'a, str>,
}

impl HttpCheckConnection {
    /// More input may be read.
    pub fn wants_input(&self) -> bool {
        !self.closing && self.input.len() < 2 * MAX_HEAD_BYTES
    }

    /// All is written, and the connection is to be closed.
    pub fn is_finished(&self) -> bool {
        self.closing && self.output.is_empty()
    }

    /// A call has begun and is not whole.
    pub fn has_partial_request(&self) -> bool {
        self.skip > 0 || !self.input.is_empty()
    }

    /// Calls answered.
    pub fn requests_answered(&self) -> u64 {
        self.calls
    }

    /// So much of `out` has been written.
    pub fn output_written(&mut self, n: usize) {
        self.output.drain(..n.min(self.output.len()));
        if self.output.is_empty() {
            self.output.shrink_to(4 << 10);
        }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.closing {
            self.input.extend_from_slice(bytes);
        }
    }

    /// Answers the calls that are whole, as far as the caller reads. False: others may wait until it has read.
    pub fn process(&mut self, now: Micros, verdict: &Verdict, names: ServerNames) -> bool {
        while !self.closing && self.output.len() < MAX_PENDING_OUTPUT_BYTES {
            if !self.one(now, verdict, names) {
                return true;
            }
        }
        self.closing
    }

    /// One call. False: none is whole.
    fn one(&mut self, now: Micros, verdict: &Verdict, names: ServerNames) -> bool {
        let skipped = self.skip.min(self.input.len());
        self.input.drain(..skipped);
        self.skip -= skipped;
        if self.skip > 0 || self.input.is_empty() {
            return false;
        }
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let (head, call) = match request.parse(&self.input) {
            Ok(httparse::Status::Complete(head)) if head <= MAX_HEAD_BYTES => (head, Call::read(&request)),
            Ok(httparse::Status::Partial) if self.input.len() < MAX_HEAD_BYTES => return false,
            Ok(_) => return self.refuse(431),
            Err(httparse::Error::TooManyHeaders) => return self.refuse(431),
            Err(httparse::Error::Version) => return self.refuse(505),
            Err(_) => return self.refuse(400),
        };
        let call = match call {
            Ok(call) => call,
            Err(status) => return self.refuse(status),
        };
        self.input.drain(..head);
        self.input.shrink_to(4 << 10);
        (self.skip, self.closing) = (call.body, !call.keep);
        let reply = call.answer(now, verdict, names);
        self.write(&reply, call.method == Method::Head);
        true
    }

    /// What is no call ends the connection behind its answer: where the next would begin is not known.
    fn refuse(&mut self, status: u16) -> bool {
        self.closing = true;
        self.input = Vec::new();
        let allow = (status == 405).then_some(ALLOW);
        let reply = Reply { status, headers: allow.into_iter().collect(), body: phrase(status).into() };
        self.write(&reply, false);
        false
    }

    fn write(&mut self, reply: &Reply, head_only: bool) {
        self.calls += 1;
        let text =
            |s: &mut Vec<u8>, parts: &[&str]| parts.iter().for_each(|p| s.extend_from_slice(p.as_bytes()));
        let out = &mut self.output;
        text(out, &["HTTP/1.1 ", &reply.status.to_string(), " ", phrase(reply.status), "\r\n"]);
        if !reply.body.is_empty() {
            let json = reply.body.starts_with('{');
            text(out, &["Content-Type: ", if json { "application/json" } else { "text/plain" }, "\r\n"]);
        }
        if reply.status != 204 {
            text(out, &["Content-Length: ", &reply.body.len().to_string(), "\r\n"]);
        }
        text(out, &["Cache-Control: no-store\r\n"]);
        for (name, value) in &reply.headers {
            text(out, &[name, ": ", value, "\r\n"]);
        }
        if self.closing {
            text(out, &["Connection: close\r\n"]);
        }
        text(out, &["\r\n"]);
        if !head_only {
            text(out, &[&reply.body]);
        }
    }
}

const ALLOW: (&str, &str) = ("Allow", "GET, HEAD, OPTIONS");

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        414 => "URI Too Long",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Unknown",
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    Get,
    Head,
    Options,
}

enum Path {
    Live,
    Ask(HealthQuery),
    Whole,
    None,
}

struct Call {
    method: Method,
    path: Path,
    keep: bool,
    body: usize,
}

impl Call {
    /// What a whole head asks; otherwise the status that it gets.
    fn read(request: &httparse::Request) -> Result<Call, u16> {
        let target = request.path.unwrap_or_default();
        if target.len() > TARGET {
            return Err(414);
        }
        let header = |name: &'static str| {
            request.headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
        };
        if header("transfer-encoding").next().is_some() {
            return Err(501);
        }
        let mut lengths = header("content-length");
        let body = match (lengths.next(), lengths.next()) {
            (None, _) => 0,
            (Some(_), Some(_)) => return Err(400),
            (Some(value), None) => {
                let value = std::str::from_utf8(value).ok().map(str::trim).filter(|v| !v.starts_with('+'));
                value.and_then(|v| v.parse::<usize>().ok()).ok_or(400u16)?
            }
        };
        if body > BODY {
            return Err(413);
        }
        let newer = request.version == Some(1);
        if newer && header("host").count() != 1 {
            return Err(400);
        }
        let says = |word: &str| {
            let words =
                header("connection").filter_map(|v| std::str::from_utf8(v).ok()).flat_map(|v| v.split(','));
            words.into_iter().any(|w| w.trim().eq_ignore_ascii_case(word))
        };
        let method = match request.method {
            Some("GET") => Method::Get,
            Some("HEAD") => Method::Head,
            Some("OPTIONS") => Method::Options,
            _ => return Err(405),
        };
        let keep = if newer { !says("close") } else { says("keep-alive") };
        Ok(Call { method, path: path(target), keep, body })
    }

    fn answer<'a>(&self, now: Micros, verdict: &Verdict, names: ServerNames) -> Reply<'a> {
        if self.method == Method::Options {
            return Reply { status: 204, headers: vec![ALLOW], body: "".into() };
        }
        let told = match &self.path {
            Path::None => None,
            Path::Live => return Reply { status: 200, headers: Vec::new(), body: "alive\n".into() },
            Path::Whole => Some((verdict.overall, report(now, verdict, names))),
            Path::Ask(question) => verdict.capability(question).map(|c| (c, json(&Told::of(now, &c)))),
        };
        let Some((capability, body)) = told else {
            return Reply { status: 404, headers: Vec::new(), body: "no such capability\n".into() };
        };
        let mut headers = Vec::new();
        if capability.available {
            if capability.partial || verdict.state == State::Overloaded {
                headers.push(("x-envoy-degraded", "true"));
            }
        } else {
            let leaving =
                matches!(capability.reason, Reason::Draining | Reason::Replaced | Reason::Maintenance);
            headers.push(("Retry-After", if leaving { "10" } else { "1" }));
            if leaving {
                headers.push(("x-envoy-immediate-health-check-fail", "true"));
            }
        }
        Reply { status: if capability.available { 200 } else { 503 }, headers, body: body.into() }
    }
}

/// `/live`, `/ready`, `/health`, `/class/NAME[/group/N]`, `/group/N[/read|/write]`.
fn path(target: &str) -> Path {
    let target = target.split(['?', '#']).next().unwrap_or_default();
    let parts: Vec<&str> = target.trim_start_matches('/').split('/').collect();
    let group = |n: &str| n.parse().ok().map(GroupId);
    let asked = match parts[..] {
        ["live"] => return Path::Live,
        ["health"] => return Path::Whole,
        ["ready"] => Some(HealthQuery::default()),
        ["class", name] => class(name, None),
        ["class", name, "group", n] => group(n).and_then(|g| class(name, Some(g))),
        ["group", n] => group(n).map(|g| HealthQuery { group: Some(g), ..HealthQuery::default() }),
        ["group", n, kind] => {
            let kind = match kind {
                "read" => Some(Operation::Read),
                "write" => Some(Operation::Write),
                _ => None,
            };
            group(n).filter(|_| kind.is_some()).map(|g| HealthQuery {
                class: None,
                group: Some(g),
                operation: kind,
            })
        }
        _ => None,
    };
    asked.filter(|_| target.starts_with('/')).map_or(Path::None, Path::Ask)
}

fn class(name: &str, group: Option<GroupId>) -> Option<HealthQuery> {
    let name = percent_encoding::percent_decode_str(name).decode_utf8().ok()?;
    Some(HealthQuery { class: Some(name.into_owned()), group, operation: None })
}

/// A capability as programs read it.
#[derive(Serialize)]
struct Told {
    able: bool,
    partial: bool,
    reason: Reason,
    weight: u8,
    since_ms: Micros,
}

impl Told {
    fn of(now: Micros, c: &Capability) -> Told {
        Told {
            able: c.available,
            partial: c.partial,
            reason: c.reason,
            weight: c.weight_percent,
            since_ms: ago(now, c.since),
        }
    }
}

#[derive(Serialize)]
struct ToldGroup {
    group: GroupId,
    members: usize,
    primary: Option<String>,
    proven_ms: Option<Micros>,
    read: Told,
    write: Told,
}

#[derive(Serialize)]
struct ToldClass<'a> {
    class: &'a str,
    #[serde(flatten)]
    told: Option<Told>,
}

#[derive(Serialize)]
struct Report<'a> {
    state: State,
    #[serde(flatten)]
    whole: Told,
    pressure: f64,
    in_progress: usize,
    held: usize,
    room: usize,
    discovery_ms: Option<Micros>,
    ignored: u64,
    classes: Vec<ToldClass<'a>>,
    groups: Vec<ToldGroup>,
}

fn ago(now: Micros, at: Micros) -> Micros {
    (now - at).max(0) / 1000
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).map_or_else(|_| "{}\n".into(), |text| text + "\n")
}

/// All that is told, with reasons and ages in milliseconds.
pub fn report(now: Micros, verdict: &Verdict, names: ServerNames) -> String {
    let classes = verdict.classes.iter().map(|class| {
        let question = HealthQuery { class: Some(class.name.clone()), ..HealthQuery::default() };
        ToldClass { class: &class.name, told: verdict.capability(&question).map(|c| Told::of(now, &c)) }
    });
    let groups = verdict.groups.iter().map(|g| ToldGroup {
        group: g.group,
        members: g.working_servers,
        primary: g.proven_primary.map(names),
        proven_ms: g.proven_at.map(|at| ago(now, at)),
        read: Told::of(now, &g.read),
        write: Told::of(now, &g.write),
    });
    json(&Report {
        state: verdict.state,
        whole: Told::of(now, &verdict.overall),
        pressure: (verdict.pressure * 1000.0).round() / 1000.0,
        in_progress: verdict.in_progress,
        held: verdict.queued,
        room: verdict.client_capacity,
        discovery_ms: verdict.discovery_heard_at.map(|at| ago(now, at)),
        ignored: verdict.ignored_servers,
        classes: classes.collect(),
        groups: groups.collect(),
    })
}
