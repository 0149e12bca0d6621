//! Who a member is: name, address, boot and epoch.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Steps of the epoch stop doubling here.
const MAX_EPOCH_DOUBLINGS: u32 = 40;

/// A member. Of two at one address the one of the later epoch counts; the boot tells processes apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The proxy's name in its configuration.
    #[serde(with = "short")]
    pub name: String,
    /// Where it hears.
    pub address: SocketAddr,
    /// A random number of the process; 0 of one that is tried and not known.
    pub incarnation: u64,
    /// It begins as Unix time in milliseconds, and grows each time others held the process for gone.
    pub epoch: u64,
    /// How often that was.
    pub renewals: u32,
}

impl Peer {
    /// Whoever hears at this address.
    pub fn unknown_at(at: SocketAddr) -> Peer {
        Peer { name: String::new(), address: at, incarnation: 0, epoch: 0, renewals: 0 }
    }
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    /// Others hold it for gone, or know a later epoch of its address, by how much is not said: each step is twice the one before.
    fn renew(&self) -> Option<Peer> {
        let doubled = if crate::faulty!(StepsOfOne) { 0 } else { self.renewals.min(MAX_EPOCH_DOUBLINGS) };
        let epoch = self.epoch.saturating_add(1 << doubled);
        Some(Peer { epoch, renewals: self.renewals.saturating_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Peer) -> bool {
        (self.epoch, self.incarnation) > (other.epoch, other.incarnation)
    }
}

/// Names that are too long are no names.
mod short {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(name: &str, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(name)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<String, D::Error> {
        let name = <&str>::deserialize(from)?;
        let printable = name.chars().all(|c| !c.is_control());
        if name.len() > super::MAX_NAME_BYTES || !printable {
            return Err(D::Error::custom("no name"));
        }
        Ok(name.to_string())
    }
}
