//! Links to other proxies: what is learnt from them (`knowledge`), and who of them is there (`fleet`).

use crate::reader::Reader;
use birchreach_peer_state::{provider, request_scheduler};
use std::net::SocketAddr;
use std::path::PathBuf;
use uppsala::NodeId;

/// What is learnt from other proxies, and told them.
#[derive(Clone, Debug, PartialEq)]
pub struct Knowledge {
    /// Where others ask, if anywhere.
    pub listen: Option<SocketAddr>,
    pub line: usize,
    /// A file of keys that all have.
    pub key_file: PathBuf,
    pub join: request_scheduler::RequestSettings,
    pub donor: provider::ProviderSettings,
}

/// The view of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Where others reach this process, by datagrams.
    pub listen: SocketAddr,
    /// As others must write it, where that is another.
    pub advertise: SocketAddr,
    pub line: usize,
    /// A file of keys that all have.
    pub key_file: PathBuf,
    /// Others that are tried at the start, and after a cut.
    pub peers: Vec<SocketAddr>,
    /// How many processes there are in all.
    pub named: u32,
}

impl Reader<'_> {
    pub(crate) fn knowledge(&mut self, node: NodeId) -> Option<Knowledge> {
        let mut join = request_scheduler::RequestSettings::default();
        let mut donor = provider::ProviderSettings::default();
        join.providers = self.addresses(node, "donors").iter().map(ToString::to_string).collect();
        self.read_milliseconds(node, "patience-ms", &mut join.startup_timeout);
        self.read_milliseconds(node, "refresh-ms", &mut join.refresh_interval);
        self.read_number(node, "at-once", &mut donor.at_once);
        self.read_number(node, "bytes-per-s", &mut donor.bytes_per_s);
        let listen = self.value(node, "listen");
        let key_file = PathBuf::from(self.doc.get_attribute(node, "key-file")?);
        if listen.is_none() && join.providers.is_empty() {
            self.add_error(node, "neither listen nor donors: nobody is asked, nobody can ask");
        }
        Some(Knowledge { listen, line: self.doc.node_line(node), key_file, join, donor })
    }

    pub(crate) fn fleet(&mut self, node: NodeId) -> Option<Fleet> {
        let listen: SocketAddr = self.value(node, "listen")?;
        let advertise: SocketAddr = match self.doc.get_attribute(node, "advertise") {
            Some(_) => self.value(node, "advertise")?,
            None => listen,
        };
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            self.add_error(
                node,
                format!("listen: others cannot reach {advertise}: name the address in advertise"),
            );
        }
        let peers = self.addresses(node, "peers");
        let mut named =
            u32::try_from(peers.iter().filter(|at| **at != advertise).count()).unwrap_or(u32::MAX) + 1;
        self.read_number(node, "named", &mut named);
        let key_file = PathBuf::from(self.doc.get_attribute(node, "key-file")?);
        Some(Fleet { listen, advertise, line: self.doc.node_line(node), key_file, peers, named })
    }

    /// Addresses with ports, apart by spaces.
    fn addresses(&mut self, node: NodeId, name: &str) -> Vec<SocketAddr> {
        let told = self.doc.get_attribute(node, name).unwrap_or_default().to_string();
        let mut all = Vec::new();
        for word in told.split_ascii_whitespace() {
            match word.parse::<SocketAddr>() {
                Ok(at) => all.push(at),
                Err(_) => self.add_error(node, format!("{name}: '{word}' is no address and port")),
            }
        }
        all
    }
}
