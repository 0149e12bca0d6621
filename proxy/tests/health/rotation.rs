//! Proxies that leave the rotation and come back: shutdown, handover between processes, maintenance.

use crate::support::{CheckAddresses, admin_call, agent_check, http_check, is_up, new_rig, wait_until};
use birchreach_test_support::balancer::{Balancer, Check, CheckPolicy, ServerAddresses};
use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::rig::Rig;
use std::net::{SocketAddr, TcpListener};
use std::thread;
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

/// A process of a proxy and the one that replaces it. Each has check addresses of its own, so that both can be checked.
struct Replacement {
    predecessor: Process,
    successor: Process,
    predecessor_address: SocketAddr,
    successor_address: SocketAddr,
    /// Options with the predecessor's check addresses.
    predecessor_options: String,
    shared_listener: TcpListener,
}

impl Replacement {
    /// Starts a process, and its successor once the process is up and `before_successor` has run. Does not wait for the successor.
    fn start(rig: &Rig, before_successor: impl FnOnce()) -> Replacement {
        let shared_listener = TcpListener::bind((rig.loopback_address(), 0)).unwrap();
        let (first, second) = (CheckAddresses::free(rig), CheckAddresses::free(rig));
        let predecessor_options = first.options(64);
        let predecessor = rig.start(1, Some(&predecessor_options), Some(&shared_listener)).unwrap();
        wait_until("the predecessor is up", || agent_check(&predecessor, "").up);
        before_successor();
        let successor = rig.spawn(2, Some(&second.options(64)), Some(&shared_listener)).unwrap();
        Replacement {
            predecessor,
            successor,
            predecessor_address: first.agent,
            successor_address: second.agent,
            predecessor_options,
            shared_listener,
        }
    }

    /// Checks both in turn until the successor has taken over: at any time, exactly one of them is up.
    fn check_that_exactly_one_is_up(&self) {
        let start = Instant::now();
        let (mut taken_over, mut certain_count) = (false, 0);
        while start.elapsed() < MAX_WAIT && (!taken_over || certain_count < 200) {
            // The predecessor is checked before and after: if both answers are equal, it was so in between.
            let predecessor_up = agent_is_up(self.predecessor_address);
            let successor_up = agent_is_up(self.successor_address);
            if agent_is_up(self.predecessor_address) == predecessor_up {
                let (state, elapsed) = (if predecessor_up { "up" } else { "down" }, start.elapsed());
                assert_ne!(predecessor_up, successor_up, "both {state} after {elapsed:?}: {}", self.logs());
                certain_count += 1;
                taken_over |= successor_up;
            }
        }
        assert!(taken_over && certain_count > 10, "{taken_over}, {certain_count}");
    }

    /// What both have logged.
    fn logs(&self) -> String {
        format!("predecessor {:#?}, successor {:#?}", self.predecessor.log(), self.successor.log())
    }
}

/// Two processes of one proxy, checked in turn as fast as possible, are never both down, nor both up.
#[test]
fn a_handover_happens_at_one_instant() {
    // Given a process and its successor
    let rig = new_rig(4, 1);
    let replacement = Replacement::start(&rig, || ());
    // When both are checked until the successor has taken over, then exactly one is up at any time
    replacement.check_that_exactly_one_is_up();
    // When the successor dies, then the predecessor is up again
    let Replacement { mut predecessor, successor, predecessor_address, .. } = replacement;
    drop(successor);
    wait_until("the predecessor is up again", || agent_is_up(predecessor_address));
    // When the next successor has taken over and the predecessor ends, then it answers at the same address
    let options = Some(replacement.predecessor_options.as_str());
    let successor = rig.start(3, options, Some(&replacement.shared_listener)).unwrap();
    wait_until("the next answers at the same address", || {
        successor.check_address("agent").is_some() && agent_is_up(predecessor_address)
    });
    predecessor.signal("TERM");
    assert_eq!(predecessor.wait_for_exit(), Some(0));
    assert!(agent_is_up(predecessor_address));
}

/// A successor that can't serve anybody yet leaves clients and balancers to its predecessor.
#[test]
fn a_successor_without_an_endpoint_list_does_not_take_over() {
    // Given a process, and a successor that finds no discovery
    let rig = new_rig(10, 1);
    let replacement = Replacement::start(&rig, || rig.discovery.stop());
    assert!(replacement.predecessor.wait_for_log_line(&["event=successor-connected"]).is_some());
    // When both are checked for longer than the successor waits for an announcement, then the predecessor is up alone
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1500) {
        let up = [replacement.predecessor_address, replacement.successor_address].map(agent_is_up);
        assert_eq!(up, [true, false], "{}", replacement.logs());
    }
    // When discovery answers again, then the successor takes over
    let _discovery = rig.discovery.restarted().unwrap();
    replacement.check_that_exactly_one_is_up();
}

/// How long a process may be held up.
const PAUSE: Duration = Duration::from_millis(150);

/// Stops a process for [`PAUSE`], this long after its predecessor has met its successor.
fn pause_after_meeting(replacement: &Replacement, paused: &Process, delay: Duration) {
    assert!(replacement.predecessor.wait_for_log_line(&["event=successor-connected"]).is_some());
    thread::sleep(delay);
    paused.signal("STOP");
    thread::sleep(PAUSE);
    paused.signal("CONT");
}

/// Whichever process is held up, and whenever: balancers find exactly one of them up.
#[test]
fn a_handover_happens_at_one_instant_while_a_process_is_held_up() {
    for pauses_successor in [false, true] {
        for delay in [0, 10, 100, 280].map(Duration::from_millis) {
            // Given a process and its successor
            let rig = new_rig(11, 1);
            let replacement = Replacement::start(&rig, || ());
            let Replacement { predecessor, successor, .. } = &replacement;
            let paused = if pauses_successor { successor } else { predecessor };
            thread::scope(|scope| {
                // When one of them is held up around the handover
                scope.spawn(|| pause_after_meeting(&replacement, paused, delay));
                // Then exactly one is up at any time
                replacement.check_that_exactly_one_is_up();
            });
        }
    }
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
