//! A rig hands out each free address once: two listeners of one test never get the same port.

use birchreach_test_support::rig::Rig;
use std::collections::HashSet;
use std::net::TcpListener;
use std::path::Path;

/// So many that the system, asked for any free port each time, would name one of them twice.
const ADDRESSES: usize = 1_000;

#[test]
fn free_addresses_are_handed_out_once() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("free-addresses");
    // Given a rig, and a listener at the address that it would hand out next
    let rig = Rig::new(0, [127, 84, 1, 1], Path::new("unused"), &folder).unwrap();
    let next_port = rig.free_address().unwrap().port() + 1;
    let taken = TcpListener::bind((rig.loopback_address(), next_port)).unwrap();
    // When many addresses are asked for
    let handed_out: HashSet<_> = (0..ADDRESSES).map(|_| rig.free_address().unwrap()).collect();
    // Then no two are equal, and none is in use
    assert_eq!(handed_out.len(), ADDRESSES);
    assert!(!handed_out.contains(&taken.local_addr().unwrap()));
}
