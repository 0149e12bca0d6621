//! A request: its head is parsed, its path mapped to a resource, and its response built from the verdict.

use super::ServerNames;
use super::report::{capability_report, report};
use super::response::{ALLOW, Header, Response, Status};
use crate::labels::{Operation, State};
use crate::query::HealthQuery;
use crate::verdict::{Capability, Verdict};
use crate::{GroupId, Micros};

/// The longest request target.
const MAX_TARGET_BYTES: usize = 1 << 10;
/// Bodies have no meaning here: up to this length they are skipped, longer ones end the connection.
const MAX_BODY_BYTES: usize = 4 << 10;
/// When to ask again in seconds, while the cause may pass at any moment.
const RETRY_AFTER_FAULT: Header = Header { name: "Retry-After", value: "1" };
/// When to ask again in seconds, after a planned withdrawal.
const RETRY_AFTER_PLANNED: Header = Header { name: "Retry-After", value: "10" };
/// Tells Envoy that the capability is available with restrictions.
const ENVOY_DEGRADED: Header = Header { name: "x-envoy-degraded", value: "true" };
/// Tells Envoy to take the proxy out of rotation at once, without waiting for its threshold.
const ENVOY_IMMEDIATE_FAIL: Header = Header { name: "x-envoy-immediate-health-check-fail", value: "true" };

/// The methods that are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Method {
    Get,
    Head,
    Options,
}

/// What a path names.
enum Resource {
    /// The process runs.
    Liveness,
    /// Everything that is known.
    Report,
    /// One capability.
    Capability(HealthQuery),
    /// Nothing that is served.
    Unknown,
}

/// A request whose head is valid.
pub(super) struct Request {
    pub method: Method,
    resource: Resource,
    /// The connection stays open after the response.
    pub keep_alive: bool,
    /// The bytes of the body, which follows the head.
    pub body_length: usize,
}

impl Request {
    /// The request of a complete head, or the status with which it is rejected.
    pub(super) fn from_head(head: &httparse::Request) -> Result<Request, Status> {
        let target = head.path.unwrap_or_default();
        if target.len() > MAX_TARGET_BYTES {
            return Err(Status::UriTooLong);
        }
        if header_values(head, "transfer-encoding").next().is_some() {
            return Err(Status::NotImplemented);
        }
        let body_length = body_length(head)?;
        if body_length > MAX_BODY_BYTES {
            return Err(Status::ContentTooLarge);
        }
        let is_http_1_1 = head.version == Some(1);
        if is_http_1_1 && header_values(head, "host").count() != 1 {
            return Err(Status::BadRequest);
        }
        let method = match head.method {
            Some("GET") => Method::Get,
            Some("HEAD") => Method::Head,
            Some("OPTIONS") => Method::Options,
            _ => return Err(Status::MethodNotAllowed),
        };
        let keep_alive = if is_http_1_1 {
            !has_connection_option(head, "close")
        } else {
            has_connection_option(head, "keep-alive")
        };
        Ok(Request { method, resource: resource(target), keep_alive, body_length })
    }

    /// The response that the verdict gives.
    pub(super) fn respond(&self, now: Micros, verdict: &Verdict, names: ServerNames) -> Response {
        if self.method == Method::Options {
            return Response { headers: vec![ALLOW], ..Response::new(Status::NoContent, "") };
        }
        match &self.resource {
            Resource::Liveness => Response::new(Status::Ok, "alive\n"),
            Resource::Report => {
                capability_response(verdict.overall, verdict.state, report(now, verdict, names))
            }
            Resource::Capability(query) => match verdict.capability(query) {
                Some(capability) => {
                    capability_response(capability, verdict.state, capability_report(now, &capability))
                }
                None => unknown_resource(),
            },
            Resource::Unknown => unknown_resource(),
        }
    }
}

/// The response where a path names nothing that is served.
fn unknown_resource() -> Response {
    Response::new(Status::NotFound, "no such capability\n")
}

/// Status and headers by which balancers see whether the capability is available.
fn capability_response(capability: Capability, state: State, body: String) -> Response {
    if capability.available {
        let mut response = Response::new(Status::Ok, body);
        if capability.partial || state == State::Overloaded {
            response.headers.push(ENVOY_DEGRADED);
        }
        return response;
    }
    let mut response = Response::new(Status::ServiceUnavailable, body);
    if capability.reason.is_planned() {
        response.headers.push(RETRY_AFTER_PLANNED);
        response.headers.push(ENVOY_IMMEDIATE_FAIL);
    } else {
        response.headers.push(RETRY_AFTER_FAULT);
    }
    response
}

/// The values of all headers of this name.
fn header_values<'a>(head: &'a httparse::Request, name: &'static str) -> impl Iterator<Item = &'a [u8]> {
    let matching = head.headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
    matching.map(|header| header.value)
}

/// The length of the body, 0 without a header that states it.
fn body_length(head: &httparse::Request) -> Result<usize, Status> {
    let mut lengths = header_values(head, "content-length");
    let Some(value) = lengths.next() else { return Ok(0) };
    if lengths.next().is_some() {
        return Err(Status::BadRequest);
    }
    let digits = std::str::from_utf8(value).ok().map(str::trim).filter(|digits| !digits.starts_with('+'));
    digits.and_then(|digits| digits.parse().ok()).ok_or(Status::BadRequest)
}

/// Whether the header `Connection` has this option.
fn has_connection_option(head: &httparse::Request, option: &str) -> bool {
    let values = header_values(head, "connection").filter_map(|value| std::str::from_utf8(value).ok());
    let mut options = values.flat_map(|value| value.split(','));
    options.any(|given| given.trim().eq_ignore_ascii_case(option))
}

/// The resource of a request target: `/live`, `/ready`, `/health`, `/class/NAME[/group/N]` or
/// `/group/N[/read|/write]`.
fn resource(target: &str) -> Resource {
    let path = target.split(['?', '#']).next().unwrap_or_default();
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match segments[..] {
        ["live"] => Resource::Liveness,
        ["health"] => Resource::Report,
        _ if !path.starts_with('/') => Resource::Unknown,
        _ => capability_query(&segments).map_or(Resource::Unknown, Resource::Capability),
    }
}

/// The query that a path's segments stand for, if they name a capability.
fn capability_query(segments: &[&str]) -> Option<HealthQuery> {
    match *segments {
        ["ready"] => Some(HealthQuery::default()),
        ["class", name] => class_query(name, None),
        ["class", name, "group", id] => class_query(name, Some(group_id(id)?)),
        ["group", id] => Some(HealthQuery { group: Some(group_id(id)?), ..HealthQuery::default() }),
        ["group", id, operation] => {
            let operation = Operation::ALL.iter().find(|known| known.as_str() == operation)?;
            Some(HealthQuery { class: None, group: Some(group_id(id)?), operation: Some(*operation) })
        }
        _ => None,
    }
}

fn group_id(text: &str) -> Option<GroupId> {
    text.parse().ok().map(GroupId)
}

/// The query of a class, whose name may be percent-encoded.
fn class_query(name: &str, group: Option<GroupId>) -> Option<HealthQuery> {
    let name = percent_encoding::percent_decode_str(name).decode_utf8().ok()?;
    Some(HealthQuery { class: Some(name.into_owned()), group, operation: None })
}
