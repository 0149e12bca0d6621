//! Many databases behind one listener: each has its own address and role, and breaking its connections does not affect
//! the others.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::many_databases::ManyDatabases;

const GROUP: u32 = 0;
const DEADLINE_MS: u32 = 1_000;

#[test]
fn each_address_is_a_database_with_its_own_role() {
    // Given a primary and a replica whose addresses are thousands apart
    let databases = ManyDatabases::start([0].into_iter()).unwrap();
    let mut primary = Client::connect(databases.address(0)).unwrap();
    let mut replica = Client::connect(databases.address(3_199)).unwrap();
    // When both receive a read and a write
    let replies = [&mut primary, &mut replica].map(|client| {
        let read = client.read("tariff-lookup", GROUP, DEADLINE_MS).unwrap();
        (read, client.write("file-entry", GROUP, DEADLINE_MS).unwrap())
    });
    // Then both serve the read, and only the primary serves the write
    let served = || Reply::Served(b"\\x9f03".to_vec());
    assert_eq!(replies, [(served(), served()), (served(), Reply::Error("25006".into()))]);
    assert_eq!((databases.connection_count(), databases.statement_count()), (2, 4));
}

#[test]
fn a_restart_breaks_the_connections_of_one_database() {
    // Given connections to two databases
    let databases = ManyDatabases::start([0].into_iter()).unwrap();
    let mut restarted = Client::connect(databases.address(1)).unwrap();
    let mut other = Client::connect(databases.address(2)).unwrap();
    // When one restarts
    databases.break_connections(1);
    // Then only its connection is broken, and a new connection is served
    assert!(restarted.read("tariff-lookup", GROUP, DEADLINE_MS).is_err());
    assert!(other.read("tariff-lookup", GROUP, DEADLINE_MS).is_ok());
    let mut reconnected = Client::connect(databases.address(1)).unwrap();
    assert!(reconnected.read("tariff-lookup", GROUP, DEADLINE_MS).is_ok());
}
