//! Knowledge as it rests in a file: a version, a checksum, the time at which it was written, and what would be told. Read
//! back it is hearsay, older by the time that it lay. The file itself is the driver's.

use crate::Micros;
use crate::facts::Knowledge;
use crate::told::{MOST_AGE, Told, ToldServer};
use serde::{Deserialize, Serialize};

const MAGIC: [u8; 8] = *b"bknow-1\n";
/// A file longer than this is no snapshot.
pub const MOST: usize = 8 << 20;

#[derive(Serialize, Deserialize)]
struct Body {
    /// Unix time in milliseconds: of one machine, so that both ends read one clock.
    written_ms: u64,
    observer: u64,
    servers: Vec<ToldServer>,
}

/// Why a snapshot is not taken; the start is a cold one then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// Another file, or one of another version.
    Foreign,
    TooLong,
    /// Torn, truncated, or changed.
    Torn,
    /// Written later than now: one of the clocks is wrong, and no age can be told.
    Future,
    TooOld,
}

impl std::fmt::Display for Unfit {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Unfit::Foreign => "foreign",
            Unfit::TooLong => "too-long",
            Unfit::Torn => "torn",
            Unfit::Future => "future",
            Unfit::TooOld => "too-old",
        })
    }
}

/// The file's whole text.
pub fn write(knowledge: &Knowledge, now: Micros, unix_ms: u64) -> Vec<u8> {
    let body =
        Body { written_ms: unix_ms, observer: knowledge.observer, servers: knowledge.tell(now).collect() };
    let body = postcard::to_stdvec(&body).unwrap_or_default();
    let mut file = MAGIC.to_vec();
    file.extend((body.len() as u32).to_be_bytes());
    file.extend(crc32fast::hash(&body).to_be_bytes());
    file.extend(body);
    file
}

/// What it tells, each fact older by the time that the file lay.
pub fn read(file: &[u8], unix_ms: u64) -> Result<Told, Unfit> {
    if file.len() > MOST {
        return Err(Unfit::TooLong);
    }
    let rest = file.strip_prefix(&MAGIC[..]).ok_or(Unfit::Foreign)?;
    let (length, rest) = rest.split_first_chunk::<4>().ok_or(Unfit::Torn)?;
    let (sum, body) = rest.split_first_chunk::<4>().ok_or(Unfit::Torn)?;
    let whole = body.len() == u32::from_be_bytes(*length) as usize;
    if !whole || crc32fast::hash(body) != u32::from_be_bytes(*sum) {
        return Err(Unfit::Torn);
    }
    let body: Body = postcard::from_bytes(body).map_err(|_| Unfit::Torn)?;
    let lay = unix_ms.checked_sub(body.written_ms).ok_or(Unfit::Future)?;
    if lay > (MOST_AGE / 1000) as u64 {
        return Err(Unfit::TooOld);
    }
    let mut servers = body.servers;
    servers.iter_mut().for_each(|server| server.older(lay as u32));
    Ok(Told { servers })
}

impl ToldServer {
    /// All of it was seen so much earlier.
    fn older(&mut self, ms: u32) {
        fn more<T>(fact: &mut Option<crate::ToldFact<T>>, ms: u32) {
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
        more(&mut self.cold, ms);
    }
}
