//! The bytes of replies to balancers, and the labels in them, as recorded from a run of commit b41bd8a. The
//! configurations of balancers and the scripts of operators depend on them.

mod common;

use birchreach_health::agent::AgentCheckConnection;
use birchreach_health::http::HttpCheckConnection;
use birchreach_health::query::HealthQuery;
use birchreach_health::{
    AttemptOutcome, GroupId, HealthEvent, HealthSettings, Monitor, Reason, Role, ServerId, State, agent,
};
use common::request_classes;

/// Creates a proxy with two groups. The primary of the first group is proven; the primary of the second refuses
/// connections.
fn degraded_proxy() -> Monitor {
    let settings = HealthSettings { classes: request_classes(), ..HealthSettings::default() };
    let mut monitor = Monitor::new(settings, 0);
    for number in 0..2 {
        let (server, group) = (ServerId(number), GroupId(number));
        monitor.handle_event(
            1_000,
            HealthEvent::ServerListed { server, group, primary: Some(true), accepts_work: true },
        );
    }
    monitor.handle_event(1_000, HealthEvent::DiscoveryAnswered);
    monitor.update(1_000);
    let mut write = |now, server, outcome, role| {
        monitor.handle_event(now, HealthEvent::AttemptSent { server });
        monitor.handle_event(now + 1_000, HealthEvent::AttemptEnded { server, write: true, outcome, role });
    };
    write(2_000, ServerId(0), AttemptOutcome::Answered, Some(Role::Primary));
    write(3_000, ServerId(1), AttemptOutcome::Refused, None);
    let load = HealthEvent::Load { pressure: 0.25, in_progress: 3, queued: 2, client_capacity: 40 };
    monitor.handle_event(4_000, load);
    monitor.update(4_000);
    monitor.update(700_000);
    monitor
}

#[test]
fn http_responses_match_the_recorded_bytes() {
    // Given a proxy with one unavailable group
    let monitor = degraded_proxy();
    let name = |server: ServerId| format!("s-{}", server.0);
    for (path, recorded) in [
        (
            "/health",
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 873\r\nCache-Control: no-store\r\nx-envoy-degraded: true\r\n\r\n{\"state\":\"degraded\",\"able\":true,\"partial\":true,\"reason\":\"members-silent\",\"weight\":100,\"since_ms\":300,\"pressure\":0.001,\"in_progress\":3,\"held\":2,\"room\":40,\"discovery_ms\":999,\"ignored\":0,\"classes\":[{\"class\":\"file-entry\",\"able\":true,\"partial\":true,\"reason\":\"primary-gone\",\"weight\":50,\"since_ms\":300},{\"class\":\"tariff-lookup\",\"able\":true,\"partial\":true,\"reason\":\"members-silent\",\"weight\":50,\"since_ms\":300}],\"groups\":[{\"group\":0,\"members\":1,\"primary\":\"s-0\",\"proven_ms\":997,\"read\":{\"able\":true,\"partial\":false,\"reason\":\"proven\",\"weight\":100,\"since_ms\":999},\"write\":{\"able\":true,\"partial\":false,\"reason\":\"proven\",\"weight\":100,\"since_ms\":999}},{\"group\":1,\"members\":1,\"primary\":null,\"proven_ms\":null,\"read\":{\"able\":false,\"partial\":false,\"reason\":\"members-silent\",\"weight\":0,\"since_ms\":300},\"write\":{\"able\":false,\"partial\":false,\"reason\":\"primary-gone\",\"weight\":0,\"since_ms\":300}}]}\n",
        ),
        (
            "/ready",
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 83\r\nCache-Control: no-store\r\nx-envoy-degraded: true\r\n\r\n{\"able\":true,\"partial\":true,\"reason\":\"members-silent\",\"weight\":100,\"since_ms\":300}\n",
        ),
        (
            "/live",
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\nCache-Control: no-store\r\n\r\nalive\n",
        ),
        (
            "/class/file-entry",
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 80\r\nCache-Control: no-store\r\nx-envoy-degraded: true\r\n\r\n{\"able\":true,\"partial\":true,\"reason\":\"primary-gone\",\"weight\":50,\"since_ms\":300}\n",
        ),
        (
            "/group/1",
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 83\r\nCache-Control: no-store\r\nRetry-After: 1\r\n\r\n{\"able\":false,\"partial\":false,\"reason\":\"members-silent\",\"weight\":0,\"since_ms\":300}\n",
        ),
        (
            "/group/1/read",
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 83\r\nCache-Control: no-store\r\nRetry-After: 1\r\n\r\n{\"able\":false,\"partial\":false,\"reason\":\"members-silent\",\"weight\":0,\"since_ms\":300}\n",
        ),
        (
            "/group/1/write",
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 81\r\nCache-Control: no-store\r\nRetry-After: 1\r\n\r\n{\"able\":false,\"partial\":false,\"reason\":\"primary-gone\",\"weight\":0,\"since_ms\":300}\n",
        ),
        (
            "/none",
            "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 19\r\nCache-Control: no-store\r\n\r\nno such capability\n",
        ),
    ] {
        // When a balancer requests a path
        let mut connection = HttpCheckConnection::default();
        connection.feed(format!("GET {path} HTTP/1.1\r\nHost: p\r\n\r\n").as_bytes());
        connection.process(1_000_000, monitor.verdict(), &name);
        // Then the response consists of the recorded bytes
        assert_eq!(String::from_utf8(connection.output).unwrap(), recorded, "{path}");
    }
}

#[test]
fn agent_check_replies_match_the_recorded_bytes() {
    // Given a proxy with one unavailable group
    let monitor = degraded_proxy();
    let reply = |query| agent::reply(&query, monitor.verdict(), Some(40));
    for (line, recorded) in [
        ("", "ready up 100% maxconn:40\n"),
        ("file-entry", "ready up 50% maxconn:40\n"),
        ("tariff-lookup", "ready up 50% maxconn:40\n"),
        ("group=1 write", "ready down #primary-gone\n"),
        ("group=1", "ready down #members-silent\n"),
        ("group=0 class=file-entry", "ready up 100% maxconn:40\n"),
        ("none", "ready down #no-such-capability\n"),
        ("group=x", "ready down #group-is-no-number\n"),
        ("a b", "ready down #word-twice\n"),
        ("port=1", "ready down #unknown-word\n"),
        ("é", "ready down #no-such-capability\n"),
    ] {
        // When a balancer sends a line, then it receives the recorded reply
        let query = AgentCheckConnection::default().feed(format!("{line}\n").as_bytes()).unwrap();
        assert_eq!(reply(query), recorded, "{line}");
    }
    // When the line is too long or not UTF-8, then the reply states the reason
    let too_long = AgentCheckConnection::default().feed(&[b'x'; 4096]).unwrap();
    assert_eq!(reply(too_long), "ready down #line-too-long\n");
    assert_eq!(reply(HealthQuery::parse(b"\xff\xfe")), "ready down #not-text\n");
}

#[test]
fn states_and_reasons_match_the_recorded_labels() {
    // Given the recorded labels
    let states =
        ["starting", "ready", "degraded", "overloaded", "no-primary", "blind", "draining", "maintenance"];
    let reasons = [
        "proven",
        "trusted",
        "recovering",
        "starting",
        "unproven",
        "no-primary",
        "primary-left",
        "primary-silent",
        "primary-gone",
        "primary-demoted",
        "writes-unanswered",
        "writes-held",
        "no-members",
        "members-silent",
        "reads-failing",
        "no-groups",
        "overloaded",
        "blind",
        "draining",
        "replaced",
        "maintenance",
    ];
    // Then the variants have these labels in this order
    assert_eq!(State::ALL.iter().map(|state| state.as_str()).collect::<Vec<_>>(), states);
    assert_eq!(Reason::ALL.iter().map(|reason| reason.as_str()).collect::<Vec<_>>(), reasons);
    // And JSON and the log contain the same labels
    assert_eq!(serde_json::to_string(State::ALL).unwrap(), serde_json::to_string(&states).unwrap());
    assert_eq!(serde_json::to_string(Reason::ALL).unwrap(), serde_json::to_string(&reasons).unwrap());
    assert_eq!(Reason::ALL.iter().map(|reason| reason.to_string()).collect::<Vec<_>>(), reasons);
}
