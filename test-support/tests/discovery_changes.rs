//! The discovery service sends only the changes to a poller that knows an earlier revision. It sends the complete list
//! after the list was replaced.

use birchreach_test_support::discovery::{Discovery, ListedDatabase};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

fn listed(uid: &str) -> ListedDatabase {
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 5432));
    ListedDatabase { uid: uid.into(), endpoint, group: 0, state: "up", primary: false, started_at_ms: 0 }
}

/// Polls without waiting and returns the body of the answer.
fn poll(discovery: &Discovery, known_revision: u64) -> serde_json::Value {
    let mut stream = TcpStream::connect(discovery.address()).unwrap();
    write!(stream, "GET /?from={known_revision}&hold_ms=0 HTTP/1.1\r\nHost: d\r\n\r\n").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    serde_json::from_str(response.split_once("\r\n\r\n").unwrap().1).unwrap()
}

#[test]
fn a_changed_entry_is_sent_alone_and_a_replaced_list_completely() {
    // Given a list of two databases, at revision 1
    let any_port = SocketAddr::from(([127, 84, 2, 1], 0));
    let discovery = Discovery::start(any_port, vec![listed("a"), listed("b")]).unwrap();
    let bytes_before = discovery.sent_body_bytes();
    // When one entry changes
    discovery.change_database(1, |database| database.state = "draining");
    // Then a poller at revision 1 receives only that entry, and a poller without a revision the complete list
    let change = poll(&discovery, 1);
    assert_eq!((&change["rev"], &change["all"]), (&2.into(), &false.into()));
    assert_eq!(change["targets"].as_array().unwrap().len(), 1);
    assert_eq!(change["targets"][0]["uid"], "b");
    let complete = poll(&discovery, 0);
    assert_eq!((&complete["all"], complete["targets"].as_array().unwrap().len()), (&true.into(), 2));
    assert!(discovery.sent_body_bytes() > bytes_before);
    // When the list is replaced, then the complete list is sent
    discovery.set_databases(vec![listed("c")]);
    let replaced = poll(&discovery, 2);
    assert_eq!((&replaced["all"], &replaced["targets"][0]["uid"]), (&true.into(), &"c".into()));
    // And a poller at the current revision receives no entries
    let unchanged = poll(&discovery, 3);
    assert_eq!((&unchanged["all"], unchanged["targets"].as_array().unwrap().len()), (&false.into(), 0));
}
