//! Links to other proxies: state transfer (`knowledge`) and membership of the fleet (`fleet`).

use crate::OptionsErrorKind;
use crate::reader::Reader;
use birchreach_peer_state::provider::ProviderSettings;
use birchreach_peer_state::request_scheduler::RequestSettings;
use std::net::SocketAddr;
use std::path::PathBuf;
use uppsala::NodeId;

/// State transfer from and to other proxies: the element `knowledge`.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStateOptions {
    /// Where other proxies request state, if anywhere.
    pub listen: Option<SocketAddr>,
    /// The element's line in the file.
    pub line: usize,
    /// The file of the keys that the proxies share.
    pub key_file: PathBuf,
    /// Requests of this proxy.
    pub requests: RequestSettings,
    /// Answers of this proxy.
    pub provider: ProviderSettings,
}

/// Membership of the fleet: the element `fleet`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOptions {
    /// Where this process receives datagrams of others.
    pub listen: SocketAddr,
    /// The address that others use, where it is another.
    pub advertise: SocketAddr,
    /// The element's line in the file.
    pub line: usize,
    /// The file of the keys that the proxies share.
    pub key_file: PathBuf,
    /// Addresses of others, tried at the start and after a partition.
    pub peers: Vec<SocketAddr>,
    /// Processes of the fleet, this one included.
    pub configured_members: u32,
}

impl Reader<'_> {
    /// Element `knowledge`.
    pub(crate) fn peer_state(&mut self, node: NodeId) -> Option<PeerStateOptions> {
        let mut requests = RequestSettings::default();
        let mut provider = ProviderSettings::default();
        requests.providers = self.addresses(node, "donors").iter().map(ToString::to_string).collect();
        self.read_milliseconds(node, "patience-ms", &mut requests.startup_timeout);
        self.read_milliseconds(node, "refresh-ms", &mut requests.refresh_interval);
        self.read_number(node, "at-once", &mut provider.max_concurrent_requests);
        self.read_number(node, "bytes-per-s", &mut provider.bytes_per_second);
        let listen = self.value(node, "listen");
        let key_file = PathBuf::from(self.doc.get_attribute(node, "key-file")?);
        if listen.is_none() && requests.providers.is_empty() {
            self.add_error(node, OptionsErrorKind::NoStateTransfer);
        }
        Some(PeerStateOptions { listen, line: self.doc.node_line(node), key_file, requests, provider })
    }

    /// Element `fleet`.
    pub(crate) fn fleet(&mut self, node: NodeId) -> Option<FleetOptions> {
        let listen: SocketAddr = self.value(node, "listen")?;
        let advertise: SocketAddr = match self.doc.get_attribute(node, "advertise") {
            Some(_) => self.value(node, "advertise")?,
            None => listen,
        };
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            self.add_error(node, OptionsErrorKind::UnreachableAddress(advertise));
        }
        let peers = self.addresses(node, "peers");
        let others = peers.iter().filter(|peer| **peer != advertise).count();
        let mut configured_members = u32::try_from(others).unwrap_or(u32::MAX) + 1;
        self.read_number(node, "named", &mut configured_members);
        let key_file = PathBuf::from(self.doc.get_attribute(node, "key-file")?);
        let line = self.doc.node_line(node);
        Some(FleetOptions { listen, advertise, line, key_file, peers, configured_members })
    }

    /// Addresses with ports, separated by spaces.
    fn addresses(&mut self, node: NodeId, attribute: &'static str) -> Vec<SocketAddr> {
        let value = self.doc.get_attribute(node, attribute).unwrap_or_default().to_string();
        let mut addresses = Vec::new();
        for text in value.split_ascii_whitespace() {
            match text.parse::<SocketAddr>() {
                Ok(address) => addresses.push(address),
                Err(_) => {
                    let text = text.to_string();
                    self.add_error(node, OptionsErrorKind::InvalidAddress { attribute, text });
                }
            }
        }
        addresses
    }
}
