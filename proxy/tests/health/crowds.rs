//! Many concurrent connections of balancers and clients.

use crate::support::{CheckAddresses, agent_check, http_check, is_up, new_rig, wait_until};
use birchreach_test_support::balancer::{Check, run_check};
use birchreach_test_support::client::{Client, Reply};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Opens check connections that send too much, invalid bytes, half a request or nothing, and that read nothing.
fn open_misbehaving_checks(http: SocketAddr, agent: SocketAddr) -> Vec<TcpStream> {
    let mut misbehaving: Vec<TcpStream> = Vec::new();
    for n in 0..120 {
        let mut stream = TcpStream::connect(if n % 2 == 0 { http } else { agent }).unwrap();
        let bytes: Vec<u8> = match n % 6 {
            0 => b"GET /health HTTP/1.1\r\nHost: p\r\n\r\n".repeat(2000),
            1 => vec![b'x'; 100_000],
            2 => b"GET /ready HTT".to_vec(),
            3 => b"\xff\xfe\n".to_vec(),
            _ => Vec::new(),
        };
        let _ = stream.set_nonblocking(true);
        let _ = stream.write(&bytes);
        misbehaving.push(stream);
    }
    misbehaving
}

fn is_served(client: &mut Client) -> bool {
    matches!(client.read("tariff-lookup", 0, 2500), Ok(Reply::Served(_)))
}

/// Sends several requests on one connection, first one at a time and then pipelined, and checks that all are answered.
fn check_persistent_connection(http: SocketAddr) {
    let mut connection = TcpStream::connect(http).unwrap();
    let mut buffer = [0; 15];
    for _ in 0..3 {
        connection.write_all(b"HEAD /live HTTP/1.1\r\nHost: p\r\n\r\n").unwrap();
        let mut response = Vec::new();
        while !response.ends_with(b"\r\n\r\n") {
            let length = connection.read(&mut buffer).unwrap();
            assert!(length > 0);
            response.extend_from_slice(&buffer[..length]);
        }
    }
    // Pipelined requests are all answered in order. The last one uses HTTP/1.0, so the connection closes after its response.
    connection
        .write_all(
            &[b"HEAD /live HTTP/1.1\r\nHost: p\r\n\r\n".repeat(999), b"HEAD /none HTTP/1.0\r\n\r\n".to_vec()]
                .concat(),
        )
        .unwrap();
    let mut responses = String::new();
    connection.read_to_string(&mut responses).unwrap();
    assert_eq!(
        (responses.matches("HTTP/1.1 200 ").count(), responses.matches("HTTP/1.1 404 ").count()),
        (999, 1)
    );
}

/// Health checks have to be answered while client connections fill the proxy's limit and other check connections misbehave.
#[test]
fn health_checks_are_answered_while_many_connections_are_open_or_misbehave() {
    // Given many client connections and misbehaving check connections
    let mut rig = new_rig(5, 1);
    rig.max_descriptors = 200;
    let proxy = rig.start_with_checks(1, 40, "").unwrap();
    let clients = proxy.client_address().unwrap();
    let idle_connections: Vec<TcpStream> =
        (0..300).filter_map(|_| TcpStream::connect(clients).ok()).collect();
    let http_address = proxy.check_address("http").unwrap();
    let agent_address = proxy.check_address("agent").unwrap();
    let misbehaving = open_misbehaving_checks(http_address, agent_address);
    // Then every check is answered
    for _ in 0..200 {
        assert!(
            agent_check(&proxy, "file-entry").up
                && http_check(&proxy, "/ready").up
                && http_check(&proxy, "/live").up
        );
    }
    assert!(idle_connections.len() > 100, "too few client connections: {}", idle_connections.len());
    // And a check connection can carry several requests, also pipelined ones
    check_persistent_connection(http_address);
    // And connections without a complete request are closed
    wait_until("unresponsive connections are closed", || {
        proxy.log().iter().any(|line| line.contains("conn=check") && line.contains("unresponsive"))
    });
    // And connections above the limit are shed. The log's rate limit can suppress the first of these lines, so more are opened.
    let mut excess_connections = Vec::new();
    wait_until("connections above the limit are shed", || {
        excess_connections.extend((0..64).map_while(|_| TcpStream::connect(http_address).ok()));
        proxy.log().iter().any(|line| line.contains("conn=check") && line.contains("shed"))
    });
    // When these connections are closed, then clients are served again
    drop(excess_connections);
    drop((misbehaving, idle_connections));
    wait_until("clients are served again", || {
        let mut client = Client::connect(clients).ok();
        client
            .as_mut()
            .and_then(|client| client.write("file-entry", 0, 3000).ok())
            .is_some_and(|reply| matches!(reply, Reply::Served(_)))
    });
}

/// Opens many connections that only send the startup message. Half of them send a Terminate message before they close.
fn send_startup_checks(address: SocketAddr) {
    for n in 0..400 {
        let mut startup_check = Client::connect(address).unwrap();
        if n % 2 == 0 {
            let _ = startup_check.send_terminate();
        }
    }
}

/// Repeats HTTP checks or agent-checks until `stopped` is set.
fn check_until_stopped(addresses: &CheckAddresses, by_http: bool, stopped: &AtomicBool) {
    let (address, check) = match by_http {
        true => (addresses.http, Check::Http("/ready".into())),
        false => (addresses.agent, Check::Agent(String::new())),
    };
    while !stopped.load(Ordering::Relaxed) {
        let _ = run_check(address, &check, Duration::from_secs(2));
    }
}

/// Balancers that check with a PostgreSQL startup message must neither displace clients nor flood the log. A process that restarts
/// under a flood of checks must become ready and serve clients.
#[test]
fn startup_checks_displace_no_client_and_a_flood_of_checks_does_not_prevent_a_restart() {
    // Given a proxy
    let mut rig = new_rig(8, 1);
    rig.max_descriptors = 200;
    let addresses = CheckAddresses::free(&rig);
    let options = addresses.options(32);
    let proxy = rig.start(1, Some(&options), None).unwrap();
    let clients = proxy.client_address().unwrap();
    // 18 idle clients are kept: two fifths of the 47 client connections that the descriptors allow beside the reserved ones.
    let mut idle_clients: Vec<Client> = (0..18).map(|_| Client::connect(clients).unwrap()).collect();
    assert!(idle_clients.iter_mut().all(is_served));
    // When many other connections only send the startup message
    send_startup_checks(clients);
    // Then no client has lost its connection, and the log is short
    assert!(idle_clients.iter_mut().all(is_served), "an idle client has lost its connection");
    let log = proxy.log();
    assert!(!log.iter().any(|line| line.contains("reason=shed")));
    assert!(log.iter().filter(|line| line.contains("conn=client")).count() < 10, "{}", log.len());
    // When the process restarts under a flood of checks, then it is ready and serves clients
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        for n in 0..40 {
            let (addresses, stopped) = (&addresses, &stopped);
            scope.spawn(move || check_until_stopped(addresses, n % 2 == 0, stopped));
        }
        drop(proxy);
        let restarted = rig.start(2, Some(&options), None).unwrap();
        let check = Check::Agent("file-entry".into());
        wait_until("it is ready under the flood", || is_up(addresses.agent, &check));
        let mut client = Client::connect(restarted.client_address().unwrap()).unwrap();
        assert!(is_served(&mut client));
        stopped.store(true, Ordering::Relaxed);
    });
}
