//! Reading of batches: the header, the records and the tail.

use super::error::FrameError;
use super::events::EVENT_BYTES;
use super::fields::Fields;
use std::io::{ErrorKind, Read};

/// Length of a header: the body's length, the number of records, the clock and the batch number.
const HEADER_BYTES: usize = 20;

/// A batch of records, all of one instant.
pub(crate) struct Batch {
    /// Time of the batch in milliseconds.
    pub clock_ms: f64,
    /// Number of the batch, which its reply repeats.
    pub number: u32,
    /// How many records it has.
    pub records: usize,
    /// The records and the tail.
    body: Vec<u8>,
}

/// Reads the next batch; `None` at the end of the input.
///
/// # Errors
/// Input that fails or ends within a batch, and a header that contradicts itself.
pub(crate) fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, FrameError> {
    let Some(header) = read_header(input)? else { return Ok(None) };
    let header = Fields(&header);
    let (length, records) = (header.u32(0) as usize, header.u32(4) as usize);
    let (clock_ms, number) = (header.f64(8), header.u32(16));
    let mut body = Vec::new();
    match input.take(length as u64).read_to_end(&mut body) {
        Ok(got) if got == length => {}
        Ok(got) => return Err(FrameError::TruncatedBody { batch: number, got, expected: length }),
        Err(error) => return Err(FrameError::ReadBody { batch: number, error }),
    }
    if records.checked_mul(EVENT_BYTES).is_none_or(|needed| needed > length) {
        return Err(FrameError::TooManyRecords { batch: number, records, length });
    }
    if !clock_ms.is_finite() {
        return Err(FrameError::InvalidClock { batch: number });
    }
    Ok(Some(Batch { clock_ms, number, records, body }))
}

/// Reads a header; `None` if the input ends before it.
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
    /// The fields of a record.
    pub(crate) fn record(&self, index: usize) -> Fields<'_> {
        Fields(&self.body[index * EVENT_BYTES..(index + 1) * EVENT_BYTES])
    }

    /// Bytes of the tail.
    ///
    /// # Errors
    /// They lie outside the tail.
    pub(crate) fn tail(&self, offset: u32, length: usize) -> Result<&[u8], FrameError> {
        let tail = &self.body[self.records * EVENT_BYTES..];
        let start = offset as usize;
        let end = start.checked_add(length);
        let bytes = end.and_then(|end| tail.get(start..end));
        bytes.ok_or(FrameError::OutsideTail { start, length, tail: tail.len() })
    }
}
