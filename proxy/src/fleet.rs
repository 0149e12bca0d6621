//! What operators are shown of the fleet: the view in lines, and its figures as metrics. It owns the words; what is so is the fleet
//! crate's to say.

use birchreach_membership::{Membership, Micros, ViewState};
use prometheus_client::encoding::text::encode_registry;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::fmt::Write;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Way {
    Sent,
    Taken,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByWay {
    pub way: Way,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByReason {
    pub reason: &'static str,
}

/// Each figure is named once, here.
pub struct Metrics {
    registry: Registry,
    pub datagrams: Family<ByWay, Counter>,
    pub bytes: Family<ByWay, Counter>,
    pub dropped: Family<ByReason, Counter>,
    members: Gauge,
    settled: Gauge,
}

impl Metrics {
    pub fn new() -> Metrics {
        let mut m = Metrics {
            registry: Registry::with_prefix("birchreach_fleet"),
            datagrams: Family::default(),
            bytes: Family::default(),
            dropped: Family::default(),
            members: Gauge::default(),
            settled: Gauge::default(),
        };
        let r = &mut m.registry;
        r.register("datagrams", "Datagrams to and from other proxies", m.datagrams.clone());
        r.register("bytes", "Bytes of these datagrams, as they were sent or taken", m.bytes.clone());
        r.register(
            "dropped",
            "Datagrams that were not taken, and parts of the view not sent",
            m.dropped.clone(),
        );
        r.register("members", "Processes that are there, this one too", m.members.clone());
        r.register(
            "settled",
            "1 while the view is settled, 0 while it moves or this process is blind",
            m.settled.clone(),
        );
        m
    }

    pub fn count(&self, way: Way, bytes: usize) {
        self.datagrams.get_or_create(&ByWay { way }).inc();
        self.bytes.get_or_create(&ByWay { way }).inc_by(bytes as u64);
    }

    pub fn drop(&self, reason: &'static str) {
        self.dropped.get_or_create(&ByReason { reason }).inc();
    }

    /// All of it in the text form, without the line that ends it.
    pub fn text(&self, fleet: &Membership) -> String {
        let view = fleet.view();
        self.members.set(i64::try_from(view.members).unwrap_or(i64::MAX));
        self.settled.set(i64::from(matches!(view.state, ViewState::Settled { .. })));
        let mut text = String::new();
        let _ = encode_registry(&mut text, &self.registry);
        text
    }
}

/// The view, a line for the whole and one for each other member.
pub fn lines(fleet: &Membership, now: Micros) -> String {
    let view = fleet.view();
    let own = fleet.own();
    let since = match view.state {
        ViewState::Settled { since } | ViewState::Blind { since } => {
            format!(" for_ms={}", (now - since) / 1_000)
        }
        ViewState::Changing | ViewState::Alone => String::new(),
    };
    let mut out = String::new();
    let _ = writeln!(
        out,
        "fleet state={}{since} members={} named={} divisor={} digest={:016x} name={} boot={:016x} epoch={}",
        view.state.as_str(),
        view.members,
        view.configured_members,
        view.divisor(),
        view.digest,
        own.name,
        own.incarnation,
        own.epoch
    );
    for name in &view.name_conflicts {
        let _ = writeln!(out, "twins name={name}");
    }
    for m in fleet.members() {
        let _ = writeln!(
            out,
            "member name={} at={} boot={:016x} epoch={}",
            m.name, m.address, m.incarnation, m.epoch
        );
    }
    out
}
