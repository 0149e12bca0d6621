//! Proxies that leave a balancer's rotation and return to it: shutdown, handover between processes, maintenance.

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

/// Returns the addresses at which a balancer reaches a proxy. `check_kind` is the kind of the health checks, such as `agent`.
fn server_addresses(proxy: &Process, check_kind: &str) -> ServerAddresses {
    ServerAddresses {
        check: proxy.check_address(check_kind).unwrap(),
        client: proxy.client_address().unwrap(),
    }
}

/// A process that shuts down must report that it drains while it still accepts clients.
#[test]
fn draining_is_reported_before_the_listener_closes() {
    // Given a balancer in front of a proxy
    let rig = new_rig(3, 1);
    let mut proxy = rig.start_with_checks(1, 64, "<stopping lead-ms='1500'/>").unwrap();
    let servers = [server_addresses(&proxy, "agent")];
    let balancer = Balancer::start(&servers, &Check::Agent(String::new()), &CHECK_POLICY);
    assert!(balancer.wait_for_state(0, true, MAX_WAIT));
    // When the proxy shuts down, then health checks report that it drains
    proxy.signal("TERM");
    assert!(balancer.wait_for_state(0, false, MAX_WAIT));
    assert_eq!(balancer.changes().last().unwrap().text, "drain\n");
    assert!(http_check(&proxy, "/ready").text.contains("x-envoy-immediate-health-check-fail: true"));
    // And new clients are still served
    let mut client = Client::connect(proxy.client_address().unwrap()).unwrap();
    assert!(matches!(client.write("file-entry", 0, 3000).unwrap(), Reply::Served(_)));
    assert_eq!(proxy.wait_for_exit(), Some(0));
}

/// Returns whether an agent-check at the address reports that the proxy is up.
fn agent_is_up(address: SocketAddr) -> bool {
    is_up(address, &Check::Agent(String::new()))
}

/// A process of a proxy and its successor. Each has its own check addresses, so that both can be checked.
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
    /// Starts a process, waits until it is up, runs `before_successor`, and starts the successor without waiting for it to serve.
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

    /// Checks that exactly one of the two processes is up at any time until the successor has taken over.
    fn check_that_exactly_one_is_up(&self) {
        let start = Instant::now();
        let (mut taken_over, mut conclusive_count) = (false, 0);
        while start.elapsed() < MAX_WAIT && (!taken_over || conclusive_count < 200) {
            // The predecessor is checked before and after the successor. If both answers are equal, the predecessor was in this state
            // when the successor answered.
            let predecessor_up = agent_is_up(self.predecessor_address);
            let successor_up = agent_is_up(self.successor_address);
            if agent_is_up(self.predecessor_address) == predecessor_up {
                let (state, elapsed) = (if predecessor_up { "up" } else { "down" }, start.elapsed());
                assert_ne!(predecessor_up, successor_up, "both {state} after {elapsed:?}: {}", self.logs());
                conclusive_count += 1;
                taken_over |= successor_up;
            }
        }
        assert!(taken_over && conclusive_count > 10, "{taken_over}, {conclusive_count}");
    }

    fn logs(&self) -> String {
        format!("predecessor {:#?}, successor {:#?}", self.predecessor.log(), self.successor.log())
    }
}

/// The test checks two processes of one proxy alternately, as fast as possible. They must never be both down or both up.
#[test]
fn exactly_one_process_is_up_at_any_time_during_a_handover() {
    // Given a process and its successor
    let rig = new_rig(4, 1);
    let replacement = Replacement::start(&rig, || ());
    // When both are checked until the successor has taken over, then exactly one is up at any time
    replacement.check_that_exactly_one_is_up();
    // When the successor is killed, then the predecessor is up again
    let Replacement { mut predecessor, successor, predecessor_address, .. } = replacement;
    drop(successor);
    wait_until("the predecessor is up again", || agent_is_up(predecessor_address));
    // When another successor has taken over and the predecessor has exited, then the successor answers at the predecessor's address
    let options = Some(replacement.predecessor_options.as_str());
    let successor = rig.start(3, options, Some(&replacement.shared_listener)).unwrap();
    wait_until("the successor answers at the predecessor's address", || {
        successor.check_address("agent").is_some() && agent_is_up(predecessor_address)
    });
    predecessor.signal("TERM");
    assert_eq!(predecessor.wait_for_exit(), Some(0));
    assert!(agent_is_up(predecessor_address));
}

/// A successor that cannot serve yet must leave clients and health checks to its predecessor.
#[test]
fn a_successor_without_an_endpoint_list_does_not_take_over() {
    // Given a process, and a successor that cannot reach discovery
    let rig = new_rig(10, 1);
    let replacement = Replacement::start(&rig, || rig.discovery.stop());
    assert!(replacement.predecessor.wait_for_log_line(&["event=successor-connected"]).is_some());
    // When both are checked for longer than the successor waits for an announcement, then only the predecessor is up
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1500) {
        let up = [replacement.predecessor_address, replacement.successor_address].map(agent_is_up);
        assert_eq!(up, [true, false], "{}", replacement.logs());
    }
    // When discovery is reachable again, then the successor takes over
    let _discovery = rig.discovery.restarted().unwrap();
    replacement.check_that_exactly_one_is_up();
}

/// The duration of a pause of a process.
const PAUSE: Duration = Duration::from_millis(150);

/// Pauses a process for [`PAUSE`]. The pause begins `delay` after the successor has connected to the predecessor.
fn pause_after_connect(replacement: &Replacement, paused: &Process, delay: Duration) {
    assert!(replacement.predecessor.wait_for_log_line(&["event=successor-connected"]).is_some());
    thread::sleep(delay);
    paused.signal("STOP");
    thread::sleep(PAUSE);
    paused.signal("CONT");
}

/// A pause of either process, at different moments around the handover, must not make health checks find both up or both down.
#[test]
fn exactly_one_process_is_up_at_any_time_during_a_handover_with_a_paused_process() {
    for pauses_successor in [false, true] {
        for delay in [0, 10, 100, 280].map(Duration::from_millis) {
            // Given a process and its successor
            let rig = new_rig(11, 1);
            let replacement = Replacement::start(&rig, || ());
            let Replacement { predecessor, successor, .. } = &replacement;
            let paused = if pauses_successor { successor } else { predecessor };
            thread::scope(|scope| {
                // When one of them is paused around the handover
                scope.spawn(|| pause_after_connect(&replacement, paused, delay));
                // Then exactly one of them is up at any time
                replacement.check_that_exactly_one_is_up();
            });
        }
    }
}

/// Sends each write on a new connection to the server that the balancer chooses. Returns how many writes each of the two servers
/// has served.
fn send_writes(balancer: &Balancer, write_count: usize) -> [i32; 2] {
    let mut served = [0; 2];
    for _ in 0..write_count {
        let server = balancer.choose_server().expect("at least one server is up");
        let mut client = Client::connect(balancer.servers()[server].addresses.client).unwrap();
        let reply = client.write("file-entry", 0, 3000).unwrap();
        assert!(matches!(reply, Reply::Served(_)), "{reply:?}");
        balancer.release_server(server);
        served[server] += 1;
    }
    served
}

/// The balancer distributes clients by weight and by number of connections. No request may be lost while one proxy enters and leaves
/// maintenance and while the other drains.
#[test]
fn a_balancer_avoids_proxies_that_leave_the_rotation() {
    // Given a balancer in front of two proxies
    let rig = new_rig(9, 1);
    let one = rig.start_with_checks(1, 64, "").unwrap();
    let mut two = rig.start_with_checks(2, 64, "<stopping lead-ms='1500'/>").unwrap();
    let servers = [&one, &two].map(|proxy| server_addresses(proxy, "http"));
    let balancer = Balancer::start(&servers, &Check::Http("/class/file-entry".into()), &CHECK_POLICY);
    assert!(balancer.wait_for_state(0, true, MAX_WAIT) && balancer.wait_for_state(1, true, MAX_WAIT));
    // When two connections are open at the same time, then they go to different proxies
    let [first, second] = std::array::from_fn(|_| balancer.choose_server().unwrap());
    assert_ne!(first, second);
    balancer.release_server(first);
    balancer.release_server(second);
    assert_eq!(send_writes(&balancer, 100).iter().sum::<i32>(), 100);
    // When one proxy is in maintenance, then all connections go to the other
    admin_call(&one, "maintenance on");
    assert!(balancer.wait_for_state(0, false, MAX_WAIT));
    assert_eq!(send_writes(&balancer, 100), [0, 100]);
    // When its maintenance is over and the other proxy drains, then all connections go to the first
    admin_call(&one, "maintenance off");
    assert!(balancer.wait_for_state(0, true, MAX_WAIT));
    two.signal("TERM");
    assert!(balancer.wait_for_state(1, false, MAX_WAIT));
    assert_eq!(send_writes(&balancer, 100), [100, 0]);
    assert_eq!(two.wait_for_exit(), Some(0));
    // And no write was executed twice
    assert_eq!(rig.groups[0].rows.duplicate_count(), 0);
}
