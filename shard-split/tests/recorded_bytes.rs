//! Compatibility with earlier versions in the same fleet: recorded reports of an earlier version are decoded and
//! encoded again byte for byte. Keys and definitions have the hashes that an earlier version writes to reports, to the
//! lines of differences in the admin reply and to the log.

use birchreach_shard_split::{PeerReport, RANGE_COUNT, RangeDifferences, Report, SplitDefinition};
use birchreach_test_support::recorded_bytes::{from_hex, to_hex};

fn assert_recorded(report: &Report, recorded: &str) {
    assert_eq!(to_hex(&report.encode()), recorded);
    assert_eq!(Report::decode(&from_hex(recorded)).as_ref(), Ok(report));
}

#[test]
fn a_report_without_comparisons_has_the_recorded_bytes() {
    let recorded = concat!(
        "004000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
        "00000000000000000000000000000000000000",
    );
    assert_recorded(
        &Report { definition_digest: 0, compared: vec![0; RANGE_COUNT], differences: Vec::new() },
        recorded,
    );
}

fn entry(kind: u8, range: u8, count: u32) -> RangeDifferences {
    RangeDifferences { kind, range, count }
}

#[test]
fn a_report_of_comparisons_and_differences_has_the_recorded_bytes() {
    let compared = (0..RANGE_COUNT as u32).map(|range| range * range * 1_000).collect();
    let differences = vec![entry(0, 0, 1), entry(1, 7, 300), entry(2, 63, u32::MAX)];
    let recorded = concat!(
        "ef9bafcdf8acd191014000e807a01fa846807da8c301a09902e8fe0280f403e8f804a08d06a8b10780e508a8a80aa0fb",
        "0be8dd0d80d00fe8d111a0e313a8841680b518a8f51aa0c51de8a420809423e89226a0a129a8bf2c80ed2fa8aa33a0f7",
        "36e8d33a80c03ee8bb42a0c746a8e24a808d4fa8c753a09158e8ea5c80d461e8cc66a0d56ba8ed70809576a8cc7ba093",
        "8101e8e9860180d08c01e8c59201a0cb9801a8e09e018085a501a8b9ab01a0fdb101e8d0b80180b4bf01e8a6c601a0a9",
        "cd01a8bbd40180dddb01a88ee301a0cfea01e89ff201030000010107ac02023fffffffff0f",
    );
    assert_recorded(&Report { definition_digest: 0x0123_4567_89ab_cdef, compared, differences }, recorded);
}

#[test]
fn definitions_have_the_recorded_digests() {
    let digest = |parent, lower_child, upper_child, split_at| {
        let definition = SplitDefinition { parent, lower_child, upper_child, split_at };
        format!("{:016x}", definition.digest())
    };

    assert_eq!(digest(0, 1, 2, 1 << 31), "67d9e9a838b6c520");
    assert_eq!(digest(7, 300, 70_000, 0x1234_5678), "dd562d5dc7971fc4");
}

#[test]
fn keys_have_the_recorded_hashes_and_ranges() {
    let hashed = |key: &[u8]| {
        let hash = SplitDefinition::hash(key);
        format!("{hash:08x} {}", SplitDefinition::range(hash))
    };

    assert_eq!(hashed(b""), "e3b0c442 56");
    assert_eq!(hashed(b"key-0"), "d5ead6fd 53");
    assert_eq!(hashed("Žluťoučký".as_bytes()), "64e6f4a0 25");
}
