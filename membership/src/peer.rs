//! The identity of a member: name, address, incarnation and epoch.

use birchreach_fault_injection::fault_injected;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// After so many renewals the step of the epoch no longer doubles.
const MAX_EPOCH_DOUBLINGS: u32 = 40;

/// The identity of a member. Of two at one address the one of the later epoch counts; the incarnation distinguishes processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The proxy's name in its configuration.
    #[serde(with = "checked_name")]
    pub name: String,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// A random number of the process; 0 where only the address is known.
    pub incarnation: u64,
    /// Starts as Unix time in milliseconds, and grows each time others considered the process failed.
    pub epoch: u64,
    /// How often the epoch was renewed.
    pub renewals: u32,
}

impl Peer {
    /// The unknown process that receives at this address.
    pub fn unknown_at(address: SocketAddr) -> Peer {
        Peer { name: String::new(), address, incarnation: 0, epoch: 0, renewals: 0 }
    }
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    /// Others consider this process failed, or know a later epoch of its address; by how much is not known, so that each step
    /// is twice the one before.
    fn renew(&self) -> Option<Peer> {
        let doublings =
            if fault_injected!(EpochStepsOfOne) { 0 } else { self.renewals.min(MAX_EPOCH_DOUBLINGS) };
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

/// Rejects names that are too long or hold control characters.
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
