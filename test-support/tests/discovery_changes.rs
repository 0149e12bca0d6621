//! The discovery service tells who knows the list what changed since, and sends the whole list after it was replaced.

use birchreach_test_support::discovery::{Discovery, ListedDatabase};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

fn listed(uid: &str) -> ListedDatabase {
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 5432));
    ListedDatabase { uid: uid.into(), endpoint, group: 0, state: "up", primary: false, started_at_ms: 0 }
}

/// The body of the answer to a poll that does not wait.
fn poll(discovery: &Discovery, known_revision: u64) -> serde_json::Value {
    let mut stream = TcpStream::connect(discovery.address()).unwrap();
    write!(stream, "GET /?from={known_revision}&hold_ms=0 HTTP/1.1\r\nHost: d\r\n\r\n").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    serde_json::from_str(response.split_once("\r\n\r\n").unwrap().1).unwrap()
}

#[test]
fn a_change_is_told_alone_and_a_replaced_list_whole() {
    // Given a list of two databases, at revision 1
    let any_port = SocketAddr::from(([127, 84, 2, 1], 0));
    let discovery = Discovery::start(any_port, vec![listed("a"), listed("b")]).unwrap();
    let bytes_before = discovery.sent_body_bytes();
    // When one changes
    discovery.change_database(1, |database| database.state = "draining");
    // Then who knows revision 1 is told of it alone, and who knows none gets the whole list
    let change = poll(&discovery, 1);
    assert_eq!((&change["rev"], &change["all"]), (&2.into(), &false.into()));
    assert_eq!(change["targets"].as_array().unwrap().len(), 1);
    assert_eq!(change["targets"][0]["uid"], "b");
    let whole = poll(&discovery, 0);
    assert_eq!((&whole["all"], whole["targets"].as_array().unwrap().len()), (&true.into(), 2));
    assert!(discovery.sent_body_bytes() > bytes_before);
    // When the list is replaced, then it is sent whole
    discovery.set_databases(vec![listed("c")]);
    let replaced = poll(&discovery, 2);
    assert_eq!((&replaced["all"], &replaced["targets"][0]["uid"]), (&true.into(), &"c".into()));
    // And who knows the current revision gets no entries
    let unchanged = poll(&discovery, 3);
    assert_eq!((&unchanged["all"], unchanged["targets"].as_array().unwrap().len()), (&false.into(), 0));
}
