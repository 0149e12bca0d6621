//! Checks the label values of the metrics, which are public.

use super::*;

#[test]
fn datagrams_are_counted_under_the_public_label_values() {
    // Given metrics of the fleet
    let metrics = FleetMetrics::new();

    // When datagrams are counted in both directions
    metrics.count_datagram(Direction::Sent, 100);
    metrics.count_datagram(Direction::Received, 40);

    // Then each direction has the label value that operators query
    let mut text = String::new();
    encode_registry(&mut text, &metrics.registry).unwrap();
    for line in [
        r#"birchreach_fleet_datagrams_total{way="Sent"} 1"#,
        r#"birchreach_fleet_datagrams_total{way="Taken"} 1"#,
        r#"birchreach_fleet_bytes_total{way="Sent"} 100"#,
        r#"birchreach_fleet_bytes_total{way="Taken"} 40"#,
    ] {
        assert!(text.lines().any(|written| written == line), "{line} is missing in:\n{text}");
    }
}
