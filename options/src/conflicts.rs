//! Errors that concern more than one element: addresses that are used twice, and more connections of health checks than
//! the process has file descriptors for.

use crate::{CheckListener, HealthOptions, Options, OptionsError, OptionsErrorKind};
use std::net::SocketAddr;

/// An address on which other proxies are received, and the element that sets it.
struct LinkAddress {
    element: &'static str,
    line: usize,
    address: SocketAddr,
}

impl LinkAddress {
    /// Returns an error at the element that sets the address.
    fn error(&self, kind: OptionsErrorKind) -> OptionsError {
        OptionsError::new(self.line, self.element, kind)
    }

    /// Returns the error that another element of the options uses the same address.
    fn shared_with(&self, element: &'static str) -> OptionsError {
        self.error(OptionsErrorKind::SharedAddress { address: self.address, element })
    }
}

impl Options {
    /// The number of file descriptors to reserve for health checks: the listeners and the most connections that they
    /// accept.
    pub fn descriptors(&self) -> usize {
        self.check_listeners().map(|(_, listener)| listener.max_connections + 1).sum()
    }

    /// Returns the listeners for health checks, each with the name of its element.
    fn check_listeners(&self) -> impl Iterator<Item = (&'static str, &CheckListener)> {
        self.health.iter().flat_map(HealthOptions::check_listeners)
    }

    /// Returns the addresses to which other proxies connect or send datagrams.
    fn link_addresses(&self) -> Vec<LinkAddress> {
        let peer_state = self.peer_state.as_ref().and_then(|peer_state| {
            let address = peer_state.listen?;
            Some(LinkAddress { element: "knowledge", line: peer_state.line, address })
        });
        let fleet = self.fleet.as_ref();
        let fleet =
            fleet.map(|fleet| LinkAddress { element: "fleet", line: fleet.line, address: fleet.listen });
        peer_state.into_iter().chain(fleet).collect()
    }

    /// Returns an error for each link address that another element of the options already uses.
    pub(crate) fn internal_address_conflicts(&self) -> Vec<OptionsError> {
        let links = self.link_addresses();
        let mut errors = Vec::new();
        for link in &links {
            let overlaps = |listener: &CheckListener| addresses_overlap(listener.address, link.address);
            if let Some((other, _)) = self.check_listeners().find(|(_, listener)| overlaps(listener)) {
                errors.push(link.shared_with(other));
            }
        }
        // The members of a fleet also connect to each other, at the same port as that of their datagrams.
        if let [first, second] = &links[..]
            && addresses_overlap(first.address, second.address)
        {
            errors.push(second.shared_with(first.element));
        }
        errors
    }

    /// Returns an error if health checks need more than half of this number of file descriptors. The error is at the
    /// listener with the most connections.
    pub fn excess_descriptors(&self, max_descriptors: usize) -> Option<OptionsError> {
        let needed = self.descriptors();
        if needed <= max_descriptors / 2 {
            return None;
        }
        let (element, listener) =
            self.check_listeners().max_by_key(|(_, listener)| listener.max_connections)?;
        let kind = OptionsErrorKind::TooManyDescriptors { needed, max_descriptors };
        Some(OptionsError::new(listener.line, element, kind))
    }

    /// Returns an error for each address of the options that the platform's configuration uses too. `configured` has
    /// the keys of that configuration that contain addresses, with the addresses.
    pub fn address_conflicts(&self, configured: &[(&str, SocketAddr)]) -> Vec<OptionsError> {
        let conflict = |address: SocketAddr| {
            let found = configured.iter().find(|(_, configured)| addresses_overlap(*configured, address));
            found.map(|(key, _)| OptionsErrorKind::AddressInUse { address, key: (*key).into() })
        };
        let checks = self.check_listeners().filter_map(|(element, listener)| {
            Some(OptionsError::new(listener.line, element, conflict(listener.address)?))
        });
        let links = self.link_addresses();
        let links = links.iter().filter_map(|link| Some(link.error(conflict(link.address)?)));
        checks.chain(links).collect()
    }
}

/// Returns whether one of two sockets could not listen on its address because the other one does. Port 0 stands for any
/// free port and overlaps with no address.
pub(crate) fn addresses_overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let any_interface = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (a.ip() == b.ip() || any_interface)
}
