//! Many connections at once, of balancers and of clients.

use crate::support::{CheckAddresses, agent_check, http_check, is_up, new_rig, wait_until};
use birchreach_test_support::balancer::{Check, run_check};
use birchreach_test_support::client::{Client, Reply};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Connections that send too much, noise, half a request or nothing, and read nothing.
fn misbehaving_checks(http: SocketAddr, agent: SocketAddr) -> Vec<TcpStream> {
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

/// Whether a client's read is served.
fn is_served(client: &mut Client) -> bool {
    matches!(client.read("tariff-lookup", 0, 2500), Ok(Reply::Served(_)))
}

/// Sends several requests on one connection, one after the other and then many at once.
fn check_kept_connection(http: SocketAddr) {
    let mut kept = TcpStream::connect(http).unwrap();
    let mut buffer = [0; 15];
    for _ in 0..3 {
        kept.write_all(b"HEAD /live HTTP/1.1\r\nHost: p\r\n\r\n").unwrap();
        let mut response = Vec::new();
        while !response.ends_with(b"\r\n\r\n") {
            let length = kept.read(&mut buffer).unwrap();
            assert!(length > 0);
            response.extend_from_slice(&buffer[..length]);
        }
    }
    // Many pipelined requests are all answered, in their order.
    kept.write_all(
        &[b"HEAD /live HTTP/1.1\r\nHost: p\r\n\r\n".repeat(999), b"HEAD /none HTTP/1.0\r\n\r\n".to_vec()]
            .concat(),
    )
    .unwrap();
    let mut all = String::new();
    kept.read_to_string(&mut all).unwrap();
    assert_eq!((all.matches("HTTP/1.1 200 ").count(), all.matches("HTTP/1.1 404 ").count()), (999, 1));
}

/// Check connections that send nothing, read nothing or send noise, and clients that fill every place.
#[test]
fn a_crowd_of_connections_does_not_keep_balancers_from_their_answer() {
    // Given a crowd of clients and misbehaving checks
    let mut rig = new_rig(5, 1);
    rig.max_descriptors = 200;
    let proxy = rig.start_with_checks(1, 40, "").unwrap();
    let clients = proxy.client_address().unwrap();
    let crowd: Vec<TcpStream> = (0..300).filter_map(|_| TcpStream::connect(clients).ok()).collect();
    let http_address = proxy.check_address("http").unwrap();
    let agent_address = proxy.check_address("agent").unwrap();
    let misbehaving = misbehaving_checks(http_address, agent_address);
    // Then every check is answered
    for _ in 0..200 {
        assert!(
            agent_check(&proxy, "file-entry").up
                && http_check(&proxy, "/ready").up
                && http_check(&proxy, "/live").up
        );
    }
    assert!(crowd.len() > 100, "a crowd that did not come shows nothing");
    // Then a connection may be kept for several requests, also pipelined ones
    check_kept_connection(http_address);
    // And connections without a complete request are closed
    wait_until("unresponsive connections are closed", || {
        proxy.log().iter().any(|line| line.contains("conn=check") && line.contains("unresponsive"))
    });
    // And connections beyond the limit are shed; the log's own limit may have suppressed the first of them
    let mut more = Vec::new();
    wait_until("connections beyond the limit are shed", || {
        more.extend((0..64).map_while(|_| TcpStream::connect(http_address).ok()));
        proxy.log().iter().any(|line| line.contains("conn=check") && line.contains("shed"))
    });
    // When the crowd has gone, then clients are served again
    drop(more);
    drop((misbehaving, crowd));
    wait_until("clients are served again", || {
        let mut client = Client::connect(clients).ok();
        client
            .as_mut()
            .and_then(|client| client.write("file-entry", 0, 3000).ok())
            .is_some_and(|reply| matches!(reply, Reply::Served(_)))
    });
}

/// Opens many connections that only send the startup message; every other one ends in order.
fn send_startup_checks(address: SocketAddr) {
    for n in 0..400 {
        let mut startup_check = Client::connect(address).unwrap();
        if n % 2 == 0 {
            let _ = startup_check.send_terminate();
        }
    }
}

/// Checks by HTTP, or by agent-check, again and again until the flag is set.
fn check_until_over(addresses: &CheckAddresses, by_http: bool, over: &AtomicBool) {
    let (address, check) = match by_http {
        true => (addresses.http, Check::Http("/ready".into())),
        false => (addresses.agent, Check::Agent(String::new())),
    };
    while !over.load(Ordering::Relaxed) {
        let _ = run_check(address, &check, Duration::from_secs(2));
    }
}

/// Balancers that check by PostgreSQL's startup message take no client's place and don't flood the log. A restart under a
/// flood of checks is over as soon as the process serves.
#[test]
fn startup_checks_cost_no_place_and_floods_do_not_delay_a_restart() {
    // Given a proxy
    let mut rig = new_rig(8, 1);
    rig.max_descriptors = 200;
    let addresses = CheckAddresses::free(&rig);
    let options = addresses.options(32);
    let proxy = rig.start(1, Some(&options), None).unwrap();
    let clients = proxy.client_address().unwrap();
    // As many idle clients as may stay: 2 in 5 of the 47 places that are left beside all that is reserved.
    let mut idle_clients: Vec<Client> = (0..18).map(|_| Client::connect(clients).unwrap()).collect();
    assert!(idle_clients.iter_mut().all(is_served));
    // When many connections only send the startup message
    send_startup_checks(clients);
    // Then no client has lost its connection, and the log is short
    assert!(idle_clients.iter_mut().all(is_served), "all of them have their connection still");
    let log = proxy.log();
    assert!(!log.iter().any(|line| line.contains("reason=shed")));
    assert!(log.iter().filter(|line| line.contains("conn=client")).count() < 10, "{}", log.len());
    // When the process restarts under a flood of checks, then it is ready and serves clients
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        for n in 0..40 {
            let (addresses, over) = (&addresses, &over);
            scope.spawn(move || check_until_over(addresses, n % 2 == 0, over));
        }
        drop(proxy);
        let again = rig.start(2, Some(&options), None).unwrap();
        let check = Check::Agent("file-entry".into());
        wait_until("it is ready under the flood", || is_up(addresses.agent, &check));
        let mut client = Client::connect(again.client_address().unwrap()).unwrap();
        assert!(is_served(&mut client));
        over.store(true, Ordering::Relaxed);
    });
}
