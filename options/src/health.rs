//! What balancers are told, and where: the element `health`.

use crate::reader::Reader;
use crate::{Fault, meet};
use birchreach_health::{
    AggregationRule, HealthSettings, IdleGroupPolicy, Micros, OverloadPolicy, ProbeSettings,
    SharedCausePolicy,
};
use std::net::SocketAddr;
use uppsala::NodeId;

/// What balancers are told, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    pub http: Option<Http>,
    pub agent: Option<Agent>,
    pub grpc: Option<Http>,
    /// Classes and seed are the program's to fill in.
    pub settings: HealthSettings,
    /// After SIGTERM, draining is told for so long before the listener closes.
    pub lead: Micros,
}

/// An address where balancers call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckListener {
    pub listen: SocketAddr,
    /// Where that stands in the file.
    pub line: usize,
    /// Callers at once.
    pub callers: usize,
    /// A call that is begun, or a reply that is not read, ends the connection after this time.
    pub silent: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Http {
    pub check_listener: CheckListener,
    /// A connection may be kept between calls for so long.
    pub idle: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agent {
    pub check_listener: CheckListener,
    /// A balancer that says nothing for so long asks for the whole.
    pub ask: Micros,
    /// Replies hold how many connections there is room for.
    pub maxconn: bool,
}

impl Health {
    /// Every address where balancers call, and the element that names it.
    pub fn check_listeners(&self) -> impl Iterator<Item = (&'static str, &CheckListener)> {
        let http = self.http.as_ref().map(|http| ("http", &http.check_listener));
        let agent = self.agent.as_ref().map(|agent| ("agent", &agent.check_listener));
        let grpc = self.grpc.as_ref().map(|grpc| ("grpc", &grpc.check_listener));
        http.into_iter().chain(agent).chain(grpc)
    }
}

impl Reader<'_> {
    pub(crate) fn health(&mut self, node: NodeId) -> Option<Health> {
        let mut settings = HealthSettings::default();
        let mut lead = 3_000_000;
        let http = self.child(node, "http").and_then(|node| {
            let mut http = Http { check_listener: self.check_listener(node)?, idle: 65_000_000 };
            self.ms(node, "idle-ms", &mut http.idle);
            Some(http)
        });
        let grpc = self.child(node, "grpc").and_then(|node| {
            let mut grpc = Http { check_listener: self.check_listener(node)?, idle: 65_000_000 };
            self.ms(node, "idle-ms", &mut grpc.idle);
            Some(grpc)
        });
        let agent = self.child(node, "agent").and_then(|node| {
            let mut agent = Agent { check_listener: self.check_listener(node)?, ask: 20_000, maxconn: false };
            self.ms(node, "ask-ms", &mut agent.ask);
            agent.maxconn = matches!(self.doc.get_attribute(node, "maxconn"), Some("true" | "1"));
            Some(agent)
        });
        let parts = ["claims", "probes", "weight", "stopping"].map(|name| self.child(node, name));
        let [claims, probes, weight, stopping] = parts;
        if let Some(node) = claims {
            self.claims(node, &mut settings);
        }
        if let Some(node) = probes {
            let mut probing = ProbeSettings::default();
            self.ms(node, "every-ms", &mut probing.interval);
            self.ms(node, "suspect-ms", &mut probing.suspect_after);
            self.ms(node, "timeout-ms", &mut probing.timeout);
            self.number(node, "group-per-s", &mut probing.group_rate_per_s);
            self.number(node, "whole-per-s", &mut probing.total_rate_per_s);
            settings.probes = Some(probing);
        }
        if let Some(node) = weight {
            let w = &mut settings.weight;
            self.number(node, "knee", &mut w.reduce_above);
            self.number(node, "hot", &mut w.trim_above);
            self.number(node, "least", &mut w.percent_at_full_pressure);
            self.number(node, "up-per-s", &mut w.max_rise_factor_per_s);
            self.number(node, "down-per-s", &mut w.max_fall_factor_per_s);
            self.ms(node, "settle-ms", &mut w.settling_time);
            self.number(node, "overload-at", &mut settings.overload_pressure);
        }
        if let Some(node) = stopping {
            self.ms(node, "lead-ms", &mut lead);
        }
        // What does not hold together is told where it is written, or else at the whole.
        for error in settings.errors() {
            let is_written = |node: &NodeId| self.doc.get_attribute(*node, error.option).is_some();
            let at = parts.into_iter().flatten().find(is_written).unwrap_or(node);
            self.fault(at, error.to_string());
        }
        if http.is_none() && agent.is_none() && grpc.is_none() {
            self.fault(node, "neither http, agent nor grpc: nobody could ask");
        }
        let health = Health { http, agent, grpc, settings, lead };
        let check_listeners: Vec<_> = health.check_listeners().collect();
        for (n, (element, check_listener)) in check_listeners.iter().enumerate() {
            if let Some((other, _)) =
                check_listeners[..n].iter().find(|(_, other)| meet(other.listen, check_listener.listen))
            {
                let message = format!("listen: {} is used by {other} too", check_listener.listen);
                self.faults.push(Fault { line: check_listener.line, element: (*element).into(), message });
            }
        }
        Some(health)
    }

    fn check_listener(&mut self, node: NodeId) -> Option<CheckListener> {
        let mut check_listener = CheckListener {
            listen: self.value(node, "listen")?,
            line: self.doc.node_line(node),
            callers: 64,
            silent: 2_000_000,
        };
        self.number(node, "callers", &mut check_listener.callers);
        self.ms(node, "silent-ms", &mut check_listener.silent);
        Some(check_listener)
    }

    fn claims(&mut self, node: NodeId, s: &mut HealthSettings) {
        self.word(
            node,
            "idle",
            [("trust", IdleGroupPolicy::TrustEndpointList), ("withdraw", IdleGroupPolicy::Withdraw)],
            &mut s.idle_groups,
        );
        self.word(
            node,
            "shared",
            [("tell", SharedCausePolicy::StayInRotation), ("down", SharedCausePolicy::ReportDown)],
            &mut s.shared_causes,
        );
        self.word(
            node,
            "overload",
            [("weight", OverloadPolicy::ReduceWeight), ("down", OverloadPolicy::ReportDown)],
            &mut s.overload,
        );
        self.word(
            node,
            "sum",
            [("any", AggregationRule::AnyGroup), ("all", AggregationRule::AllGroups)],
            &mut s.aggregation,
        );
        for (name, into) in [
            ("window-ms", &mut s.proof_window),
            ("fall-ms", &mut s.withdraw_after),
            ("rise-ms", &mut s.restore_after),
            ("rise-most-ms", &mut s.restore_after_max),
            ("hold-able-ms", &mut s.min_time_available),
            ("hold-unable-ms", &mut s.min_time_unavailable),
            ("hang-probed-ms", &mut s.silence_limit_probed),
            ("hang-ms", &mut s.silence_limit_unprobed),
            ("discovery-after-ms", &mut s.discovery_lost_after),
        ] {
            self.ms(node, name, into);
        }
    }
}
