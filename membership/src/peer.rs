//! Identity of a member: name, address, incarnation and epoch.

use birchreach_fault_injection::fault_injected;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Number of renewals after which the epoch's increment no longer doubles.
const MAX_EPOCH_DOUBLINGS: u32 = 40;

/// Identity of a member.
///
/// If two identities have the same address, the later epoch wins, then the greater incarnation. The incarnation
/// distinguishes processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the proxy in its configuration; at most [`MAX_NAME_BYTES`], without control characters.
    #[serde(with = "checked_name")]
    pub name: String,
    /// Address at which the process receives datagrams.
    pub address: SocketAddr,
    /// Random number of the process, or 0 if only the address is known.
    pub incarnation: u64,
    /// Unix time at the start in milliseconds. Increased when others consider the process failed.
    pub epoch: u64,
    /// Number of renewals of the epoch.
    pub renewals: u32,
}

impl Peer {
    /// Returns a placeholder for the process at this address, whose name and incarnation are not known yet.
    pub fn unknown_at(address: SocketAddr) -> Peer {
        Peer { name: String::new(), address, incarnation: 0, epoch: 0, renewals: 0 }
    }
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    /// Returns this identity with a later epoch.
    ///
    /// foca calls this when others consider the process failed or know a later epoch of its address. The distance to
    /// that epoch is not known, so each renewal doubles the increment.
    fn renew(&self) -> Option<Peer> {
        let doublings =
            if fault_injected!(EpochIncrementConstant) { 0 } else { self.renewals.min(MAX_EPOCH_DOUBLINGS) };
        let epoch = self.epoch.saturating_add(1 << doublings);
        Some(Peer { epoch, renewals: self.renewals.saturating_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Peer) -> bool {
        (self.epoch, self.incarnation) > (other.epoch, other.incarnation)
    }
}

/// Rejects names that are too long or contain control characters.
mod checked_name {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(name: &str, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(name)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<String, D::Error> {
        let name = <&str>::deserialize(from)?;
        let is_printable = name.chars().all(|character| !character.is_control());
        if name.len() > super::MAX_NAME_BYTES || !is_printable {
            return Err(D::Error::custom("invalid name"));
        }
        Ok(name.to_string())
    }
}
