//! The command `health`: queries a running proxy at its HTTP health address, and prints the answer as text or as JSON.

mod error;
mod report;
#[cfg(test)]
mod tests;

use crate::cli::HealthArguments;
use birchreach_options::Options;
pub(crate) use error::HealthCommandError;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// The exit code if the proxy can serve the requests that the command names.
pub(crate) const EXIT_AVAILABLE: i32 = 0;
/// The exit code if the proxy cannot serve them.
pub(crate) const EXIT_UNAVAILABLE: i32 = 1;
/// The exit code if there is no valid answer, or the options cannot be read.
pub(crate) const EXIT_NO_ANSWER: i32 = 2;

/// The limit on the length of an answer.
const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// The HTTP status of a proxy that can serve the requests.
const STATUS_AVAILABLE: u16 = 200;
/// The HTTP status of a proxy that cannot serve the requests.
const STATUS_UNAVAILABLE: u16 = 503;

/// The HTTP response of the proxy.
struct Answer {
    status: u16,
    body: String,
}

/// Runs the command. Returns the exit code and the text to print, which may be an error message.
pub(crate) fn run(arguments: &HealthArguments, options: Option<&Options>) -> (i32, String) {
    match query_proxy(arguments, options) {
        Ok((code, text)) => (code, text),
        Err(error) => (EXIT_NO_ANSWER, error.to_string()),
    }
}

/// Reads the options, which may contain the address to query.
pub(crate) fn read_options(file: &Path) -> Result<Options, HealthCommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| HealthCommandError::OptionsUnreadable { file: file.into(), error })?;
    birchreach_options::parse(&text).map_err(|errors| HealthCommandError::OptionsInvalid {
        file: file.into(),
        first: errors.into_iter().next(),
    })
}

/// Queries the proxy. Returns the exit code and the text to print.
fn query_proxy(
    arguments: &HealthArguments,
    options: Option<&Options>,
) -> Result<(i32, String), HealthCommandError> {
    let Answer { status, body } = send_request(arguments, options)?;
    let code = match status {
        STATUS_AVAILABLE => EXIT_AVAILABLE,
        STATUS_UNAVAILABLE => EXIT_UNAVAILABLE,
        _ => return Err(HealthCommandError::UnexpectedStatus { status, body }),
    };
    if arguments.json {
        return Ok((code, body));
    }
    let answer = serde_json::from_str(&body).map_err(HealthCommandError::NotJson)?;
    Ok((code, report::format_answer(&answer)))
}

/// Sends the HTTP request and reads the response.
fn send_request(
    arguments: &HealthArguments,
    options: Option<&Options>,
) -> Result<Answer, HealthCommandError> {
    let configured =
        || options?.health.as_ref()?.http.as_ref().map(|http| connectable_address(http.listener.address));
    let address = arguments.at.or_else(configured).ok_or(HealthCommandError::NoAddress)?;
    let failed = |error| HealthCommandError::Request { address, error };
    let client = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_millis(arguments.timeout)))
        .proxy(None)
        .max_redirects(0)
        .build()
        .new_agent();
    let mut response =
        client.get(format!("http://{address}{}", request_path(arguments))).call().map_err(failed)?;
    let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_string();
    Ok(Answer { status: response.status().as_u16(), body: body.map_err(failed)? })
}

/// Returns the path for the class and group in the arguments.
fn request_path(arguments: &HealthArguments) -> String {
    match (&arguments.class, arguments.group) {
        (None, None) => "/health".to_string(),
        (Some(class), None) => format!("/class/{}", percent_encode(class)),
        (None, Some(group)) => format!("/group/{group}"),
        (Some(class), Some(group)) => format!("/class/{}/group/{group}", percent_encode(class)),
    }
}

/// Encodes a name as one segment of a path.
fn percent_encode(name: &str) -> String {
    percent_encoding::utf8_percent_encode(name, percent_encoding::NON_ALPHANUMERIC).to_string()
}

/// Returns the address to connect to, which is the loopback address for a proxy that listens on every address.
fn connectable_address(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}
