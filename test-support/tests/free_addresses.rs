//! A rig returns each free address only once, so that two listeners of one test never get the same port.

use birchreach_test_support::rig::Rig;
use std::collections::HashSet;
use std::net::TcpListener;
use std::path::Path;

/// Number of addresses. It is so large that the system would return a port twice if each were bound to port 0.
const ADDRESS_COUNT: usize = 1_000;

#[test]
fn free_addresses_are_returned_only_once() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("free-addresses");
    // Given a rig, and a listener on the address that it would return next
    let rig = Rig::new(0, [127, 84, 1, 1], Path::new("unused"), &folder).unwrap();
    let next_port = rig.free_address().unwrap().port() + 1;
    let listener_in_use = TcpListener::bind((rig.loopback_address(), next_port)).unwrap();
    // When many addresses are requested
    let addresses: HashSet<_> = (0..ADDRESS_COUNT).map(|_| rig.free_address().unwrap()).collect();
    // Then no two are equal, and the address in use is not among them
    assert_eq!(addresses.len(), ADDRESS_COUNT);
    assert!(!addresses.contains(&listener_in_use.local_addr().unwrap()));
}
