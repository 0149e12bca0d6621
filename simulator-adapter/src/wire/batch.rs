//! Reads batches, which have a header, records and a tail.

use super::error::FrameError;
use super::events::EVENT_BYTES;
use super::fields::Fields;
use std::io::{ErrorKind, Read};

/// Length of a header: length of the body, number of records, clock and batch number.
const HEADER_BYTES: usize = 20;

/// A batch of records that all occurred at the same instant.
pub(crate) struct Batch {
    /// The instant at which the records occurred, in milliseconds.
    pub clock_ms: f64,
    /// The number of the batch, which the reply repeats.
    pub number: u32,
    pub record_count: usize,
    /// The bytes of the records and of the tail.
    body: Vec<u8>,
}

/// Reads the next batch. Returns `None` at the end of the input.
///
/// # Errors
/// Returns an error if reading fails, if the input ends within a batch, if a header has more records than the body can
/// hold, or if its clock is not a finite number.
pub(crate) fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, FrameError> {
    let Some(header) = read_header(input)? else { return Ok(None) };
    let header = Fields(&header);
    let (length, record_count) = (header.u32(0) as usize, header.u32(4) as usize);
    let (clock_ms, number) = (header.f64(8), header.u32(16));
    let mut body = Vec::new();
    match input.take(length as u64).read_to_end(&mut body) {
        Ok(got) if got == length => {}
        Ok(got) => return Err(FrameError::TruncatedBody { batch: number, got, expected: length }),
        Err(error) => return Err(FrameError::ReadBody { batch: number, error }),
    }
    if record_count.checked_mul(EVENT_BYTES).is_none_or(|needed| needed > length) {
        return Err(FrameError::TooManyRecords { batch: number, record_count, length });
    }
    if !clock_ms.is_finite() {
        return Err(FrameError::InvalidClock { batch: number });
    }
    Ok(Some(Batch { clock_ms, number, record_count, body }))
}

/// Reads a header. Returns `None` if the input ends before the first byte.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_BYTES]>, FrameError> {
    let mut header = [0; HEADER_BYTES];
    let mut got = 0;
    while got < HEADER_BYTES {
        match input.read(&mut header[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(FrameError::TruncatedHeader { got, expected: HEADER_BYTES }),
            Ok(read) => got += read,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(FrameError::ReadHeader(error)),
        }
    }
    Ok(Some(header))
}

impl Batch {
    /// Returns the fields of the record at this index.
    pub(crate) fn record(&self, index: usize) -> Fields<'_> {
        Fields(&self.body[index * EVENT_BYTES..(index + 1) * EVENT_BYTES])
    }

    /// Returns `length` bytes of the tail, starting at `offset`.
    ///
    /// # Errors
    /// Returns an error if these bytes are not all within the tail.
    pub(crate) fn tail_bytes(&self, offset: u32, length: usize) -> Result<&[u8], FrameError> {
        let tail = &self.body[self.record_count * EVENT_BYTES..];
        let offset = offset as usize;
        let end = offset.checked_add(length);
        let bytes = end.and_then(|end| tail.get(offset..end));
        bytes.ok_or(FrameError::OutsideTail { offset, length, tail_length: tail.len() })
    }
}
