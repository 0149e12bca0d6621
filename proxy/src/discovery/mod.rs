//! Discovery's list of databases and the watch on it: HTTP/1.1, as machines that are fed bytes and know no socket.

mod backoff;
mod error;
mod http;
mod list;
#[cfg(test)]
mod tests;
mod watch;

pub use backoff::Backoff;
pub use error::CallError;
pub use list::{State, Target, Update};
pub use watch::{ANSWER, Answer, CONNECT, Watch};
