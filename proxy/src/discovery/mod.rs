//! The client of discovery: the endpoint list and the watch on it, over HTTP/1.1. The state machines take bytes as input and
//! perform no I/O.

mod backoff;
mod bounded_entries;
mod error;
mod http;
mod list;
#[cfg(test)]
mod tests;
mod watch;

pub(crate) use backoff::Backoff;
pub(crate) use error::PollError;
pub(crate) use list::{EndpointUpdate, ListedEndpoint, ListedState};
pub(crate) use watch::{CONNECT_TIMEOUT_MICROS, EndpointWatch, PollResponse, RESPONSE_TIMEOUT_MICROS};
