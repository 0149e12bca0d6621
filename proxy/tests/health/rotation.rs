//! Proxies that leave the rotation and come back: shutdown, handover between processes, maintenance.

use crate::support::{CheckAddresses, admin_call, agent_check, http_check, is_up, new_rig, wait_until};
use birchreach_test_support::balancer::{Balancer, Check, CheckPolicy, ServerAddresses};
use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::{MAX_WAIT, Process};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

const CHECK_POLICY: CheckPolicy =
    CheckPolicy { interval: Duration::from_millis(50), timeout: MAX_WAIT, rise: 2, fall: 2 };

/// Where a balancer reaches a proxy, with health checks of this kind.
fn server_addresses(proxy: &Process, check_kind: &str) -> ServerAddresses {
    ServerAddresses {
        check: proxy.check_address(check_kind).unwrap(),
        client: proxy.client_address().unwrap(),
    }
}

/// Draining is reported while clients are still accepted; then the process ends.
#[test]
fn draining_is_announced_before_the_listener_closes() {
    // Given a balancer in front of a proxy
    let rig = new_rig(3, 1);
    let mut proxy = rig.start_with_checks(1, 64, "<stopping lead-ms='1500'/>").unwrap();
    let servers = [server_addresses(&proxy, "agent")];
    let balancer = Balancer::start(&servers, &Check::Agent(String::new()), &CHECK_POLICY);
    assert!(balancer.wait_for_state(0, true, MAX_WAIT));
    // When the proxy shuts down, then the balancer is told
    proxy.signal("TERM");
    assert!(balancer.wait_for_state(0, false, MAX_WAIT));
    assert_eq!(balancer.changes().last().unwrap().text, "drain\n");
    assert!(http_check(&proxy, "/ready").text.contains("x-envoy-immediate-health-check-fail: true"));
    // And clients that come all the same are still served
    let mut client = Client::connect(proxy.client_address().unwrap()).unwrap();
    assert!(matches!(client.write("file-entry", 0, 3000).unwrap(), Reply::Served(_)));
    assert_eq!(proxy.wait_for_exit(), Some(0));
}

/// Whether an agent-check at this address says that the proxy is up.
fn agent_is_up(address: SocketAddr) -> bool {
    is_up(address, &Check::Agent(String::new()))
}

/// Checks two processes in turn until the successor has taken over: at any time, exactly one of them is up.
fn check_that_exactly_one_is_up(predecessor: SocketAddr, successor: SocketAddr) {
    let start = Instant::now();
    let (mut taken_over, mut certain_count) = (false, 0);
    while start.elapsed() < MAX_WAIT && (!taken_over || certain_count < 200) {
        // The predecessor is checked before and after: if both answers are equal, it was so in between.
        let predecessor_up = agent_is_up(predecessor);
        let successor_up = agent_is_up(successor);
        if agent_is_up(predecessor) == predecessor_up {
            let state = if predecessor_up { "up" } else { "down" };
            assert_ne!(predecessor_up, successor_up, "both {state} after {:?}", start.elapsed());
            certain_count += 1;
            taken_over |= successor_up;
        }
    }
    assert!(taken_over && certain_count > 10, "{taken_over}, {certain_count}");
}

/// Two processes of one proxy, checked in turn as fast as possible, are never both down, nor both up.
#[test]
fn a_handover_happens_at_one_instant() {
    // Given a process and its successor
    let rig = new_rig(4, 1);
    let shared = TcpListener::bind((rig.loopback_address(), 0)).unwrap();
    // Each has addresses of its own, so that both can be checked.
    let (first, second) = (CheckAddresses::free(&rig), CheckAddresses::free(&rig));
    let mut predecessor = rig.start(1, Some(&first.options(64)), Some(&shared)).unwrap();
    wait_until("the predecessor is up", || agent_check(&predecessor, "").up);
    let successor = rig.start(2, Some(&second.options(64)), Some(&shared)).unwrap();
    // When both are checked until the successor has taken over, then exactly one is up at any time
    check_that_exactly_one_is_up(first.agent, second.agent);
    // When the successor dies, then the predecessor is up again
    drop(successor);
    wait_until("the predecessor is up again", || agent_is_up(first.agent));
    // When the next successor has taken over and the predecessor ends, then it answers at the same address
    let successor = rig.start(3, Some(&first.options(64)), Some(&shared)).unwrap();
    wait_until("the next answers at the same address", || {
        successor.check_address("agent").is_some() && agent_is_up(first.agent)
    });
    predecessor.signal("TERM");
    assert_eq!(predecessor.wait_for_exit(), Some(0));
    assert!(agent_is_up(first.agent));
}

/// Sends writes, each on a connection of its own, to the servers that the balancer chooses. Returns how many each of two served.
fn send_writes(balancer: &Balancer, write_count: usize) -> [i32; 2] {
    let mut served = [0; 2];
    for _ in 0..write_count {
        let server = balancer.choose_server().expect("somebody is up");
        let mut client = Client::connect(balancer.servers()[server].addresses.client).unwrap();
        let reply = client.write("file-entry", 0, 3000).unwrap();
        assert!(matches!(reply, Reply::Served(_)), "{reply:?}");
        balancer.release_server(server);
        served[server] += 1;
    }
    served
}

/// A balancer distributes clients by weight and connections. No request is lost while one proxy is taken out, comes back,
/// and the other drains.
#[test]
fn a_balancer_avoids_proxies_that_leave_the_rotation() {
    // Given a balancer in front of two proxies
    let rig = new_rig(9, 1);
    let one = rig.start_with_checks(1, 64, "").unwrap();
    let mut two = rig.start_with_checks(2, 64, "<stopping lead-ms='1500'/>").unwrap();
    let servers = [&one, &two].map(|proxy| server_addresses(proxy, "http"));
    let balancer = Balancer::start(&servers, &Check::Http("/class/file-entry".into()), &CHECK_POLICY);
    assert!(balancer.wait_for_state(0, true, MAX_WAIT) && balancer.wait_for_state(1, true, MAX_WAIT));
    // Then two connections at a time go to different proxies
    let [first, second] = std::array::from_fn(|_| balancer.choose_server().unwrap());
    assert_ne!(first, second);
    balancer.release_server(first);
    balancer.release_server(second);
    assert_eq!(send_writes(&balancer, 100).iter().sum::<i32>(), 100);
    // When one is in maintenance, then all go to the other
    admin_call(&one, "maintenance on");
    assert!(balancer.wait_for_state(0, false, MAX_WAIT));
    assert_eq!(send_writes(&balancer, 100), [0, 100]);
    // When it is back and the other drains, then all go to the first
    admin_call(&one, "maintenance off");
    assert!(balancer.wait_for_state(0, true, MAX_WAIT));
    two.signal("TERM");
    assert!(balancer.wait_for_state(1, false, MAX_WAIT));
    assert_eq!(send_writes(&balancer, 100), [100, 0]);
    assert_eq!(two.wait_for_exit(), Some(0));
    // And no write was executed twice
    assert_eq!(rig.groups[0].rows.duplicate_count(), 0);
}
