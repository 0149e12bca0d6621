//! The stored form of peer state: a magic number with the version, the length and checksum of the body, the
//! time of writing, and the facts as they are sent to other proxies. Reading adds the time since writing to
//! the age of each fact. The caller reads and writes the file itself.

use crate::transfer::MAX_AGE;
use crate::{Micros, PeerState, TransferPart, TransferredServer};
use serde::{Deserialize, Serialize};

/// The magic number at the start of each snapshot, which includes the format version.
const MAGIC: [u8; 8] = *b"bknow-1\n";
/// The maximum size of a file that is read.
pub const MAX_FILE_BYTES: usize = 8 << 20;

/// The content after the checksum, in postcard. The order of the fields is part of the stored format.
#[derive(Serialize, Deserialize)]
struct Body {
    /// The Unix time of writing in milliseconds. The writer and the reader run on one machine and share its
    /// clock.
    written_ms: u64,
    observer: u64,
    servers: Vec<TransferredServer>,
}

/// Why a snapshot is rejected. The proxy then starts without state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The file is not a snapshot, or has another format version.
    UnknownFormat,
    /// The file exceeds [`MAX_FILE_BYTES`].
    TooLong,
    /// The file was truncated or changed.
    Corrupt,
    /// The time of writing is in the future. One of the clocks is wrong, and no age can be computed.
    WrittenInFuture,
    /// The snapshot is so old that all its facts have expired.
    TooOld,
}

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str(match self {
            SnapshotError::UnknownFormat => "not a snapshot, or an unsupported snapshot version",
            SnapshotError::TooLong => "snapshot larger than 8 MiB",
            SnapshotError::Corrupt => "snapshot truncated, or its checksum does not match",
            SnapshotError::WrittenInFuture => "the snapshot's time of writing is in the future",
            SnapshotError::TooOld => "snapshot older than 10 minutes",
        })
    }
}

impl std::error::Error for SnapshotError {}

/// Encodes the state as the content of a snapshot file. `unix_ms` is the current Unix time.
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

/// Decodes the content of a snapshot file. Adds the time since writing to the age of each fact.
///
/// # Errors
///
/// Returns why the file was rejected.
pub fn read(file: &[u8], unix_ms: u64) -> Result<TransferPart, SnapshotError> {
    if file.len() > MAX_FILE_BYTES {
        return Err(SnapshotError::TooLong);
    }
    let rest = file.strip_prefix(&MAGIC[..]).ok_or(SnapshotError::UnknownFormat)?;
    let (length, rest) = rest.split_first_chunk::<4>().ok_or(SnapshotError::Corrupt)?;
    let (checksum, body) = rest.split_first_chunk::<4>().ok_or(SnapshotError::Corrupt)?;
    let is_complete = body.len() == u32::from_be_bytes(*length) as usize;
    if !is_complete || crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
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
