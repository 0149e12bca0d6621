//! Balancers' health on real processes: scripted databases hang, die and change places while stand-in balancers ask.
//! Times are bounded generously; how soon things are told is measured by `benches/`, not asserted here.

use birchreach_test_support::balancer::{Balancer, Check, Rules, Told, check};
use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::{PATIENCE, Process};
use birchreach_test_support::rig::Rig;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchreach-proxy");

fn rig(n: u8, groups: u32) -> Rig {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("health-{n}"));
    Rig::new(groups, [127, 88, n, 1], Path::new(PROGRAM), &folder).unwrap()
}

const PROBES: &str = "<probes every-ms='500' suspect-ms='300' timeout-ms='400'/>";

fn agent(process: &Process, line: &str) -> Told {
    check(process.checks("agent").unwrap(), &Check::Agent(line.into()), PATIENCE).unwrap()
}

fn http(process: &Process, path: &str) -> Told {
    check(process.checks("http").unwrap(), &Check::Http(path.into()), PATIENCE).unwrap()
}

/// Asks again until the answer is that.
fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "never: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Clients that write and read in all groups until dropped; whatever comes, they go on.
struct Traffic {
    over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(u64, u64)>>,
}

impl Traffic {
    fn start(address: SocketAddr, groups: u32, clients: u32) -> Traffic {
        let over = Arc::new(AtomicBool::new(false));
        let one = |n: u32| {
            let over = over.clone();
            thread::spawn(move || {
                let (mut served, mut lost) = (0, 0);
                let mut client = None;
                while !over.load(Ordering::Relaxed) {
                    let Some(c) = &mut client else {
                        client = Client::connect(address).ok();
                        thread::sleep(Duration::from_millis(5));
                        continue;
                    };
                    let reply = match n % 2 {
                        0 => c.write("file-entry", n / 2 % groups, 3000),
                        _ => c.read("tariff-lookup", n / 2 % groups, 2500),
                    };
                    match reply {
                        Ok(reply) => served += u64::from(matches!(reply, Reply::Served(_))),
                        Err(_) => {
                            lost += 1;
                            client = None;
                        }
                    }
                    thread::sleep(Duration::from_millis(10));
                }
                (served, lost)
            })
        };
        Traffic { threads: (0..clients).map(one).collect(), over }
    }

    fn stop(mut self) -> (u64, u64) {
        self.over.store(true, Ordering::Relaxed);
        let ended = self.threads.drain(..).map(|t| t.join().unwrap());
        ended.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// Cases 1 to 4: what hangs is told where it is asked for, reads stay, and only proof brings the claim back.
#[test]
fn a_hung_primary_is_told_and_a_late_list_is_no_proof() {
    let rig = rig(1, 2);
    let proxy = rig.start_with_doors(1, 64, PROBES).unwrap();
    let traffic = Traffic::start(proxy.clients().unwrap(), 2, 4);
    until("all is claimed", || agent(&proxy, "file-entry").text == "ready up 100%\n");
    rig.groups[1].primary.hang(true);
    until("the hang is told", || !agent(&proxy, "group=1 write").up);
    assert!(agent(&proxy, "group=0 write").up && agent(&proxy, "tariff-lookup").up && agent(&proxy, "").up);
    assert!(http(&proxy, "/group/1/write").text.contains("503 Service Unavailable"));
    assert!(http(&proxy, "/ready").text.contains("x-envoy-degraded: true"));
    // The old one stays named for long; the other proves itself by what it says.
    rig.fail_over(1, false);
    until("the proof counts", || agent(&proxy, "group=1 write").up);
    rig.tell(1, rig.groups[1].replica.address());
    // Now every primary is gone: the proxy stays in rotation, for reads.
    rig.groups[0].primary.up(false);
    rig.groups[1].replica.up(false);
    rig.groups[1].primary.hang(false);
    rig.groups[1].primary.primary(false);
    until("no primary at all is told", || http(&proxy, "/health").text.contains("\"state\":\"no-primary\""));
    assert!(!agent(&proxy, "file-entry").up);
    assert!(agent(&proxy, "tariff-lookup").up && http(&proxy, "/ready").up);
    drop(traffic);
    assert!(rig.groups.iter().all(|g| g.rows.doubles() == 0));
}

/// Cases 5 and 6: stuttering and heavy requests withdraw nothing.
#[test]
fn slow_is_not_hung() {
    let rig = rig(2, 1);
    let heavy = Duration::from_millis(2500);
    rig.groups[0].primary.delay("heavy", heavy);
    // The most patience that there is: a machine that stalls for a moment is not to fail this.
    let patient = format!("{PROBES}<claims hang-probed-ms='1700'/>");
    let proxy = rig.start_with_doors(1, 64, &patient).unwrap();
    until("it is claimed", || agent(&proxy, "file-entry").up);
    let mut client = Client::connect(proxy.clients().unwrap()).unwrap();
    for _ in 0..2 {
        assert_eq!(client.write("heavy", 0, 9000).unwrap(), Reply::Served(b"\\x9f03".to_vec()));
    }
    let traffic = Traffic::start(proxy.clients().unwrap(), 1, 2);
    for _ in 0..3 {
        rig.groups[0].primary.hang(true);
        thread::sleep(Duration::from_millis(300));
        rig.groups[0].primary.hang(false);
        thread::sleep(Duration::from_millis(700));
    }
    traffic.stop();
    let withdrawn =
        proxy.log().iter().filter(|l| l.contains("event=health-claim") && l.contains("able=false")).count();
    assert_eq!(withdrawn, 0, "{:?}", proxy.log());
}

/// Case 7: draining is told while clients are still taken; then the process ends as before.
#[test]
fn draining_is_announced_before_the_listener_closes() {
    let rig = rig(3, 1);
    let mut proxy = rig.start_with_doors(1, 64, "<stopping lead-ms='1500'/>").unwrap();
    let rules = Rules { every: Duration::from_millis(50), timeout: PATIENCE, rise: 2, fall: 2 };
    let at = [(proxy.checks("agent").unwrap(), proxy.clients().unwrap())];
    let balancer = Balancer::start(&at, &Check::Agent(String::new()), &rules);
    assert!(balancer.wait(0, true, PATIENCE));
    proxy.signal("TERM");
    assert!(balancer.wait(0, false, PATIENCE));
    assert_eq!(balancer.changes().last().unwrap().text, "drain\n");
    assert!(http(&proxy, "/ready").text.contains("x-envoy-immediate-health-check-fail: true"));
    // Whoever has not heard yet still finds it.
    let mut client = Client::connect(proxy.clients().unwrap()).unwrap();
    assert!(matches!(client.write("file-entry", 0, 3000).unwrap(), Reply::Served(_)));
    assert_eq!(proxy.ended(), Some(0));
}

/// Case 8: two processes of one proxy, asked in turn as fast as may be: never both down, nor both up.
#[test]
fn replacement_is_seen_at_one_instant() {
    let rig = rig(4, 1);
    let shared = TcpListener::bind((rig.own(), 0)).unwrap();
    // Each has addresses of its own, so that both can be asked.
    let free = || (rig.free().unwrap(), rig.free().unwrap());
    let (a, b) = (free(), free());
    let mut predecessor = rig.start(1, Some(&Rig::options(a.0, a.1, 64, "")), Some(&shared)).unwrap();
    until("the predecessor is up", || agent(&predecessor, "").up);
    let successor = rig.start(2, Some(&Rig::options(b.0, b.1, 64, "")), Some(&shared)).unwrap();
    let ask = |at| check(at, &Check::Agent(String::new()), PATIENCE).is_ok_and(|told| told.up);
    let (start, mut swapped) = (Instant::now(), false);
    let mut certain = 0;
    while start.elapsed() < PATIENCE && (!swapped || certain < 200) {
        // The predecessor is asked before and after: where it said the same, that was so in between.
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
    // One that dies gives the place back.
    drop(successor);
    until("the predecessor is up again", || ask(a.1));
    let successor = rig.start(3, Some(&Rig::options(a.0, a.1, 64, "")), Some(&shared)).unwrap();
    until("the next answers at the same address", || successor.checks("agent").is_some() && ask(a.1));
    predecessor.signal("TERM");
    assert_eq!(predecessor.ended(), Some(0));
    assert!(ask(a.1));
}

/// Case 10: checkers that say nothing, read nothing, send noise, or come in a flood; clients that fill every place.
#[test]
fn a_crowd_does_not_keep_balancers_from_their_answer() {
    let mut rig = rig(5, 1);
    rig.sockets = 200;
    let proxy = rig.start_with_doors(1, 40, "").unwrap();
    let clients = proxy.clients().unwrap();
    let crowd: Vec<TcpStream> = (0..300).filter_map(|_| TcpStream::connect(clients).ok()).collect();
    let (at, agents) = (proxy.checks("http").unwrap(), proxy.checks("agent").unwrap());
    let mut rude: Vec<TcpStream> = Vec::new();
    for n in 0..120 {
        let mut stream = TcpStream::connect(if n % 2 == 0 { at } else { agents }).unwrap();
        let bytes: Vec<u8> = match n % 6 {
            0 => b"GET /health HTTP/1.1\r\nHost: p\r\n\r\n".repeat(2000),
            1 => vec![b'x'; 100_000],
            2 => b"GET /ready HTT".to_vec(),
            3 => b"\xff\xfe\n".to_vec(),
            _ => Vec::new(),
        };
        let _ = stream.set_nonblocking(true);
        let _ = stream.write(&bytes);
        rude.push(stream);
    }
    for _ in 0..200 {
        assert!(agent(&proxy, "file-entry").up && http(&proxy, "/ready").up && http(&proxy, "/live").up);
    }
    assert!(crowd.len() > 100, "a flood that did not come shows nothing");
    // Half a call, and silence, end; a kept connection does not.
    let mut kept = TcpStream::connect(at).unwrap();
    let mut reply = [0; 15];
    for _ in 0..3 {
        kept.write_all(b"HEAD /live HTTP/1.1\r\nHost: p\r\n\r\n").unwrap();
        let mut whole = Vec::new();
        while !whole.ends_with(b"\r\n\r\n") {
            let n = kept.read(&mut reply).unwrap();
            assert!(n > 0);
            whole.extend_from_slice(&reply[..n]);
        }
    }
    // Many calls at once are all answered, in their order.
    kept.write_all(
        &[b"HEAD /live HTTP/1.1\r\nHost: p\r\n\r\n".repeat(999), b"HEAD /none HTTP/1.0\r\n\r\n".to_vec()]
            .concat(),
    )
    .unwrap();
    let mut all = String::new();
    kept.read_to_string(&mut all).unwrap();
    assert_eq!((all.matches("HTTP/1.1 200 ").count(), all.matches("HTTP/1.1 404 ").count()), (999, 1));
    until("silent callers are sent away", || {
        proxy.log().iter().any(|l| l.contains("conn=check") && l.contains("unresponsive"))
    });
    // The log's limit may have passed over the first of them.
    let mut more = Vec::new();
    until("callers beyond the places are shed", || {
        more.extend((0..64).map_while(|_| TcpStream::connect(at).ok()));
        proxy.log().iter().any(|l| l.contains("conn=check") && l.contains("shed"))
    });
    drop(more);
    drop((rude, crowd));
    until("clients are served again", || {
        let mut client = Client::connect(clients).ok();
        client
            .as_mut()
            .and_then(|c| c.write("file-entry", 0, 3000).ok())
            .is_some_and(|r| matches!(r, Reply::Served(_)))
    });
}

/// Clients that come by a balancer: it shares out by weight and connections, and nobody is lost while one proxy is taken out,
/// comes back, and the other drains.
#[test]
fn a_balancer_leads_clients_past_who_leaves() {
    let rig = rig(9, 1);
    let one = rig.start_with_doors(1, 64, "").unwrap();
    let mut two = rig.start_with_doors(2, 64, "<stopping lead-ms='1500'/>").unwrap();
    let rules = Rules { every: Duration::from_millis(50), timeout: PATIENCE, rise: 2, fall: 2 };
    let at = [&one, &two].map(|p| (p.checks("http").unwrap(), p.clients().unwrap()));
    let balancer = Balancer::start(&at, &Check::Http("/class/file-entry".into()), &rules);
    assert!(balancer.wait(0, true, PATIENCE) && balancer.wait(1, true, PATIENCE));
    let mut count = [0; 2];
    let mut go = |n: usize| {
        for _ in 0..n {
            let to = balancer.choose().expect("somebody is up");
            let mut client = Client::connect(balancer.servers()[to].clients).unwrap();
            let reply = client.write("file-entry", 0, 3000).unwrap();
            assert!(matches!(reply, Reply::Served(_)), "{reply:?}");
            balancer.done(to);
            count[to] += 1;
        }
        std::mem::take(&mut count)
    };
    // Two at a time: they go to different ones.
    let (a, b) = (balancer.choose().unwrap(), balancer.choose().unwrap());
    assert_ne!(a, b);
    balancer.done(a);
    balancer.done(b);
    assert_eq!(go(100).iter().sum::<i32>(), 100);
    operator(&one, "maintenance on");
    assert!(balancer.wait(0, false, PATIENCE));
    assert_eq!(go(100), [0, 100]);
    operator(&one, "maintenance off");
    assert!(balancer.wait(0, true, PATIENCE));
    two.signal("TERM");
    assert!(balancer.wait(1, false, PATIENCE));
    assert_eq!(go(100), [100, 0]);
    assert_eq!(two.ended(), Some(0));
    assert_eq!(rig.groups[0].rows.doubles(), 0);
}

/// Balancers that check by PostgreSQL's own greeting take no place that a client has, and leave no flood of lines; and a
/// restart under a flood of checks is over as soon as the process serves.
#[test]
fn greetings_cost_no_place_and_floods_do_not_keep_a_restart() {
    let mut rig = rig(8, 1);
    rig.sockets = 200;
    let at = (rig.free().unwrap(), rig.free().unwrap());
    let options = Rig::options(at.0, at.1, 32, "");
    let proxy = rig.start(1, Some(&options), None).unwrap();
    let clients = proxy.clients().unwrap();
    let served = |c: &mut Client| matches!(c.read("tariff-lookup", 0, 2500), Ok(Reply::Served(_)));
    // As many as may stay idle: 2 in 5 of the 47 places that are left beside all that is kept.
    let mut held: Vec<Client> = (0..18).map(|_| Client::connect(clients).unwrap()).collect();
    assert!(held.iter_mut().all(served));
    for n in 0..400 {
        let mut greeting = Client::connect(clients).unwrap();
        if n % 2 == 0 {
            let _ = greeting.goodbye();
        }
    }
    assert!(held.iter_mut().all(served), "all of them have their connection still");
    let log = proxy.log();
    assert!(!log.iter().any(|l| l.contains("reason=shed")));
    assert!(log.iter().filter(|l| l.contains("conn=client")).count() < 10, "{}", log.len());
    // The flood: checks without end at both addresses, while one process goes and another comes.
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        for n in 0..40 {
            let over = &over;
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let how =
                        if n % 2 == 0 { Check::Http("/ready".into()) } else { Check::Agent(String::new()) };
                    let _ = check(if n % 2 == 0 { at.0 } else { at.1 }, &how, Duration::from_secs(2));
                }
            });
        }
        drop(proxy);
        let again = rig.start(2, Some(&options), None).unwrap();
        until("it is ready under the flood", || {
            check(at.1, &Check::Agent("file-entry".into()), PATIENCE).is_ok_and(|told| told.up)
        });
        let mut client = Client::connect(again.clients().unwrap()).unwrap();
        assert!(served(&mut client));
        over.store(true, Ordering::Relaxed);
    });
}

/// Options are taken whole or not at all, addresses move, and all of it can be switched off and on.
#[test]
fn options_change_at_sighup() {
    let rig = rig(6, 1);
    let (a, b, c) = (rig.free().unwrap(), rig.free().unwrap(), rig.free().unwrap());
    let proxy = rig.start(1, Some(&Rig::options(a, b, 64, "")), None).unwrap();
    let ask = |at: SocketAddr| check(at, &Check::Http("/ready".into()), PATIENCE);
    until("it is ready", || ask(a).is_ok_and(|t| t.up));
    let config = rig.config(1);
    proxy.reload(&config, &Rig::options(c, c, 64, "")).unwrap();
    proxy.line(&["event=reload-failed", ":4: agent", "used by http too"]).unwrap();
    assert!(ask(a).unwrap().up && ask(c).is_err());
    // An address that somebody else has: nothing is taken either.
    let taken = TcpListener::bind((rig.own(), 0)).unwrap();
    proxy.reload(&config, &Rig::options(taken.local_addr().unwrap(), b, 64, "")).unwrap();
    proxy.line(&["event=reload-failed", "listening for http checks"]).unwrap();
    assert!(ask(a).unwrap().up);
    proxy.reload(&config, &Rig::options(c, b, 64, "<claims sum='all'/>")).unwrap();
    until("it moves", || ask(c).is_ok_and(|t| t.up) && ask(a).is_err());
    proxy.reload(&config, "<birchreach-options/>").unwrap();
    until("it is off", || ask(c).is_err());
    assert!(operator(&proxy, "maintenance on").starts_with("NO no such call"));
    proxy.reload(&config, &Rig::options(a, b, 64, "")).unwrap();
    until("it is on again", || ask(a).is_ok_and(|t| t.up));
}

fn operator(proxy: &Process, call: &str) -> String {
    let mut stream = TcpStream::connect(proxy.operators().unwrap()).unwrap();
    writeln!(stream, "{call}").unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply
}

fn run(args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(PROGRAM).env_remove("RELAY_CONFIG").args(args).output().unwrap();
    (out.status.code(), String::from_utf8(out.stdout).unwrap() + &String::from_utf8(out.stderr).unwrap())
}

#[test]
fn operators_ask_and_set_maintenance() {
    let rig = rig(7, 2);
    let proxy = rig.start_with_doors(1, 64, "").unwrap();
    let at = proxy.checks("http").unwrap().to_string();
    until("it is ready", || run(&["health", "--at", &at]).0 == Some(0));
    let (_, text) = run(&["health", "--at", &at]);
    assert!(text.starts_with("ready: able yes, weight 100%") && text.contains("class file-entry"), "{text}");
    let (code, json) = run(&["health", "--at", &at, "--json"]);
    assert!(code == Some(0) && json.starts_with("{\"state\":\"ready\""), "{json}");
    assert_eq!(run(&["health", "--at", &at, "--class", "file-entry", "--group", "1"]).0, Some(0));
    assert_eq!(run(&["health", "--at", &at, "--class", "none"]).0, Some(2));
    assert!(operator(&proxy, "maintenance on").starts_with("YES"));
    until("maintenance is told", || agent(&proxy, "").text == "maint\n");
    let (code, text) = run(&["health", "--at", &at]);
    assert!(code == Some(1) && text.starts_with("maintenance: able no"), "{text}");
    // Clients that come all the same are served: it is the balancers that are told.
    let mut client = Client::connect(proxy.clients().unwrap()).unwrap();
    assert!(matches!(client.read("tariff-lookup", 0, 2500).unwrap(), Reply::Served(_)));
    assert!(operator(&proxy, "maintenance off").starts_with("YES"));
    until("it is back", || agent(&proxy, "").up);
    drop(proxy);
    assert_eq!(run(&["health", "--at", &at, "--timeout", "500"]).0, Some(2));
    assert_eq!(run(&["health"]).0, Some(2));
}

#[test]
fn check_prints_every_fault_with_its_place() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let whole = include_str!("../../example/config.json");
    let faulty =
        whole.replace("\"deadline_ms\": 1200.0", "\"deadline_ms\": 0").replace("127.0.0.1:6432", "here");
    let (json, xml) = (folder.join("check.json"), folder.join("check.xml"));
    std::fs::write(&json, faulty).unwrap();
    std::fs::write(&xml, "<birchreach-options>\n<health>\n<http listen='127.0.0.1:6433' callers='x'/>\n</health>\n</birchreach-options>").unwrap();
    let (json, xml) = (json.to_str().unwrap(), xml.to_str().unwrap());
    let (code, text) = run(&["check", "--config", json, "--options", xml]);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!((code, lines.len()), (Some(2), 3), "{text}");
    assert!(lines[0].starts_with(&format!("{json}:6: settings: classes[0].deadline_ms: ")), "{text}");
    assert!(lines[1].starts_with(&format!("{json}:1: listen: ")), "{text}");
    assert!(lines[2].starts_with(&format!("{xml}:3: http: callers: 'x' ")), "{text}");
    std::fs::write(json, whole).unwrap();
    std::fs::write(
        xml,
        Rig::options("127.0.0.1:6433".parse().unwrap(), "127.0.0.1:1".parse().unwrap(), 4, ""),
    )
    .unwrap();
    let (code, text) = run(&["check", "--config", json, "--options", xml]);
    assert!(
        code == Some(2) && text.contains(":3: http: listen: 127.0.0.1:6433 is used as operator already"),
        "{text}"
    );
    assert_eq!(run(&["check", "--config", json]), (Some(0), "no faults\n".into()));
    std::fs::write(json, whole.replace("\"my_zone\": 0,", "\"my_zone\": 7, \"my_rack\": 1,")).unwrap();
    let (code, text) = run(&["check", "--config", json]);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!((code, lines.len(), lines.last()), (Some(0), 3, Some(&"no faults")), "{text}");
    assert!(lines[0].starts_with(&format!("doubt: {json}:4: settings: my_rack: unknown")), "{text}");
    assert!(lines[1].starts_with(&format!("doubt: {json}:4: settings: my_zone: ")), "{text}");
    assert_eq!(run(&["check", "--config", "/none"]).0, Some(2));
}
