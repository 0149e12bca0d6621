//! Addresses that are used twice, and more descriptors than the process has for health checks.

use crate::{CheckListener, HealthOptions, Options, OptionsError, OptionsErrorKind};
use std::net::SocketAddr;

/// An address for links to other proxies, and the element that has it.
struct LinkAddress {
    element: &'static str,
    line: usize,
    address: SocketAddr,
}

impl LinkAddress {
    /// An error of the element that has the address.
    fn error(&self, kind: OptionsErrorKind) -> OptionsError {
        OptionsError::new(self.line, self.element, kind)
    }

    /// The error that another element of the options uses the address too.
    fn shared_with(&self, element: &'static str) -> OptionsError {
        self.error(OptionsErrorKind::SharedAddress { address: self.address, element })
    }
}

impl Options {
    /// Descriptors to be reserved for what is switched on here: connections of balancers, and their listeners.
    pub fn descriptors(&self) -> usize {
        self.check_listeners().map(|(_, listener)| listener.max_connections + 1).sum()
    }

    /// The listeners for health checks, each with the name of its element.
    fn check_listeners(&self) -> impl Iterator<Item = (&'static str, &CheckListener)> {
        self.health.iter().flat_map(HealthOptions::check_listeners)
    }

    /// The addresses where other proxies connect or send datagrams.
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

    /// An error for each address that an earlier element of the options uses.
    pub(crate) fn internal_address_conflicts(&self) -> Vec<OptionsError> {
        let links = self.link_addresses();
        let mut errors = Vec::new();
        for link in &links {
            let overlaps = |listener: &CheckListener| addresses_overlap(listener.address, link.address);
            if let Some((other, _)) = self.check_listeners().find(|(_, listener)| overlaps(listener)) {
                errors.push(link.shared_with(other));
            }
        }
        // Members of the fleet have links to each other at the port of their datagrams.
        if let [first, second] = &links[..]
            && addresses_overlap(first.address, second.address)
        {
            errors.push(second.shared_with(first.element));
        }
        errors
    }

    /// An error if checks would need more than half of this number of descriptors.
    pub fn excess_descriptors(&self, max_descriptors: usize) -> Option<OptionsError> {
        let wanted = self.descriptors();
        if wanted <= max_descriptors / 2 {
            return None;
        }
        let (element, listener) =
            self.check_listeners().max_by_key(|(_, listener)| listener.max_connections)?;
        let kind = OptionsErrorKind::TooManyDescriptors { wanted, max_descriptors };
        Some(OptionsError::new(listener.line, element, kind))
    }

    /// An error for each address in the options that something else in the process uses. `others` has names and
    /// addresses.
    pub fn address_conflicts(&self, others: &[(&str, SocketAddr)]) -> Vec<OptionsError> {
        let user_of = |address: SocketAddr| {
            let user = others.iter().find(|(_, other)| addresses_overlap(*other, address));
            user.map(|(name, _)| OptionsErrorKind::AddressInUse { address, user: (*name).into() })
        };
        let checks = self.check_listeners().filter_map(|(element, listener)| {
            Some(OptionsError::new(listener.line, element, user_of(listener.address)?))
        });
        let links = self.link_addresses();
        let links = links.iter().filter_map(|link| Some(link.error(user_of(link.address)?)));
        checks.chain(links).collect()
    }
}

/// Whether two sockets could not listen on both addresses.
pub(crate) fn addresses_overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let any_interface = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (a.ip() == b.ip() || any_interface)
}
