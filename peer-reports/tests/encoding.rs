//! Encoding and decoding of reports, and the labels and messages of rejected ones.

use birchreach_peer_reports::{Mismatch, PeerReport, RecordError, ReportError};
use serde::{Deserialize, Serialize};

/// A report that is valid with at most two counts.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Counts(Vec<u32>);

impl PeerReport for Counts {
    const SUBJECT: &'static str = "counts";

    fn is_valid(&self) -> bool {
        self.0.len() <= 2
    }
}

const MALFORMED: ReportError = ReportError::Malformed { subject: "counts" };

#[test]
fn a_valid_report_is_unchanged_by_encoding_and_decoding() {
    let report = Counts(vec![1, 300]);

    let bytes = report.encode();

    assert_eq!(bytes, [2, 1, 0xac, 2]);
    assert_eq!(Counts::decode(&bytes), Ok(report));
}

#[test]
fn bytes_that_are_no_valid_report_are_malformed() {
    let truncated = &Counts(vec![1, 300]).encode()[..3];
    let invalid = Counts(vec![1, 2, 3]).encode();

    assert_eq!(Counts::decode(&[]), Err(MALFORMED));
    assert_eq!(Counts::decode(truncated), Err(MALFORMED));
    assert_eq!(Counts::decode(&invalid), Err(MALFORMED));
}

#[test]
fn each_error_has_a_label_and_a_message() {
    let mismatch = Mismatch { name: "other-unit", description: "the report has another unit" };
    let label_and_message = |error: ReportError| (error.as_str(), error.to_string());

    assert_eq!(label_and_message(MALFORMED), ("form", "the report of counts is malformed".into()));
    assert_eq!(
        label_and_message(ReportError::Mismatch(mismatch)),
        ("other-unit", "the report has another unit".into())
    );
    assert_eq!(
        label_and_message(RecordError::Outdated.into()),
        ("old", "a newer report of this origin was received before".into())
    );
    assert_eq!(
        label_and_message(RecordError::TooManyOrigins.into()),
        ("too-many", "reports of too many origins are kept".into())
    );
}
