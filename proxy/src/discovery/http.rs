//! Extracts the body of an HTTP/1.1 response: of a declared length, in chunks, or up to the end of the connection. The size of
//! the body is limited.

use super::error::{HttpFault, PollError};

/// The status code with which discovery rejects a request for lack of capacity.
const SERVICE_UNAVAILABLE: u16 = 503;
/// The status code of a response that contains a list.
const OK: u16 = 200;
/// The longest body that is accepted if there is memory for it, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 4 << 20;
/// The longest head (status line and headers) that is accepted, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;
/// The limit on the headers of a response.
const MAX_HEADERS: usize = 64;

/// Returns the body, which may have `max_bytes`. `None`: the response is incomplete. `connection_closed` is set once the connection
/// is closed, which completes a body of undeclared length.
pub(super) fn response_body(
    input: &[u8],
    connection_closed: bool,
    max_bytes: usize,
) -> Result<Option<Vec<u8>>, PollError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(input).map_err(|_| PollError::InvalidHttp(HttpFault::Head))?;
    let httparse::Status::Complete(head) = parsed else {
        return if input.len() > MAX_HEAD_BYTES { Err(PollError::TooLong) } else { Ok(None) };
    };
    let code = response.code.unwrap_or(0);
    match code {
        OK => {}
        SERVICE_UNAVAILABLE => return Err(PollError::Overloaded),
        _ => return Err(PollError::Status(code)),
    }
    let header = |name: &str| {
        let found = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
    };
    let rest = &input[head..];
    if header("transfer-encoding").is_some_and(|encoding| encoding.eq_ignore_ascii_case("chunked")) {
        return chunked_body(rest, max_bytes);
    }
    let length = match header("content-length") {
        Some(length) => length.parse().map_err(|_| PollError::InvalidHttp(HttpFault::ContentLength))?,
        None if connection_closed => rest.len(),
        None if rest.len() > max_bytes => return Err(PollError::TooLong),
        None => return Ok(None),
    };
    if length > max_bytes {
        return Err(PollError::TooLong);
    }
    Ok(rest.get(..length).map(<[u8]>::to_vec))
}

/// Decodes a chunked body. `None`: the body is incomplete.
fn chunked_body(mut rest: &[u8], max_bytes: usize) -> Result<Option<Vec<u8>>, PollError> {
    /// The line end after each chunk's data.
    const LINE_END: &[u8] = b"\r\n";
    let mut body = Vec::new();
    loop {
        let parsed =
            httparse::parse_chunk_size(rest).map_err(|_| PollError::InvalidHttp(HttpFault::ChunkSize))?;
        let httparse::Status::Complete((head, size)) = parsed else { return Ok(None) };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size.saturating_add(body.len()) > max_bytes {
            return Err(PollError::TooLong);
        }
        let Some(chunk) = rest.get(head..head + size + LINE_END.len()) else { return Ok(None) };
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(&chunk[..size]);
        rest = &rest[head + size + LINE_END.len()..];
    }
}
