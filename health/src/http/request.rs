//! HTTP requests: parsing the head, mapping the path to a resource and building the response from the verdict.

use super::ServerNames;
use super::report::{capability_report, report};
use super::response::{ALLOW, Header, Response, Status};
use crate::labels::{Operation, State};
use crate::query::HealthQuery;
use crate::verdict::{Capability, Verdict};
use crate::{GroupId, Micros};

const MAX_TARGET_BYTES: usize = 1 << 10;
/// Request bodies have no meaning. Bodies up to this length are skipped; a longer body ends the connection.
const MAX_BODY_BYTES: usize = 4 << 10;
/// Asks the client to retry after one second, because a fault may end at any time.
const RETRY_AFTER_FAULT: Header = Header { name: "Retry-After", value: "1" };
/// Asks the client to retry after ten seconds, because a planned withdrawal lasts longer than most faults.
const RETRY_AFTER_PLANNED: Header = Header { name: "Retry-After", value: "10" };
/// Tells Envoy that the capability is available with restrictions.
const ENVOY_DEGRADED: Header = Header { name: "x-envoy-degraded", value: "true" };
/// Tells Envoy to take the proxy out of rotation at once, without waiting for its threshold.
const ENVOY_IMMEDIATE_FAIL: Header = Header { name: "x-envoy-immediate-health-check-fail", value: "true" };

/// The HTTP methods that a health listener accepts. Requests with other methods are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Method {
    Get,
    Head,
    Options,
}

/// The resource that a path names.
enum Resource {
    /// Always available while the process runs.
    Liveness,
    /// The state of the proxy and the capabilities of all classes and groups.
    Report,
    /// The capability that the query selects.
    Capability(HealthQuery),
    /// The path names no resource.
    Unknown,
}

/// A request with a valid head.
pub(super) struct Request {
    pub method: Method,
    resource: Resource,
    /// The connection stays open after the response.
    pub keep_alive: bool,
    /// The number of body bytes that follow the head.
    pub body_length: usize,
}

impl Request {
    /// Builds the request from a complete head, or returns the status with which the request is rejected.
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

    /// Builds the response from the verdict.
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

fn unknown_resource() -> Response {
    Response::new(Status::NotFound, "no such capability\n")
}

/// Builds the response for a capability. Balancers read its availability from the status and the headers.
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

fn header_values<'a>(head: &'a httparse::Request, name: &'static str) -> impl Iterator<Item = &'a [u8]> {
    let matching = head.headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
    matching.map(|header| header.value)
}

/// Returns the length of the body, which is 0 without a `Content-Length` header.
fn body_length(head: &httparse::Request) -> Result<usize, Status> {
    let mut lengths = header_values(head, "content-length");
    let Some(value) = lengths.next() else { return Ok(0) };
    if lengths.next().is_some() {
        return Err(Status::BadRequest);
    }
    let digits = std::str::from_utf8(value).ok().map(str::trim).filter(|digits| !digits.starts_with('+'));
    digits.and_then(|digits| digits.parse().ok()).ok_or(Status::BadRequest)
}

/// True if a `Connection` header contains the option.
fn has_connection_option(head: &httparse::Request, option: &str) -> bool {
    let values = header_values(head, "connection").filter_map(|value| std::str::from_utf8(value).ok());
    let mut options = values.flat_map(|value| value.split(','));
    options.any(|given| given.trim().eq_ignore_ascii_case(option))
}

/// Maps a request target to its resource: `/live`, `/ready`, `/health`, `/class/NAME[/group/N]` or
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

/// Returns the query that the path segments name; `None` if they name no capability.
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

/// Builds the query for a class whose name may be percent-encoded.
fn class_query(name: &str, group: Option<GroupId>) -> Option<HealthQuery> {
    let name = percent_encoding::percent_decode_str(name).decode_utf8().ok()?;
    Some(HealthQuery { class: Some(name.into_owned()), group, operation: None })
}
