//! Status and metrics of the fleet for operators. The status is the reply to the admin call `fleet`: a summary line, and a line
//! for each other member. The metrics are part of the reply to the admin call `metrics`. Both formats are public and must not
//! change.

#[cfg(test)]
mod tests;

use crate::units::MICROS_PER_MILLI;
use birchreach_membership::{Membership, Micros, PayloadError, ViewState};
use birchreach_peer_state::datagram::DatagramError;
use prometheus_client::encoding::text::encode_registry;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::fmt::{self, Write};

/// The direction of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Direction {
    /// The datagram was sent.
    Sent,
    /// The datagram was received and accepted.
    Received,
}

impl EncodeLabelValue for Direction {
    /// Writes the value of the label. The values are public and must not change.
    fn encode(&self, encoder: &mut LabelValueEncoder) -> fmt::Result {
        encoder.write_str(match self {
            Direction::Sent => "Sent",
            Direction::Received => "Taken",
        })
    }
}

/// Label of metrics that are counted by direction. The name of the field is the name of the label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DirectionLabel {
    way: Direction,
}

/// Label of metrics that are counted by reason. The name of the field is the name of the label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Why a datagram counts as dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DropReason {
    /// The datagram could not be opened.
    Datagram(DatagramError),
    /// The payload of the datagram was rejected.
    Payload(PayloadError),
    /// The operating system did not send the datagram.
    Unsent,
}

impl DropReason {
    /// Returns the value of the label.
    fn as_str(self) -> &'static str {
        match self {
            DropReason::Datagram(error) => error.as_str(),
            DropReason::Payload(error) => error.as_str(),
            DropReason::Unsent => "unsent",
        }
    }
}

/// Metrics of this process's datagrams and of its view of the fleet, as they are reported to operators.
pub(crate) struct FleetMetrics {
    registry: Registry,
    datagrams: Family<DirectionLabel, Counter>,
    bytes: Family<DirectionLabel, Counter>,
    dropped: Family<ReasonLabel, Counter>,
    members: Gauge,
    settled: Gauge,
}

impl FleetMetrics {
    /// Registers all metrics with the value zero.
    pub(crate) fn new() -> FleetMetrics {
        let mut metrics = FleetMetrics {
            registry: Registry::with_prefix("birchreach_fleet"),
            datagrams: Family::default(),
            bytes: Family::default(),
            dropped: Family::default(),
            members: Gauge::default(),
            settled: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        registry.register("datagrams", "Datagrams to and from other proxies", metrics.datagrams.clone());
        registry.register(
            "bytes",
            "Bytes of these datagrams, as they were sent or taken",
            metrics.bytes.clone(),
        );
        registry.register(
            "dropped",
            "Datagrams that were not taken, and parts of the view not sent",
            metrics.dropped.clone(),
        );
        registry.register("members", "Processes that are there, this one too", metrics.members.clone());
        registry.register(
            "settled",
            "1 while the view is settled, 0 while it moves or this process is blind",
            metrics.settled.clone(),
        );
        metrics
    }

    /// Counts a datagram that was sent, or received and accepted.
    pub(crate) fn count_datagram(&self, direction: Direction, bytes: usize) {
        self.datagrams.get_or_create(&DirectionLabel { way: direction }).inc();
        self.bytes.get_or_create(&DirectionLabel { way: direction }).inc_by(bytes as u64);
    }

    /// Counts a datagram that was not accepted or not sent.
    pub(crate) fn count_dropped(&self, reason: DropReason) {
        self.dropped.get_or_create(&ReasonLabel { reason: reason.as_str() }).inc();
    }

    /// Returns all metrics in the text format, without the `# EOF` line at the end.
    pub(crate) fn text(&self, membership: &Membership) -> String {
        let view = membership.view();
        self.members.set(i64::try_from(view.member_count).unwrap_or(i64::MAX));
        self.settled.set(i64::from(matches!(view.state, ViewState::Settled { .. })));
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode_registry(&mut text, &self.registry);
        text
    }
}

/// Returns the reply to the admin call `fleet`.
pub(crate) fn status_lines(membership: &Membership, now: Micros) -> String {
    let view = membership.view();
    let identity = membership.identity();
    let for_ms = match view.state {
        ViewState::Settled { since } | ViewState::Isolated { since } => {
            format!(" for_ms={}", (now - since) / MICROS_PER_MILLI)
        }
        ViewState::Changing | ViewState::Standalone => String::new(),
    };
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "fleet state={}{for_ms} members={} named={} divisor={} digest={:016x} name={} boot={:016x} epoch={}",
        view.state.as_str(),
        view.member_count,
        view.configured_members,
        view.quota_divisor(),
        view.digest,
        identity.name,
        identity.incarnation,
        identity.epoch
    );
    for name in &view.name_conflicts {
        let _ = writeln!(text, "twins name={name}");
    }
    for member in membership.members() {
        let _ = writeln!(
            text,
            "member name={} at={} boot={:016x} epoch={}",
            member.name, member.address, member.incarnation, member.epoch
        );
    }
    text
}
