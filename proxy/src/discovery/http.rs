//! An answer of discovery's as HTTP/1.1 has it: with a length, in chunks, or up to the end; bounded.

use super::error::CallError;

/// The status of a call for which there was no room.
const NO_ROOM: u16 = 503;
/// A list longer than this is no list.
pub(super) const MAX_BODY: usize = 4 << 20;
pub(super) const MAX_HEAD: usize = 16 << 10;
const MAX_HEADERS: usize = 64;

/// The body of an answer, once it is whole.
pub(super) fn body(input: &[u8], ended: bool) -> Result<Option<Vec<u8>>, CallError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(input).map_err(|_| CallError::Http("no head of an answer"))?;
    let httparse::Status::Complete(head) = parsed else {
        return if input.len() > MAX_HEAD { Err(CallError::TooLong) } else { Ok(None) };
    };
    let code = response.code.unwrap_or(0);
    match code {
        200 => {}
        NO_ROOM => return Err(CallError::NoRoom),
        _ => return Err(CallError::Status(code)),
    }
    let header = |name: &str| {
        let found = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    let rest = &input[head..];
    if header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return chunks(rest);
    }
    let length = match header("content-length") {
        Some(v) => v.parse().map_err(|_| CallError::Http("a length that is no number"))?,
        None if ended => rest.len(),
        None if rest.len() > MAX_BODY => MAX_BODY + 1,
        None => return Ok(None),
    };
    if length > MAX_BODY {
        return Err(CallError::TooLong);
    }
    Ok(rest.get(..length).map(<[u8]>::to_vec))
}

fn chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, CallError> {
    let mut body = Vec::new();
    loop {
        let parsed =
            httparse::parse_chunk_size(rest).map_err(|_| CallError::Http("a chunk without a size"))?;
        let httparse::Status::Complete((head, size)) = parsed else { return Ok(None) };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size.saturating_add(body.len()) > MAX_BODY {
            return Err(CallError::TooLong);
        }
        let Some(chunk) = rest.get(head..head + size + 2) else { return Ok(None) };
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(&chunk[..size]);
        rest = &rest[head + size + 2..];
    }
}
