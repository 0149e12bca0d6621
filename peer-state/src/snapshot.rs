//! Peer state as it is stored in a file: a magic number with the version, a checksum, the time of writing,
//! and what would be sent to another proxy. Facts that are read are older by the time since the file was
//! written. Reading and writing the file itself is the caller's.

use crate::transfer::MAX_AGE;
use crate::{Micros, PeerState, TransferPart, TransferredServer};
use serde::{Deserialize, Serialize};

/// The first bytes of each snapshot, with its version.
const MAGIC: [u8; 8] = *b"bknow-1\n";
/// A longer file is not read.
pub const MAX_FILE_BYTES: usize = 8 << 20;

/// The content behind the checksum. The order of the fields is the stored format (postcard).
#[derive(Serialize, Deserialize)]
struct Body {
    /// Unix time in milliseconds. Writer and reader are on one machine and so share a clock.
    written_ms: u64,
    observer: u64,
    servers: Vec<TransferredServer>,
}

/// Why a snapshot is rejected; the proxy then starts without state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// Not a snapshot, or one of another version.
    UnknownFormat,
    /// More than [`MAX_FILE_BYTES`].
    TooLong,
    /// Truncated or changed.
    Corrupt,
    /// Written later than now: one of the clocks is wrong, and no age can be computed.
    WrittenInFuture,
    /// All facts in it have expired.
    TooOld,
}

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str(match self {
            SnapshotError::UnknownFormat => "the file is no snapshot of this version",
            SnapshotError::TooLong => "the snapshot is too long",
            SnapshotError::Corrupt => "the snapshot is truncated or its checksum is wrong",
            SnapshotError::WrittenInFuture => "the snapshot was written later than now",
            SnapshotError::TooOld => "the snapshot is too old",
        })
    }
}

impl std::error::Error for SnapshotError {}

/// The complete content of the file.
pub fn write(state: &PeerState, now: Micros, unix_ms: u64) -> Vec<u8> {
    let body =
        Body { written_ms: unix_ms, observer: state.observer, servers: state.export_facts(now).collect() };
    let body = postcard::to_stdvec(&body).unwrap_or_default();
    let mut file = MAGIC.to_vec();
    file.extend((body.len() as u32).to_be_bytes());
    file.extend(crc32fast::hash(&body).to_be_bytes());
    file.extend(body);
    file
}

/// Reads a file; each fact is older by the time since it was written.
///
/// # Errors
///
/// The reason why the file is rejected.
pub fn read(file: &[u8], unix_ms: u64) -> Result<TransferPart, SnapshotError> {
    if file.len() > MAX_FILE_BYTES {
        return Err(SnapshotError::TooLong);
    }
    let rest = file.strip_prefix(&MAGIC[..]).ok_or(SnapshotError::UnknownFormat)?;
    let (length, rest) = rest.split_first_chunk::<4>().ok_or(SnapshotError::Corrupt)?;
    let (checksum, body) = rest.split_first_chunk::<4>().ok_or(SnapshotError::Corrupt)?;
    let complete = body.len() == u32::from_be_bytes(*length) as usize;
    if !complete || crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
        return Err(SnapshotError::Corrupt);
    }
    let body: Body = postcard::from_bytes(body).map_err(|_| SnapshotError::Corrupt)?;
    let age_ms = unix_ms.checked_sub(body.written_ms).ok_or(SnapshotError::WrittenInFuture)?;
    if age_ms > (MAX_AGE / 1000) as u64 {
        return Err(SnapshotError::TooOld);
    }
    let mut servers = body.servers;
    servers.iter_mut().for_each(|server| server.add_age(age_ms as u32));
    Ok(TransferPart { servers })
}
