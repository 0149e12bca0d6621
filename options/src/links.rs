//! Connections to other proxies: state transfer (element `knowledge`) and membership of the fleet (element `fleet`).

use crate::OptionsErrorKind;
use crate::reader::Reader;
use birchreach_peer_state::provider::ProviderSettings;
use birchreach_peer_state::request_scheduler::RequestSettings;
use std::net::SocketAddr;
use std::path::PathBuf;
use uppsala::NodeId;

/// Transfer of learned state from and to other proxies (element `knowledge`).
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStateOptions {
    /// The address on which this proxy accepts requests for state; `None` if it sends no state to others.
    pub listen: Option<SocketAddr>,
    /// Line of the element in the file.
    pub line: usize,
    /// Path of the file with the keys that the proxies share.
    pub key_file: PathBuf,
    /// Settings of the requests that this proxy sends.
    pub requests: RequestSettings,
    /// Limits of the answers that this proxy sends.
    pub provider: ProviderSettings,
}

/// Membership of the fleet of proxies (element `fleet`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOptions {
    /// The address on which this process receives datagrams from other members.
    pub listen: SocketAddr,
    /// The address to which other members send datagrams. It is that of `listen` unless the file sets another.
    pub advertise: SocketAddr,
    /// Line of the element in the file.
    pub line: usize,
    /// Path of the file with the keys that the proxies share.
    pub key_file: PathBuf,
    /// Addresses of other members, which are contacted at the start and after a network partition.
    pub peers: Vec<SocketAddr>,
    /// The number of processes in the fleet, including this one. Without the attribute `named`, the processes at the
    /// addresses of `peers` and this one are counted.
    pub configured_members: u32,
}

impl Reader<'_> {
    /// Reads the element `knowledge`.
    pub(crate) fn read_peer_state(&mut self, node: NodeId) -> Option<PeerStateOptions> {
        let mut requests = RequestSettings::default();
        let mut provider = ProviderSettings::default();
        requests.providers = self.addresses(node, "donors").iter().map(ToString::to_string).collect();
        self.read_milliseconds(node, "patience-ms", &mut requests.startup_timeout);
        self.read_milliseconds(node, "refresh-ms", &mut requests.refresh_interval);
        self.read_number(node, "at-once", &mut provider.max_concurrent_requests);
        self.read_number(node, "bytes-per-s", &mut provider.bytes_per_second);
        let listen = self.address(node, "listen");
        let key_file = PathBuf::from(self.document.get_attribute(node, "key-file")?);
        if listen.is_none() && requests.providers.is_empty() {
            self.add_error(node, OptionsErrorKind::NoStateTransfer);
        }
        Some(PeerStateOptions { listen, line: self.document.node_line(node), key_file, requests, provider })
    }

    /// Reads the element `fleet`.
    pub(crate) fn read_fleet(&mut self, node: NodeId) -> Option<FleetOptions> {
        let listen = self.address(node, "listen")?;
        let advertise = match self.document.get_attribute(node, "advertise") {
            Some(_) => self.address(node, "advertise")?,
            None => listen,
        };
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            self.add_error(node, OptionsErrorKind::UnreachableAddress(advertise));
        }
        let peers = self.addresses(node, "peers");
        let others = peers.iter().filter(|peer| **peer != advertise).count();
        let mut configured_members = u32::try_from(others).unwrap_or(u32::MAX) + 1;
        self.read_number(node, "named", &mut configured_members);
        let key_file = PathBuf::from(self.document.get_attribute(node, "key-file")?);
        let line = self.document.node_line(node);
        Some(FleetOptions { listen, advertise, line, key_file, peers, configured_members })
    }

    /// Reads a list of addresses that are separated by spaces, and adds an error for each invalid address.
    fn addresses(&mut self, node: NodeId, attribute: &'static str) -> Vec<SocketAddr> {
        let value = self.document.get_attribute(node, attribute).unwrap_or_default().to_string();
        let mut addresses = Vec::new();
        for text in value.split_ascii_whitespace() {
            addresses.extend(self.parse_address(node, attribute, text));
        }
        addresses
    }
}
