//! The hard cases as the decisions see them, in virtual time, and what the protocols then say.

use birchreach_health::agent;
use birchreach_health::http::HttpCheckConnection;
use birchreach_health::*;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

/// A proxy before some groups of a primary (10 n) and a replica (10 n + 1).
struct Proxy {
    now: Micros,
    monitor: Monitor,
}

fn proxy(groups: u32, settings: HealthSettings) -> Proxy {
    let class = |name: &str, needs| RequestClass { name: name.into(), needs };
    let classes =
        vec![class("file-entry", RequiredServer::Primary), class("tariff-lookup", RequiredServer::AnyMember)];
    let settings = HealthSettings { classes, ..settings };
    assert_eq!(settings.errors(), []);
    let mut p = Proxy { now: 100 * S, monitor: Monitor::new(settings, 100 * S) };
    for g in 0..groups {
        for (n, primary) in [(g * 10, true), (g * 10 + 1, false)] {
            p.tell(HealthEvent::ServerListed {
                server: ServerId(n),
                group: GroupId(g),
                primary: Some(primary),
                up: true,
            });
        }
    }
    p
}

impl Proxy {
    fn tell(&mut self, fact: HealthEvent) {
        self.monitor.handle_event(self.now, fact);
        if self.monitor.next_change() <= self.now {
            self.monitor.update(self.now);
        }
    }

    /// Time passes; what is probed meanwhile is answered, or not.
    fn pass(&mut self, span: Micros, probed: impl Fn(ServerId) -> Option<Role>) {
        let until = self.now + span;
        while self.monitor.next_change() <= until {
            self.now = self.monitor.next_change();
            self.monitor.update(self.now);
            for server in self.monitor.take_probes() {
                if let Some(role) = probed(server) {
                    self.tell(HealthEvent::ProbeEnded {
                        server,
                        outcome: ProbeOutcome::Answered,
                        role: Some(role),
                    });
                }
            }
        }
        self.now = until;
    }

    fn sent(&mut self, n: u32) {
        self.tell(HealthEvent::RequestSent { server: ServerId(n) });
    }

    fn ended(&mut self, n: u32, write: bool, how: ProbeOutcome, role: Option<Role>) {
        self.tell(HealthEvent::RequestEnded { server: ServerId(n), write, outcome: how, role });
    }

    /// A write that is served after this time.
    fn write(&mut self, n: u32, spent: Micros) {
        self.sent(n);
        self.pass(spent, |_| None);
        self.ended(n, true, ProbeOutcome::Answered, Some(Role::Primary));
    }

    fn asks(&self, line: &str) -> String {
        let asked = agent::AgentCheckConnection::default().feed(format!("{line}\n").as_bytes()).unwrap();
        agent::reply(&asked, self.monitor.verdict(), None)
    }

    fn gets(&self, path: &str) -> String {
        self.calls(&format!("GET {path} HTTP/1.1\r\nHost: p\r\n\r\n"))
    }

    fn calls(&self, text: &str) -> String {
        let mut caller = HttpCheckConnection::default();
        caller.feed(text.as_bytes());
        caller.process(self.now, self.monitor.verdict(), &|s| format!("s-{}", s.0));
        String::from_utf8(caller.output).unwrap()
    }

    fn changes(&mut self) -> usize {
        let claims = self.monitor.take_changes();
        claims.iter().filter(|c| matches!(c, Change::Capability { .. })).count()
    }
}

fn probing() -> HealthSettings {
    HealthSettings { probes: Some(ProbeSettings::default()), ..HealthSettings::default() }
}

/// Cases 1 and 2: a hang is told within 2 s, reads stay; the list alone does not bring the claim back, a proof does.
#[test]
fn a_hang_is_told_in_time_and_only_a_proof_takes_it_back() {
    let mut p = proxy(1, HealthSettings::default());
    p.write(0, 5 * MS);
    assert_eq!(p.asks("file-entry"), "ready up 100%\n");
    let hung = p.now;
    p.sent(0);
    p.pass(1900 * MS, |_| None);
    assert!(p.now - hung < 2 * S);
    assert_eq!(p.asks("file-entry"), "ready down #primary-silent\n");
    assert_eq!(p.asks("tariff-lookup"), "ready up 100%\n");
    assert_eq!(p.asks(""), "ready up 100%\n", "the cause is shared: the proxy stays in rotation");
    assert!(p.gets("/class/file-entry/group/0").starts_with("HTTP/1.1 503 "));
    assert!(p.gets("/ready").contains("x-envoy-degraded: true"));
    // The list comes to name another one, seconds late.
    p.pass(4 * S, |_| None);
    p.tell(HealthEvent::ServerListed {
        server: ServerId(0),
        group: GroupId(0),
        primary: Some(false),
        up: true,
    });
    p.tell(HealthEvent::ServerListed {
        server: ServerId(1),
        group: GroupId(0),
        primary: Some(true),
        up: true,
    });
    p.pass(20 * S, |_| None);
    assert_eq!(p.asks("group=0 write"), "ready down #primary-silent\n");
    p.sent(1);
    p.ended(1, false, ProbeOutcome::Answered, Some(Role::Primary));
    p.pass(50 * MS, |_| None);
    assert_eq!(p.asks("file-entry"), "ready down #recovering\n", "good news must last");
    p.pass(2 * S, |_| None);
    assert_eq!(p.asks("file-entry"), "ready up 100%\n");
}

/// Cases 3 and 4: one group of four, then all.
#[test]
fn a_missing_primary_is_told_where_it_is_asked_for() {
    let mut p = proxy(4, HealthSettings::default());
    for g in 0..4 {
        p.write(g * 10, 5 * MS);
    }
    p.sent(20);
    p.ended(20, true, ProbeOutcome::Refused, None);
    p.pass(S, |_| None);
    assert_eq!(p.asks("group=2 write"), "ready down #primary-gone\n");
    assert_eq!(p.asks("group=1 write"), "ready up 100%\n");
    assert_eq!(p.asks("group=2"), "ready up 100%\n");
    assert_eq!(p.asks("file-entry"), "ready up 75%\n");
    assert_eq!(p.asks(""), "ready up 100%\n");
    assert_eq!(p.monitor.verdict().state, State::Degraded);
    for g in [0, 1, 3] {
        p.sent(g * 10);
        p.ended(g * 10, true, ProbeOutcome::Refused, None);
    }
    p.pass(S, |_| None);
    assert_eq!(p.monitor.verdict().state, State::NoPrimary);
    assert_eq!(p.asks("file-entry"), "ready down #primary-gone\n");
    assert_eq!(p.asks("tariff-lookup"), "ready up 100%\n");
    assert_eq!(p.asks(""), "ready up 100%\n", "else the balancer has nobody left");
    // The other way, for a balancer of writes alone.
    let mut strict = proxy(
        1,
        HealthSettings { shared_causes: SharedCausePolicy::ReportDown, ..HealthSettings::default() },
    );
    strict.write(0, MS);
    strict.sent(0);
    strict.ended(0, true, ProbeOutcome::Refused, None);
    strict.pass(S, |_| None);
    assert_eq!(strict.asks(""), "ready down #primary-gone\n");
}

/// Case 5: silent for 300 ms of every second; then for 1.9 s of every 3.1.
#[test]
fn a_stuttering_primary_makes_few_transitions() {
    let mut p = proxy(1, HealthSettings::default());
    p.write(0, 5 * MS);
    p.changes();
    for _ in 0..60 {
        p.sent(0);
        p.pass(300 * MS, |_| None);
        p.ended(0, true, ProbeOutcome::Answered, Some(Role::Primary));
        for _ in 0..7 {
            p.write(0, 100 * MS);
        }
    }
    assert_eq!(p.changes(), 0);
    // Long ones are told, but each rise is slower than the one before.
    let mut p = proxy(1, HealthSettings::default());
    p.write(0, 5 * MS);
    p.changes();
    for _ in 0..60 {
        p.sent(0);
        p.pass(1900 * MS, |_| None);
        p.ended(0, true, ProbeOutcome::Unanswered, None);
        p.write(0, 5 * MS);
        p.pass(1200 * MS, |_| None);
    }
    let changes = p.changes();
    assert!((2..=16).contains(&changes), "{changes} in three minutes");
}

/// Case 6: requests that take long, and nothing else. With probes, of any length; without, up to the limit.
#[test]
fn heavy_requests_withdraw_nothing() {
    let mut p = proxy(1, probing());
    p.write(0, 5 * MS);
    p.changes();
    for _ in 0..20 {
        p.sent(0);
        p.pass(8 * S, |s| Some(if s == ServerId(0) { Role::Primary } else { Role::Replica }));
        p.ended(0, true, ProbeOutcome::Answered, Some(Role::Primary));
    }
    assert_eq!(p.changes(), 0);
    let mut p = proxy(1, HealthSettings::default());
    p.changes();
    for _ in 0..50 {
        p.write(0, 1600 * MS);
    }
    assert_eq!(p.changes(), 0);
}

#[test]
fn a_hang_is_told_with_probes_too_and_idle_groups_are_proven_by_them() {
    let primary = |s: ServerId| Some(if s.0.is_multiple_of(10) { Role::Primary } else { Role::Replica });
    let mut p = proxy(4, HealthSettings { idle_groups: IdleGroupPolicy::Withdraw, ..probing() });
    p.pass(60 * S, primary);
    assert_eq!(p.asks("file-entry"), "ready up 100%\n", "no client ever came");
    p.changes();
    p.pass(60 * S, primary);
    assert_eq!(p.changes(), 0);
    // All go silent, with no request out.
    p.tell(HealthEvent::DiscoveryAnswered);
    p.pass(8 * S, |_| None);
    assert_eq!(p.asks("file-entry"), "ready down #primary-silent\n");
}

#[test]
fn own_faults_speak_for_every_capability() {
    let mut p = proxy(2, HealthSettings::default());
    p.write(0, MS);
    p.write(10, MS);
    p.tell(HealthEvent::Maintenance(true));
    assert_eq!((p.asks(""), p.asks("group=1 read")), ("maint\n".into(), "maint\n".into()));
    assert!(p.gets("/group/0/read").contains("x-envoy-immediate-health-check-fail: true"));
    p.tell(HealthEvent::Maintenance(false));
    assert_eq!(p.asks("group=1 read"), "ready up 100%\n");
    // Another process takes over, at an instant known ahead; and then does not after all.
    let at = p.now + 20 * MS;
    p.tell(HealthEvent::HandoverAt(Some(at)));
    p.pass(19 * MS, |_| None);
    assert_eq!(p.asks(""), "ready up 100%\n");
    p.pass(MS, |_| None);
    assert_eq!(p.asks("file-entry"), "drain\n");
    p.tell(HealthEvent::HandoverAt(None));
    assert_eq!(p.asks(""), "ready up 100%\n");
    p.tell(HealthEvent::Stopping);
    assert_eq!((p.asks(""), p.monitor.verdict().state), ("drain\n".into(), State::Draining));
    assert_eq!(p.monitor.verdict().overall.weight_percent, 0);
    // One that waits for its predecessor is not ready before.
    let mut successor = proxy(1, HealthSettings::default());
    let at = successor.now + 500 * MS;
    successor.tell(HealthEvent::ReadyAt(at));
    assert_eq!(successor.asks(""), "ready down #starting\n");
    successor.pass(500 * MS, |_| None);
    assert_eq!(successor.asks(""), "ready up 100%\n");
}

#[test]
fn blind_is_discovery_and_databases_together() {
    let mut p = proxy(1, HealthSettings::default());
    p.tell(HealthEvent::DiscoveryAnswered);
    p.write(0, MS);
    // Without requests, a silent discovery alone is no blindness.
    p.pass(120 * S, |_| None);
    assert_eq!(p.monitor.verdict().state, State::Ready);
    for n in [0, 1] {
        p.sent(n);
        p.ended(n, false, ProbeOutcome::Refused, None);
    }
    p.pass(2 * S, |_| None);
    assert_eq!((p.monitor.verdict().state, p.asks("")), (State::Blind, "ready down #blind\n".into()));
    // With discovery at hand it is the databases' fault, and others see the same.
    let mut p = proxy(1, HealthSettings::default());
    p.tell(HealthEvent::DiscoveryAnswered);
    for n in [0, 1] {
        p.sent(n);
        p.ended(n, false, ProbeOutcome::Refused, None);
    }
    p.pass(2 * S, |_| None);
    assert_eq!(p.monitor.verdict().state, State::NoPrimary);
    assert!(p.monitor.verdict().overall.available);
}

#[test]
fn an_overloaded_proxy_gets_lighter_and_stays_unless_told_otherwise() {
    let mut down =
        proxy(1, HealthSettings { overload: OverloadPolicy::ReportDown, ..HealthSettings::default() });
    let mut p = proxy(1, HealthSettings::default());
    for p in [&mut p, &mut down] {
        for _ in 0..240 {
            p.pass(250 * MS, |_| None);
            p.tell(HealthEvent::Load { pressure: 1.0, in_progress: 9, queued: 1, client_capacity: 2 });
        }
        assert_eq!(p.monitor.verdict().state, State::Overloaded);
    }
    let weight = p.monitor.verdict().overall.weight_percent;
    assert!((1..=10).contains(&weight), "{weight}");
    assert_eq!(p.asks(""), format!("ready up {weight}%\n"));
    assert_eq!(down.asks(""), "ready down #overloaded\n");
    assert!(p.gets("/ready").contains("x-envoy-degraded: true"));
}

#[test]
fn http_calls_are_answered_in_order_and_bad_ones_end_the_connection() {
    let mut p = proxy(2, HealthSettings::default());
    p.write(0, MS);
    p.pass(50 * MS, |_| None);
    let ready = p.gets("/ready");
    for part in ["HTTP/1.1 200 OK\r\n", "Cache-Control: no-store\r\n", "Content-Type: application/json\r\n"] {
        assert!(ready.contains(part), "{ready}");
    }
    let whole = p.gets("/health");
    let body: serde_json::Value = serde_json::from_str(whole.split("\r\n\r\n").nth(1).unwrap()).unwrap();
    assert_eq!((&body["state"], &body["groups"][0]["primary"]), (&"ready".into(), &"s-0".into()));
    assert_eq!(body["classes"][0]["class"], "file-entry");
    let head = p.calls("HEAD /ready HTTP/1.1\r\nHost: p\r\n\r\n");
    assert!(head.ends_with("\r\n\r\n") && head.contains("Content-Length: ") && !head.contains("Length: 0"));
    assert!(p.calls("OPTIONS * HTTP/1.1\r\nHost: p\r\n\r\n").contains("Allow: GET, HEAD, OPTIONS"));
    // Pipelined, with a body that is passed over; the last one closes.
    let piped = p.calls(
        "GET /live HTTP/1.1\r\nHost: p\r\nContent-Length: 3\r\n\r\nabcGET /x HTTP/1.1\r\nHost: p\r\n\r\n\
         GET /ready HTTP/1.0\r\n\r\nGET /live HTTP/1.1\r\nHost: p\r\n\r\n",
    );
    let statuses: Vec<&str> = piped.split("HTTP/1.1 ").skip(1).map(|r| &r[..3]).collect();
    assert_eq!(statuses, ["200", "404", "200"], "nothing behind the one that closes");
    assert!(piped.contains("Connection: close"));
    for (call, status) in [
        ("POST /ready HTTP/1.1\r\nHost: p\r\n\r\n", 405),
        ("GET /ready HTTP/1.1\r\n\r\n", 400),
        ("GET /ready HTTP/1.1\r\nHost: p\r\nHost: q\r\n\r\n", 400),
        ("GET /ready HTTP/3.0\r\nHost: p\r\n\r\n", 505),
        ("GET /ready HTTP/1.1\r\nHost: p\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        ("GET /ready HTTP/1.1\r\nHost: p\r\nContent-Length: x\r\n\r\n", 400),
        ("GET /ready HTTP/1.1\r\nHost: p\r\nContent-Length: 99999\r\n\r\n", 413),
        ("GET /ready HTTP/1.1\r\nHost: p\r\nTransfer-Encoding: chunked\r\n\r\n", 501),
        (&format!("GET /{} HTTP/1.1\r\nHost: p\r\n\r\n", "x".repeat(2000)), 414),
        (&format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(100)), 431),
        (&format!("GET / HTTP/1.1\r\nHost: {}", "x".repeat(9000)), 431),
        ("\u{16}\u{3}\u{1}\u{2}\0\u{1}\0\u{1}", 400),
        ("up\r\n\r\n", 400),
        ("GET /class/none HTTP/1.1\r\nHost: p\r\n\r\n", 404),
        ("GET /group/7/read HTTP/1.1\r\nHost: p\r\n\r\n", 404),
        ("GET /class/file%2Dentry HTTP/1.1\r\nHost: p\r\n\r\n", 200),
    ] {
        let got = p.calls(call);
        assert!(got.starts_with(&format!("HTTP/1.1 {status} ")), "{call:?}: {got}");
    }
    assert_eq!(p.calls("GET /live HTTP/1.1\r\nHo"), "", "half a call gets nothing yet");
}

#[test]
fn what_nobody_reads_is_bounded() {
    let p = proxy(1, HealthSettings::default());
    let mut caller = HttpCheckConnection::default();
    let call = b"GET /health HTTP/1.1\r\nHost: p\r\n\r\n";
    while caller.wants_input() {
        caller.feed(call);
        caller.process(p.now, p.monitor.verdict(), &|_| String::new());
    }
    assert!(caller.output.len() < http::MAX_PENDING_OUTPUT_BYTES + 4096, "{}", caller.output.len());
    // Once it reads, all that was asked is answered.
    let answered = caller.requests_answered();
    caller.output_written(caller.output.len());
    caller.process(p.now, p.monitor.verdict(), &|_| String::new());
    assert!(caller.requests_answered() > answered);
}

/// Random bytes and broken calls: an answer or nothing, never a panic, and bounded.
#[test]
fn noise_is_harmless() {
    let p = proxy(1, HealthSettings::default());
    let call = b"GET /class/file-entry HTTP/1.1\r\nHost: p\r\nConnection: keep-alive\r\n\r\n";
    for seed in 0..5_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes: Vec<u8> = call.repeat(3);
        for _ in 0..rng.usize(0..6) {
            let at = rng.usize(0..bytes.len());
            match rng.u8(0..3) {
                0 => bytes[at] = rng.u8(..),
                1 => bytes.truncate(at.max(1)),
                _ => bytes.splice(at..at, (0..rng.usize(0..200)).map(|_| b'x')).for_each(drop),
            }
        }
        let (mut caller, mut line) = (HttpCheckConnection::default(), agent::AgentCheckConnection::default());
        for piece in bytes.chunks(rng.usize(1..64)) {
            caller.feed(piece);
            caller.process(p.now, p.monitor.verdict(), &|_| String::new());
            let _ = line.feed(piece);
        }
        let _ = line.input_ended();
        assert!(caller.output.len() < 4096);
    }
}
