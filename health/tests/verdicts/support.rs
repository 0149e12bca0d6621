//! Simulates the health monitor of a proxy in virtual time.

use crate::common::request_classes;
use birchreach_health::agent::{self, AgentCheckConnection};
use birchreach_health::http::HttpCheckConnection;
use birchreach_health::{
    AttemptOutcome, Change, GroupId, HealthEvent, HealthSettings, Micros, Monitor, ProbeSettings, Role,
    ServerId,
};

pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;

/// A monitor and its virtual time.
pub(crate) struct SimulatedProxy {
    pub now: Micros,
    pub monitor: Monitor,
}

/// Creates a proxy with some groups. Group g has the primary 10 g and the replica 10 g + 1.
pub(crate) fn simulated_proxy(groups: u32, settings: HealthSettings) -> SimulatedProxy {
    let classes = request_classes();
    let settings = HealthSettings { classes, ..settings };
    assert_eq!(settings.errors(), []);
    let start = 100 * SECOND;
    let mut proxy = SimulatedProxy { now: start, monitor: Monitor::new(settings, start) };
    for group in 0..groups {
        for (server, primary) in [(group * 10, true), (group * 10 + 1, false)] {
            proxy.list(server, group, primary);
        }
    }
    proxy
}

/// Creates a proxy with one group that has a proven primary. The count of capability changes starts at 0.
pub(crate) fn proxy_with_proven_primary(settings: HealthSettings) -> SimulatedProxy {
    let mut proxy = simulated_proxy(1, settings);
    proxy.write(0, 5 * MILLISECOND);
    proxy.count_capability_changes();
    proxy
}

pub(crate) fn settings_with_probes() -> HealthSettings {
    HealthSettings { probes: Some(ProbeSettings::default()), ..HealthSettings::default() }
}

impl SimulatedProxy {
    /// Passes an event to the monitor and updates the monitor if that is due.
    pub(crate) fn handle(&mut self, event: HealthEvent) {
        self.monitor.handle_event(self.now, event);
        if self.monitor.next_change() <= self.now {
            self.monitor.update(self.now);
        }
    }

    /// Advances the time. A probe sent during that time is answered at once if `role_of` returns a role for the probed
    /// server, and never otherwise.
    pub(crate) fn advance(&mut self, span: Micros, role_of: impl Fn(ServerId) -> Option<Role>) {
        let until = self.now + span;
        while self.monitor.next_change() <= until {
            self.now = self.monitor.next_change();
            self.monitor.update(self.now);
            for server in self.monitor.take_probes() {
                if let Some(role) = role_of(server) {
                    let (outcome, role) = (AttemptOutcome::Answered, Some(role));
                    self.handle(HealthEvent::ProbeEnded { server, outcome, role });
                }
            }
        }
        self.now = until;
    }

    /// Lists a server that accepts work.
    pub(crate) fn list(&mut self, server: u32, group: u32, primary: bool) {
        self.handle(HealthEvent::ServerListed {
            server: ServerId(server),
            group: GroupId(group),
            primary: Some(primary),
            accepts_work: true,
        });
    }

    pub(crate) fn send(&mut self, server: u32) {
        self.handle(HealthEvent::AttemptSent { server: ServerId(server) });
    }

    /// Ends an attempt that was sent to the server.
    pub(crate) fn end(&mut self, server: u32, write: bool, outcome: AttemptOutcome, role: Option<Role>) {
        self.handle(HealthEvent::AttemptEnded { server: ServerId(server), write, outcome, role });
    }

    /// Sends an attempt to a server that refuses the connection.
    pub(crate) fn send_refused(&mut self, server: u32, write: bool) {
        self.send(server);
        self.end(server, write, AttemptOutcome::Refused, None);
    }

    /// Sends a write that the server, as primary, answers after `duration`.
    pub(crate) fn write(&mut self, server: u32, duration: Micros) {
        self.send(server);
        self.advance(duration, |_| None);
        self.end(server, true, AttemptOutcome::Answered, Some(Role::Primary));
    }

    /// Returns the reply to an agent-check with this line.
    pub(crate) fn agent_reply(&self, line: &str) -> String {
        let query = AgentCheckConnection::default().feed(format!("{line}\n").as_bytes()).unwrap();
        agent::reply(&query, self.monitor.verdict(), None)
    }

    /// Returns the response to a GET request for this path.
    pub(crate) fn http_get(&self, path: &str) -> String {
        self.http_exchange(&format!("GET {path} HTTP/1.1\r\nHost: p\r\n\r\n"))
    }

    /// Returns the output of a new HTTP connection that receives this input.
    pub(crate) fn http_exchange(&self, input: &str) -> String {
        let mut connection = HttpCheckConnection::default();
        connection.feed(input.as_bytes());
        connection.process(self.now, self.monitor.verdict(), &|server| format!("s-{}", server.0));
        String::from_utf8(connection.output).unwrap()
    }

    /// Returns the number of capability changes since the last call.
    pub(crate) fn count_capability_changes(&mut self) -> usize {
        let changes = self.monitor.take_changes();
        changes.iter().filter(|change| matches!(change, Change::Capability { .. })).count()
    }
}
