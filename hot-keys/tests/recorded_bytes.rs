//! Compatibility with earlier versions in the same fleet: recorded reports of an earlier version are decoded and
//! encoded again byte for byte, and a set of hot keys has the digest that an earlier version computed.

mod common;
use birchreach_hot_keys::{Key, PeerReport, Report, ReportEntry};
use birchreach_test_support::recorded_bytes::{from_hex, to_hex};
use common::tracker_with_reports;

fn entry(group: u32, hash: u64, reads_per_1000_s: u32, is_hot: bool) -> ReportEntry {
    ReportEntry { key: Key { group, hash }, reads_per_1000_s, is_hot }
}

fn assert_recorded(report: &Report, recorded: &str) {
    assert_eq!(to_hex(&report.encode()), recorded);
    assert_eq!(Report::decode(&from_hex(recorded)).as_ref(), Ok(report));
}

#[test]
fn a_report_without_keys_has_the_recorded_bytes() {
    assert_recorded(&Report { secret_id: 0, set_digest: 0, entries: Vec::new() }, "000000");
}

#[test]
fn a_report_of_keys_has_the_recorded_bytes() {
    let entries = vec![
        entry(0, 0, 0, false),
        entry(3, 0x0123_4567_89ab_cdef, 450_000, true),
        entry(u32::MAX, u64::MAX, 1_000_000_000, false),
    ];
    let recorded = "0790e4d0b287d3aeeefe01030000000003ef9bafcdf8acd19101d0bb1b01ffffffff0fffffffffffffffffff018094ebdc0300";
    assert_recorded(&Report { secret_id: 7, set_digest: 0xfedc_ba98_7654_3210, entries }, recorded);
}

#[test]
fn a_set_of_hot_keys_has_the_recorded_digest() {
    let entries = vec![entry(2, 0x0123_4567_89ab_cdef, 450_000, true), entry(4, 0xfeed, 300_000, true)];
    let reports: Vec<_> = (1..=4).map(|origin| (origin, entries.clone())).collect();

    let tracker = tracker_with_reports(9, 4, &reports, false);

    assert_eq!(tracker.hot_keys().count(), 2);
    assert_eq!(format!("{:016x}", tracker.digest()), "7ad2573fb164c46a");
}
