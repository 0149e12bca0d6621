//! Health reports to load balancers, and the listeners that answer health checks: the element `health`. This module
//! maps the attributes to the fields of [`HealthSettings`], which have other names.

use crate::conflicts::addresses_overlap;
use crate::reader::Reader;
use crate::{OptionsError, OptionsErrorKind};
use birchreach_health::{
    AggregationRule, HealthSettings, IdleGroupPolicy, Micros, OverloadPolicy, ProbeSettings,
    SharedCausePolicy, WeightSettings,
};
use std::net::SocketAddr;
use uppsala::NodeId;

/// The time for which draining is reported before the proxy stops listening for clients.
const DEFAULT_SHUTDOWN_NOTICE_MICROS: Micros = 3_000_000;
/// The time after which a connection without requests is closed.
const DEFAULT_IDLE_TIMEOUT_MICROS: Micros = 65_000_000;
/// The time within which an agent-check has to name the class or group that it asks about.
const DEFAULT_QUERY_TIMEOUT_MICROS: Micros = 20_000;
/// The time after which a connection with an incomplete request or an unread response is closed.
const DEFAULT_SILENCE_TIMEOUT_MICROS: Micros = 2_000_000;
/// Maximum number of connections from load balancers that a listener has open.
const DEFAULT_MAX_CONNECTIONS: usize = 64;

/// Health reports to load balancers, and the listeners that answer health checks (element `health`).
#[derive(Clone, Debug, PartialEq)]
pub struct HealthOptions {
    /// The listener for HTTP checks; `None` if they are switched off.
    pub http: Option<KeepAliveListener>,
    /// The listener for agent-checks of HAProxy; `None` if they are switched off.
    pub agent: Option<AgentListener>,
    /// The listener for gRPC checks; `None` if they are switched off.
    pub grpc: Option<KeepAliveListener>,
    /// Settings of the health monitor. The caller sets the request classes and the seed.
    pub settings: HealthSettings,
    /// The time between SIGTERM, after which draining is reported, and the moment when the proxy stops listening for
    /// clients.
    pub shutdown_notice: Micros,
}

/// A listener for health checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckListener {
    /// The address on which the listener accepts connections.
    pub address: SocketAddr,
    /// Line of the listener's element in the file.
    pub line: usize,
    /// Maximum number of connections that are open at the same time.
    pub max_connections: usize,
    /// The time after which a connection with an incomplete request or an unread response is closed.
    pub silence_timeout: Micros,
}

/// A listener whose connections may stay open between requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeepAliveListener {
    /// The address of the listener and the limits on its connections.
    pub listener: CheckListener,
    /// The time after which a connection without requests is closed.
    pub idle_timeout: Micros,
}

/// The listener for agent-checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentListener {
    /// The address of the listener and the limits on its connections.
    pub listener: CheckListener,
    /// A load balancer that sends nothing within this time receives the report on the entire proxy.
    pub query_timeout: Micros,
    /// Whether replies contain the number of connections that the load balancer may open.
    pub reports_maxconn: bool,
}

impl HealthOptions {
    /// Returns the listeners that are switched on, each with the name of its element.
    pub fn check_listeners(&self) -> impl Iterator<Item = (&'static str, &CheckListener)> {
        let http = self.http.as_ref().map(|http| ("http", &http.listener));
        let agent = self.agent.as_ref().map(|agent| ("agent", &agent.listener));
        let grpc = self.grpc.as_ref().map(|grpc| ("grpc", &grpc.listener));
        http.into_iter().chain(agent).chain(grpc)
    }
}

impl Reader<'_> {
    /// Reads the element `health`.
    pub(crate) fn read_health(&mut self, node: NodeId) -> Option<HealthOptions> {
        let http = self.child(node, "http").and_then(|http| self.read_keep_alive_listener(http));
        let grpc = self.child(node, "grpc").and_then(|grpc| self.read_keep_alive_listener(grpc));
        let agent = self.child(node, "agent").and_then(|agent| self.read_agent_listener(agent));
        let settings = self.read_health_settings(node);
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

    /// Reads the settings of the health monitor from the child elements.
    fn read_health_settings(&mut self, node: NodeId) -> HealthSettings {
        let mut settings = HealthSettings::default();
        if let Some(claims) = self.child(node, "claims") {
            self.read_claims(claims, &mut settings);
        }
        if let Some(probes) = self.child(node, "probes") {
            settings.probes = Some(self.read_probes(probes));
        }
        if let Some(weight) = self.child(node, "weight") {
            self.read_weight(weight, &mut settings.weight);
            self.read_number(weight, "overload-at", &mut settings.overload_pressure);
        }
        settings
    }

    /// Adds an error for each contradiction between settings. The error is at the child element that has the attribute,
    /// or at `node` if the value is a default.
    fn report_contradictions(&mut self, node: NodeId, settings: &HealthSettings) {
        let elements = ["claims", "probes", "weight", "stopping"].map(|name| self.child(node, name));
        for error in settings.errors() {
            let has_option =
                |element: &NodeId| self.document.get_attribute(*element, error.option()).is_some();
            let at = elements.into_iter().flatten().find(has_option).unwrap_or(node);
            self.add_error(at, OptionsErrorKind::HealthSettings(error));
        }
    }

    /// Adds an error for each listener whose address an earlier listener already uses.
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

    /// Reads an element `http` or `grpc`.
    fn read_keep_alive_listener(&mut self, node: NodeId) -> Option<KeepAliveListener> {
        let listener = self.read_check_listener(node)?;
        let mut keep_alive = KeepAliveListener { listener, idle_timeout: DEFAULT_IDLE_TIMEOUT_MICROS };
        self.read_milliseconds(node, "idle-ms", &mut keep_alive.idle_timeout);
        Some(keep_alive)
    }

    /// Reads the element `agent`.
    fn read_agent_listener(&mut self, node: NodeId) -> Option<AgentListener> {
        let listener = self.read_check_listener(node)?;
        let mut query_timeout = DEFAULT_QUERY_TIMEOUT_MICROS;
        self.read_milliseconds(node, "ask-ms", &mut query_timeout);
        let reports_maxconn = matches!(self.document.get_attribute(node, "maxconn"), Some("true" | "1"));
        Some(AgentListener { listener, query_timeout, reports_maxconn })
    }

    /// Reads the attributes that the elements of all listeners have.
    fn read_check_listener(&mut self, node: NodeId) -> Option<CheckListener> {
        let mut listener = CheckListener {
            address: self.address(node, "listen")?,
            line: self.document.node_line(node),
            max_connections: DEFAULT_MAX_CONNECTIONS,
            silence_timeout: DEFAULT_SILENCE_TIMEOUT_MICROS,
        };
        self.read_number(node, "callers", &mut listener.max_connections);
        self.read_milliseconds(node, "silent-ms", &mut listener.silence_timeout);
        Some(listener)
    }

    /// Reads the element `probes`.
    fn read_probes(&mut self, node: NodeId) -> ProbeSettings {
        let mut probes = ProbeSettings::default();
        self.read_milliseconds(node, "every-ms", &mut probes.interval);
        self.read_milliseconds(node, "suspect-ms", &mut probes.suspect_after);
        self.read_milliseconds(node, "timeout-ms", &mut probes.timeout);
        self.read_number(node, "group-per-s", &mut probes.group_rate_per_s);
        self.read_number(node, "whole-per-s", &mut probes.total_rate_per_s);
        probes
    }

    /// Reads the element `weight`.
    fn read_weight(&mut self, node: NodeId, weight: &mut WeightSettings) {
        self.read_number(node, "knee", &mut weight.reduce_above);
        self.read_number(node, "hot", &mut weight.trim_above);
        self.read_number(node, "least", &mut weight.percent_at_full_pressure);
        self.read_number(node, "up-per-s", &mut weight.max_rise_factor_per_s);
        self.read_number(node, "down-per-s", &mut weight.max_fall_factor_per_s);
        self.read_milliseconds(node, "settle-ms", &mut weight.settling_time);
    }

    /// Reads the element `claims`: the states that are reported, and the delays before a report changes.
    fn read_claims(&mut self, node: NodeId, settings: &mut HealthSettings) {
        let idle_groups =
            [("trust", IdleGroupPolicy::TrustEndpointList), ("withdraw", IdleGroupPolicy::Withdraw)];
        let shared_causes =
            [("tell", SharedCausePolicy::StayInRotation), ("down", SharedCausePolicy::ReportDown)];
        let overload = [("weight", OverloadPolicy::ReduceWeight), ("down", OverloadPolicy::ReportDown)];
        let aggregation = [("any", AggregationRule::AnyGroup), ("all", AggregationRule::AllGroups)];
        self.read_choice(node, "idle", idle_groups, &mut settings.idle_groups);
        self.read_choice(node, "shared", shared_causes, &mut settings.shared_causes);
        self.read_choice(node, "overload", overload, &mut settings.overload);
        self.read_choice(node, "sum", aggregation, &mut settings.aggregation);
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
