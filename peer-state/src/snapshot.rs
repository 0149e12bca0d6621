//! PeerState as it rests in a file: a version, a checksum, the time at which it was written, and what would be told. Read
//! back it is hearsay, older by the time that it lay. The file itself is the driver's.

use crate::Micros;
use crate::facts::PeerState;
use crate::transfer::{MAX_AGE, TransferPart, TransferredServer};
use serde::{Deserialize, Serialize};

const MAGIC: [u8; 8] = *b"bknow-1\n";
/// A file longer than this is no snapshot.
pub const MAX_FILE_BYTES: usize = 8 << 20;

#[derive(Serialize, Deserialize)]
struct Body {
    /// Unix time in milliseconds: of one machine, so that both ends read one clock.
    written_ms: u64,
    observer: u64,
    servers: Vec<TransferredServer>,
}

/// Why a snapshot is not taken; the start is a cold one then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// Another file, or one of another version.
    UnknownFormat,
    TooLong,
    /// Torn, truncated, or changed.
    Corrupt,
    /// Written later than now: one of the clocks is wrong, and no age can be told.
    WrittenInFuture,
    TooOld,
}

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            SnapshotError::UnknownFormat => "foreign",
            SnapshotError::TooLong => "too-long",
            SnapshotError::Corrupt => "torn",
            SnapshotError::WrittenInFuture => "future",
            SnapshotError::TooOld => "too-old",
        })
    }
}

/// The file's whole text.
pub fn write(knowledge: &PeerState, now: Micros, unix_ms: u64) -> Vec<u8> {
    let body = Body {
        written_ms: unix_ms,
        observer: knowledge.observer,
        servers: knowledge.export_facts(now).collect(),
    };
    let body = postcard::to_stdvec(&body).unwrap_or_default();
    let mut file = MAGIC.to_vec();
    file.extend((body.len() as u32).to_be_bytes());
    file.extend(crc32fast::hash(&body).to_be_bytes());
    file.extend(body);
    file
}

/// What it tells, each fact older by the time that the file lay.
pub fn read(file: &[u8], unix_ms: u64) -> Result<TransferPart, SnapshotError> {
    if file.len() > MAX_FILE_BYTES {
        return Err(SnapshotError::TooLong);
    }
    let rest = file.strip_prefix(&MAGIC[..]).ok_or(SnapshotError::UnknownFormat)?;
    let (length, rest) = rest.split_first_chunk::<4>().ok_or(SnapshotError::Corrupt)?;
    let (sum, body) = rest.split_first_chunk::<4>().ok_or(SnapshotError::Corrupt)?;
    let whole = body.len() == u32::from_be_bytes(*length) as usize;
    if !whole || crc32fast::hash(body) != u32::from_be_bytes(*sum) {
        return Err(SnapshotError::Corrupt);
    }
    let body: Body = postcard::from_bytes(body).map_err(|_| SnapshotError::Corrupt)?;
    let lay = unix_ms.checked_sub(body.written_ms).ok_or(SnapshotError::WrittenInFuture)?;
    if lay > (MAX_AGE / 1000) as u64 {
        return Err(SnapshotError::TooOld);
    }
    let mut servers = body.servers;
    servers.iter_mut().for_each(|server| server.older(lay as u32));
    Ok(TransferPart { servers })
}

impl TransferredServer {
    /// All of it was seen so much earlier.
    fn older(&mut self, ms: u32) {
        fn more<T>(fact: &mut Option<crate::TransferredFact<T>>, ms: u32) {
            if let Some(fact) = fact {
                fact.age_ms = fact.age_ms.saturating_add(ms);
            }
        }
        more(&mut self.position, ms);
        more(&mut self.lag, ms);
        more(&mut self.primary, ms);
        more(&mut self.replica, ms);
        more(&mut self.suspect, ms);
        more(&mut self.latency, ms);
        more(&mut self.slow_start_permille, ms);
    }
}
