//! Proxies that leave the rotation and come back: shutdown, handover between processes, maintenance.

use crate::support::{agent, http, operator, rig, until};
use birchreach_test_support::balancer::{Balancer, Check, CheckPolicy, ServerAddresses, run_check};
use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::MAX_WAIT;
use birchreach_test_support::rig::Rig;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Draining is reported while clients are still accepted; then the process ends.
#[test]
fn draining_is_announced_before_the_listener_closes() {
    // Given a balancer in front of a proxy
    let rig = rig(3, 1);
    let mut proxy = rig.start_with_checks(1, 64, "<stopping lead-ms='1500'/>").unwrap();
    let policy = CheckPolicy { interval: Duration::from_millis(50), timeout: MAX_WAIT, rise: 2, fall: 2 };
    let at = [ServerAddresses {
        check: proxy.check_address("agent").unwrap(),
        client: proxy.client_address().unwrap(),
    }];
    let balancer = Balancer::start(&at, &Check::Agent(String::new()), &policy);
    assert!(balancer.wait_for_state(0, true, MAX_WAIT));
    // When the proxy shuts down, then the balancer is told
    proxy.signal("TERM");
    assert!(balancer.wait_for_state(0, false, MAX_WAIT));
    assert_eq!(balancer.changes().last().unwrap().text, "drain\n");
    assert!(http(&proxy, "/ready").text.contains("x-envoy-immediate-health-check-fail: true"));
    // And clients that come all the same are still served
    let mut client = Client::connect(proxy.client_address().unwrap()).unwrap();
    assert!(matches!(client.write("file-entry", 0, 3000).unwrap(), Reply::Served(_)));
    assert_eq!(proxy.wait_for_exit(), Some(0));
}

/// Two processes of one proxy, checked in turn as fast as possible, are never both down, nor both up.
#[test]
fn a_handover_happens_at_one_instant() {
    // Given a process and its successor
    let rig = rig(4, 1);
    let shared = TcpListener::bind((rig.loopback_address(), 0)).unwrap();
    // Each has addresses of its own, so that both can be checked.
    let free = || (rig.free_address().unwrap(), rig.free_address().unwrap());
    let (a, b) = (free(), free());
    let mut predecessor = rig.start(1, Some(&Rig::health_options(a.0, a.1, 64, "")), Some(&shared)).unwrap();
    until("the predecessor is up", || agent(&predecessor, "").up);
    let successor = rig.start(2, Some(&Rig::health_options(b.0, b.1, 64, "")), Some(&shared)).unwrap();
    let ask = |at| run_check(at, &Check::Agent(String::new()), MAX_WAIT).is_ok_and(|told| told.up);
    // When both are checked until the successor has taken over, then exactly one is up at any time
    let (start, mut swapped) = (Instant::now(), false);
    let mut certain = 0;
    while start.elapsed() < MAX_WAIT && (!swapped || certain < 200) {
        // The predecessor is checked before and after: if both answers are equal, it was so in between.
        let before = ask(a.1);
        let other = ask(b.1);
        if ask(a.1) == before {
            assert_ne!(
                before,
                other,
                "both {} after {:?}",
                if before { "up" } else { "down" },
                start.elapsed()
            );
            certain += 1;
            swapped |= other;
        }
    }
    assert!(swapped && certain > 10, "{swapped}, {certain}");
    // When the successor dies, then the predecessor is up again
    drop(successor);
    until("the predecessor is up again", || ask(a.1));
    // When the next successor has taken over and the predecessor ends, then it answers at the same address
    let successor = rig.start(3, Some(&Rig::health_options(a.0, a.1, 64, "")), Some(&shared)).unwrap();
    until("the next answers at the same address", || successor.check_address("agent").is_some() && ask(a.1));
    predecessor.signal("TERM");
    assert_eq!(predecessor.wait_for_exit(), Some(0));
    assert!(ask(a.1));
}

/// A balancer distributes clients by weight and connections. No request is lost while one proxy is taken out, comes back,
/// and the other drains.
#[test]
fn a_balancer_avoids_proxies_that_leave_the_rotation() {
    // Given a balancer in front of two proxies
    let rig = rig(9, 1);
    let one = rig.start_with_checks(1, 64, "").unwrap();
    let mut two = rig.start_with_checks(2, 64, "<stopping lead-ms='1500'/>").unwrap();
    let policy = CheckPolicy { interval: Duration::from_millis(50), timeout: MAX_WAIT, rise: 2, fall: 2 };
    let at = [&one, &two].map(|proxy| ServerAddresses {
        check: proxy.check_address("http").unwrap(),
        client: proxy.client_address().unwrap(),
    });
    let balancer = Balancer::start(&at, &Check::Http("/class/file-entry".into()), &policy);
    assert!(balancer.wait_for_state(0, true, MAX_WAIT) && balancer.wait_for_state(1, true, MAX_WAIT));
    let mut count = [0; 2];
    let mut go = |n: usize| {
        for _ in 0..n {
            let to = balancer.choose_server().expect("somebody is up");
            let mut client = Client::connect(balancer.servers()[to].addresses.client).unwrap();
            let reply = client.write("file-entry", 0, 3000).unwrap();
            assert!(matches!(reply, Reply::Served(_)), "{reply:?}");
            balancer.release_server(to);
            count[to] += 1;
        }
        std::mem::take(&mut count)
    };
    // Then two connections at a time go to different proxies
    let (a, b) = (balancer.choose_server().unwrap(), balancer.choose_server().unwrap());
    assert_ne!(a, b);
    balancer.release_server(a);
    balancer.release_server(b);
    assert_eq!(go(100).iter().sum::<i32>(), 100);
    // When one is in maintenance, then all go to the other
    operator(&one, "maintenance on");
    assert!(balancer.wait_for_state(0, false, MAX_WAIT));
    assert_eq!(go(100), [0, 100]);
    // When it is back and the other drains, then all go to the first
    operator(&one, "maintenance off");
    assert!(balancer.wait_for_state(0, true, MAX_WAIT));
    two.signal("TERM");
    assert!(balancer.wait_for_state(1, false, MAX_WAIT));
    assert_eq!(go(100), [100, 0]);
    assert_eq!(two.wait_for_exit(), Some(0));
    // And no write was executed twice
    assert_eq!(rig.groups[0].rows.duplicate_count(), 0);
}
