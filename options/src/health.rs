//! Health reports to load balancers, and the listeners that give them: the element `health`. The names of its
//! attributes are mapped here to those of the settings.

use crate::conflicts::addresses_overlap;
use crate::reader::Reader;
use crate::{OptionsError, OptionsErrorKind};
use birchreach_health::{
    AggregationRule, HealthSettings, IdleGroupPolicy, Micros, OverloadPolicy, ProbeSettings,
    SharedCausePolicy, WeightSettings,
};
use std::net::SocketAddr;
use uppsala::NodeId;

/// How long draining is reported before the proxy stops listening for clients.
const DEFAULT_SHUTDOWN_NOTICE_MICROS: Micros = 3_000_000;
/// How long a connection without requests stays open.
const DEFAULT_IDLE_TIMEOUT_MICROS: Micros = 65_000_000;
/// How long an agent-check may take to name what it asks about.
const DEFAULT_QUERY_TIMEOUT_MICROS: Micros = 20_000;
/// How long a connection may have an incomplete request or an unread response.
const DEFAULT_SILENCE_TIMEOUT_MICROS: Micros = 2_000_000;
/// Connections of balancers that a listener has open at once.
const DEFAULT_MAX_CONNECTIONS: usize = 64;

/// Health reports to load balancers, and the listeners that give them.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthOptions {
    /// HTTP checks.
    pub http: Option<KeepAliveListener>,
    /// Agent-checks.
    pub agent: Option<AgentListener>,
    /// gRPC checks.
    pub grpc: Option<KeepAliveListener>,
    /// The monitor's settings. Classes and seed are left for the program to fill in.
    pub settings: HealthSettings,
    /// After SIGTERM, draining is reported for this long before the proxy stops listening for clients.
    pub shutdown_notice: Micros,
}

/// A listener for health checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckListener {
    /// The address.
    pub address: SocketAddr,
    /// The line of the file that has it.
    pub line: usize,
    /// The most connections open at once.
    pub max_connections: usize,
    /// A connection that sends no complete request, or doesn't read its response, is closed after this time.
    pub silence_timeout: Micros,
}

/// A listener whose connections may stay open between requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeepAliveListener {
    /// The listener.
    pub listener: CheckListener,
    /// A connection without requests is closed after this time.
    pub idle_timeout: Micros,
}

/// The listener for agent-checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentListener {
    /// The listener.
    pub listener: CheckListener,
    /// A balancer that sends nothing for this long gets the report on the proxy as a whole.
    pub query_timeout: Micros,
    /// Replies say how many connections the balancer may open.
    pub reports_maxconn: bool,
}

impl HealthOptions {
    /// All listeners, each with the name of its element.
    pub fn check_listeners(&self) -> impl Iterator<Item = (&'static str, &CheckListener)> {
        let http = self.http.as_ref().map(|http| ("http", &http.listener));
        let agent = self.agent.as_ref().map(|agent| ("agent", &agent.listener));
        let grpc = self.grpc.as_ref().map(|grpc| ("grpc", &grpc.listener));
        http.into_iter().chain(agent).chain(grpc)
    }
}

impl Reader<'_> {
    /// Element `health`.
    pub(crate) fn health(&mut self, node: NodeId) -> Option<HealthOptions> {
        let http = self.child(node, "http").and_then(|http| self.keep_alive_listener(http));
        let grpc = self.child(node, "grpc").and_then(|grpc| self.keep_alive_listener(grpc));
        let agent = self.child(node, "agent").and_then(|agent| self.agent_listener(agent));
        let settings = self.health_settings(node);
        let mut shutdown_notice = DEFAULT_SHUTDOWN_NOTICE_MICROS;
        if let Some(stopping) = self.child(node, "stopping") {
            self.read_milliseconds(stopping, "lead-ms", &mut shutdown_notice);
        }
        self.report_contradictions(node, &settings);
        if http.is_none() && agent.is_none() && grpc.is_none() {
            self.add_error(node, OptionsErrorKind::NoHealthListener);
        }
        let health = HealthOptions { http, agent, grpc, settings, shutdown_notice };
        self.report_shared_addresses(&health);
        Some(health)
    }

    /// The monitor's settings, from the child elements.
    fn health_settings(&mut self, node: NodeId) -> HealthSettings {
        let mut settings = HealthSettings::default();
        if let Some(claims) = self.child(node, "claims") {
            self.claims(claims, &mut settings);
        }
        if let Some(probes) = self.child(node, "probes") {
            settings.probes = Some(self.probes(probes));
        }
        if let Some(weight) = self.child(node, "weight") {
            self.weight(weight, &mut settings.weight);
            self.read_number(weight, "overload-at", &mut settings.overload_pressure);
        }
        settings
    }

    /// Adds an error for each contradiction, at the element that has the option, or else at `node`.
    fn report_contradictions(&mut self, node: NodeId, settings: &HealthSettings) {
        let elements = ["claims", "probes", "weight", "stopping"].map(|name| self.child(node, name));
        for error in settings.errors() {
            let has_option = |element: &NodeId| self.doc.get_attribute(*element, error.option()).is_some();
            let at = elements.into_iter().flatten().find(has_option).unwrap_or(node);
            self.add_error(at, OptionsErrorKind::HealthSettings(error));
        }
    }

    /// Adds an error for each listener whose address an earlier one uses.
    fn report_shared_addresses(&mut self, health: &HealthOptions) {
        let listeners: Vec<_> = health.check_listeners().collect();
        for (index, (element, listener)) in listeners.iter().enumerate() {
            let mut earlier = listeners[..index].iter();
            if let Some((other, _)) =
                earlier.find(|(_, other)| addresses_overlap(other.address, listener.address))
            {
                let kind = OptionsErrorKind::SharedAddress { address: listener.address, element: other };
                self.errors.push(OptionsError::new(listener.line, *element, kind));
            }
        }
    }

    /// Element `http` or `grpc`.
    fn keep_alive_listener(&mut self, node: NodeId) -> Option<KeepAliveListener> {
        let listener = self.check_listener(node)?;
        let mut keep_alive = KeepAliveListener { listener, idle_timeout: DEFAULT_IDLE_TIMEOUT_MICROS };
        self.read_milliseconds(node, "idle-ms", &mut keep_alive.idle_timeout);
        Some(keep_alive)
    }

    /// Element `agent`.
    fn agent_listener(&mut self, node: NodeId) -> Option<AgentListener> {
        let listener = self.check_listener(node)?;
        let mut query_timeout = DEFAULT_QUERY_TIMEOUT_MICROS;
        self.read_milliseconds(node, "ask-ms", &mut query_timeout);
        let reports_maxconn = matches!(self.doc.get_attribute(node, "maxconn"), Some("true" | "1"));
        Some(AgentListener { listener, query_timeout, reports_maxconn })
    }

    /// What the elements of all listeners have.
    fn check_listener(&mut self, node: NodeId) -> Option<CheckListener> {
        let mut listener = CheckListener {
            address: self.value(node, "listen")?,
            line: self.doc.node_line(node),
            max_connections: DEFAULT_MAX_CONNECTIONS,
            silence_timeout: DEFAULT_SILENCE_TIMEOUT_MICROS,
        };
        self.read_number(node, "callers", &mut listener.max_connections);
        self.read_milliseconds(node, "silent-ms", &mut listener.silence_timeout);
        Some(listener)
    }

    /// Element `probes`.
    fn probes(&mut self, node: NodeId) -> ProbeSettings {
        let mut probes = ProbeSettings::default();
        self.read_milliseconds(node, "every-ms", &mut probes.interval);
        self.read_milliseconds(node, "suspect-ms", &mut probes.suspect_after);
        self.read_milliseconds(node, "timeout-ms", &mut probes.timeout);
        self.read_number(node, "group-per-s", &mut probes.group_rate_per_s);
        self.read_number(node, "whole-per-s", &mut probes.total_rate_per_s);
        probes
    }

    /// Element `weight`.
    fn weight(&mut self, node: NodeId, weight: &mut WeightSettings) {
        self.read_number(node, "knee", &mut weight.reduce_above);
        self.read_number(node, "hot", &mut weight.trim_above);
        self.read_number(node, "least", &mut weight.percent_at_full_pressure);
        self.read_number(node, "up-per-s", &mut weight.max_rise_factor_per_s);
        self.read_number(node, "down-per-s", &mut weight.max_fall_factor_per_s);
        self.read_milliseconds(node, "settle-ms", &mut weight.settling_time);
    }

    /// Element `claims`: what is reported, and when.
    fn claims(&mut self, node: NodeId, settings: &mut HealthSettings) {
        let idle = [("trust", IdleGroupPolicy::TrustEndpointList), ("withdraw", IdleGroupPolicy::Withdraw)];
        let shared = [("tell", SharedCausePolicy::StayInRotation), ("down", SharedCausePolicy::ReportDown)];
        let overload = [("weight", OverloadPolicy::ReduceWeight), ("down", OverloadPolicy::ReportDown)];
        let sum = [("any", AggregationRule::AnyGroup), ("all", AggregationRule::AllGroups)];
        self.read_choice(node, "idle", idle, &mut settings.idle_groups);
        self.read_choice(node, "shared", shared, &mut settings.shared_causes);
        self.read_choice(node, "overload", overload, &mut settings.overload);
        self.read_choice(node, "sum", sum, &mut settings.aggregation);
        for (name, setting) in [
            ("window-ms", &mut settings.proof_window),
            ("fall-ms", &mut settings.withdraw_after),
            ("rise-ms", &mut settings.restore_after),
            ("rise-most-ms", &mut settings.restore_after_max),
            ("hold-able-ms", &mut settings.min_time_available),
            ("hold-unable-ms", &mut settings.min_time_unavailable),
            ("hang-probed-ms", &mut settings.silence_limit_probed),
            ("hang-ms", &mut settings.silence_limit_unprobed),
            ("discovery-after-ms", &mut settings.discovery_timeout),
        ] {
            self.read_milliseconds(node, name, setting);
        }
    }
}
