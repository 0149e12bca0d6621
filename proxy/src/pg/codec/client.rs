//! What a client sends, as typed values.

use super::{DecodeError, split_c_string, to_string_lossy};

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
    pub(super) fn decode(body: &[u8]) -> Result<Startup, DecodeError> {
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
            let (name, after) =
                split_c_string(rest).ok_or(DecodeError::Malformed("a startup message without its end"))?;
            if name.is_empty() {
                return Ok(Startup::Version3 { minor, options });
            }
            if name.starts_with(b"_pq_.") {
                options.push(to_string_lossy(name));
            }
            let (_, after) =
                split_c_string(after).ok_or(DecodeError::Malformed("a startup parameter without a value"))?;
            rest = after;
        }
    }
}

/// A client's message after the first.
#[derive(Debug, PartialEq, Eq)]
pub enum ClientMessage {
    Query(Vec<u8>),
    /// A part of the extended protocol, or a function call: all that a Sync ends.
    Extended,
    FunctionCall,
    Sync,
    /// Allowed at any time, and without effect here.
    Flush,
    Terminate,
}

impl ClientMessage {
    pub(super) fn decode(tag: u8, body: &[u8]) -> Result<ClientMessage, DecodeError> {
        Ok(match tag {
            b'Q' => match split_c_string(body) {
                Some((query, [])) => ClientMessage::Query(query.to_vec()),
                _ => return Err(DecodeError::Malformed("a query without its end")),
            },
            b'P' | b'B' | b'D' | b'E' | b'C' => ClientMessage::Extended,
            b'F' => ClientMessage::FunctionCall,
            b'S' => ClientMessage::Sync,
            // The remains of a copy that never began are dropped, as PostgreSQL drops them.
            b'H' | b'd' | b'c' | b'f' => ClientMessage::Flush,
            b'X' => ClientMessage::Terminate,
            _ => return Err(DecodeError::Malformed("an unknown message")),
        })
    }
}
