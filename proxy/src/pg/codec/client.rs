//! What a client sends, as typed values.

use super::{Malformed, cut, lossy};

/// How a client begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Startup {
    /// `SSLRequest` or `GSSENCRequest`.
    Encryption,
    Cancel,
    /// Version 3 of this minor, with the protocol options that it names.
    Version3 {
        minor: u16,
        options: Vec<String>,
    },
    Unsupported {
        major: u16,
    },
}

impl Startup {
    pub(super) fn decode(body: &[u8]) -> Result<Startup, Malformed> {
        let (version, mut rest) = body.split_at(4);
        let (major, minor) =
            (u16::from_be_bytes([version[0], version[1]]), u16::from_be_bytes([version[2], version[3]]));
        match (major, minor) {
            (1234, 5679 | 5680) => return Ok(Startup::Encryption),
            (1234, 5678) => return Ok(Startup::Cancel),
            (3, _) => {}
            _ => return Ok(Startup::Unsupported { major }),
        }
        let mut options = Vec::new();
        loop {
            let (name, after) = cut(rest).ok_or(Malformed::Bad("a startup message without its end"))?;
            if name.is_empty() {
                return Ok(Startup::Version3 { minor, options });
            }
            if name.starts_with(b"_pq_.") {
                options.push(lossy(name));
            }
            let (_, after) = cut(after).ok_or(Malformed::Bad("a startup parameter without a value"))?;
            rest = after;
        }
    }
}

/// A client's message after the first.
#[derive(Debug, PartialEq, Eq)]
pub enum FromClient {
    Query(Vec<u8>),
    /// A part of the extended protocol, or a function call: all that a Sync ends.
    Extended,
    FunctionCall,
    Sync,
    /// Allowed at any time, and without effect here.
    Flush,
    Terminate,
}

impl FromClient {
    pub(super) fn decode(tag: u8, body: &[u8]) -> Result<FromClient, Malformed> {
        Ok(match tag {
            b'Q' => match cut(body) {
                Some((query, [])) => FromClient::Query(query.to_vec()),
                _ => return Err(Malformed::Bad("a query without its end")),
            },
            b'P' | b'B' | b'D' | b'E' | b'C' => FromClient::Extended,
            b'F' => FromClient::FunctionCall,
            b'S' => FromClient::Sync,
            // The remains of a copy that never began are dropped, as PostgreSQL drops them.
            b'H' | b'd' | b'c' | b'f' => FromClient::Flush,
            b'X' => FromClient::Terminate,
            _ => return Err(Malformed::Bad("an unknown message")),
        })
    }
}
