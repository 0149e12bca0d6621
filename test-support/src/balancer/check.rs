//! Health checks as load balancers run them, and the parsing of their answers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The weight in percent of a proxy whose answer contains no weight.
const DEFAULT_WEIGHT: u32 = 100;

/// Words in an agent-check answer that take a server out of rotation.
const AGENT_DOWN_WORDS: [&str; 5] = ["down", "drain", "maint", "fail", "stopped"];

/// A kind of health check with its request.
#[derive(Clone, Debug)]
pub enum Check {
    /// Agent-check over TCP. The text is the line that the balancer sends first.
    Agent(String),
    /// An HTTP GET request for this path.
    Http(String),
}

/// The answer to a health check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckAnswer {
    /// Whether the proxy accepts new connections.
    pub up: bool,
    /// The proxy's weight in percent.
    pub weight: u32,
    /// The complete answer as received, including any HTTP header.
    pub text: String,
}

impl CheckAnswer {
    /// Parses an agent-check answer. The proxy is up if the answer contains `up` and no word that takes it out of
    /// rotation. The weight is the word that ends in `%`.
    fn from_agent(text: String) -> CheckAnswer {
        let words: Vec<&str> = text.split([' ', ',', '\r', '\n']).collect();
        let weight = words.iter().find_map(|word| word.strip_suffix('%')).and_then(|word| word.parse().ok());
        let down = AGENT_DOWN_WORDS.iter().any(|word| words.contains(word));
        CheckAnswer { up: words.contains(&"up") && !down, weight: weight.unwrap_or(DEFAULT_WEIGHT), text }
    }

    /// Parses an HTTP response. The proxy is up if the status is 200. The weight is `weight` in the JSON body.
    fn from_http(text: String) -> CheckAnswer {
        let up = text.starts_with("HTTP/1.1 200 ");
        let after_name = text.split("\"weight\":").nth(1);
        let weight = after_name.and_then(|rest| rest.split([',', '}']).next()?.parse().ok());
        CheckAnswer { up, weight: weight.unwrap_or(DEFAULT_WEIGHT), text }
    }
}

/// Runs one health check on a new connection. An empty answer is an error.
pub fn run_check(address: SocketAddr, check: &Check, timeout: Duration) -> io::Result<CheckAnswer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    match check {
        Check::Agent(line) => writeln!(stream, "{line}")?,
        Check::Http(path) => {
            write!(stream, "GET {path} HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")?;
        }
    }
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    if text.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(match check {
        Check::Agent(_) => CheckAnswer::from_agent(text),
        Check::Http(_) => CheckAnswer::from_http(text),
    })
}
