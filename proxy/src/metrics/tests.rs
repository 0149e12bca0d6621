//! Names, labels and help texts of the metrics, which monitoring systems read.

use super::{BackgroundMetrics, CopyOutcome, RejectedReport};
use crate::hot::CopyReadCounts;
use birchreach_background_tasks::{TaskCounts, TaskKind};
use birchreach_hot_keys::{HotKeyTracker, PeerReport, Report, ReportError, SECRET_MISMATCH, Settings};
use birchreach_shard_split::{ComparisonCounts, DEFINITION_MISMATCH, VerificationStatus};

/// Creates a tracker without hot keys.
fn tracker() -> HotKeyTracker {
    let settings = Settings {
        database_reads_per_s: 100.0,
        copy_cost_reads: 2.0,
        max_copies: 3,
        configured_members: 1,
        class_requirements: Vec::new(),
    };
    HotKeyTracker::new(settings, 1, 1, 0)
}

/// Returns the samples of a metric, sorted by their text.
fn samples(metrics: &BackgroundMetrics, name: &str) -> Vec<String> {
    let text = metrics.text();
    let mut samples: Vec<_> = text.lines().filter(|line| line.starts_with(name)).map(Into::into).collect();
    samples.sort();
    samples
}

#[test]
fn copies_are_counted_by_outcome() {
    let metrics = BackgroundMetrics::new();
    for outcome in [
        CopyOutcome::Written,
        CopyOutcome::WriteFailed,
        CopyOutcome::TooLong,
        CopyOutcome::ReadFailed,
        CopyOutcome::ReadIncomplete,
        CopyOutcome::ReadIncomplete,
    ] {
        metrics.count_copy(outcome);
    }

    let expected = [
        "birchreach_hot_copies_total{kind=\"copy\",end=\"long\"} 1",
        "birchreach_hot_copies_total{kind=\"copy\",end=\"unread\"} 2",
        "birchreach_hot_copies_total{kind=\"copy\",end=\"unreadable\"} 1",
        "birchreach_hot_copies_total{kind=\"copy\",end=\"unwritten\"} 1",
        "birchreach_hot_copies_total{kind=\"copy\",end=\"written\"} 1",
    ];
    assert_eq!(samples(&metrics, "birchreach_hot_copies"), expected);
}

#[test]
fn tasks_are_counted_by_outcome() {
    let metrics = BackgroundMetrics::new();
    metrics.set_task_counts(
        TaskKind::CopyWrite,
        TaskCounts { started: 4, finished: 3, expired: 2, rejected: 1 },
    );

    let expected = [
        "birchreach_background_tasks_total{kind=\"copy\",end=\"crowded\"} 1",
        "birchreach_background_tasks_total{kind=\"copy\",end=\"ended\"} 3",
        "birchreach_background_tasks_total{kind=\"copy\",end=\"late\"} 2",
        "birchreach_background_tasks_total{kind=\"copy\",end=\"started\"} 4",
    ];
    assert_eq!(samples(&metrics, "birchreach_background_tasks"), expected);
}

#[test]
fn comparisons_are_counted_by_outcome() {
    let metrics = BackgroundMetrics::new();
    let counts = ComparisonCounts {
        started: 7,
        agreed: 6,
        lagging: 5,
        inconclusive: 4,
        unanswered: 3,
        confirmed: 2,
        rejected: 1,
    };
    metrics.set_split(&VerificationStatus::Clean, counts);

    let expected = [
        "birchreach_split_clean 1",
        "birchreach_split_comparisons_total{kind=\"read\",end=\"agreed\"} 6",
        "birchreach_split_comparisons_total{kind=\"read\",end=\"begun\"} 7",
        "birchreach_split_comparisons_total{kind=\"read\",end=\"crowded\"} 1",
        "birchreach_split_comparisons_total{kind=\"read\",end=\"flagged\"} 2",
        "birchreach_split_comparisons_total{kind=\"read\",end=\"late\"} 5",
        "birchreach_split_comparisons_total{kind=\"read\",end=\"silent\"} 3",
        "birchreach_split_comparisons_total{kind=\"read\",end=\"unsure\"} 4",
        "birchreach_split_ranges_lacking 0",
    ];
    assert_eq!(samples(&metrics, "birchreach_split"), expected);
}

#[test]
fn rejected_reports_are_counted_by_subsystem_and_reason() {
    let metrics = BackgroundMetrics::new();
    for report in [
        RejectedReport::HotKeys(ReportError::Malformed { subject: Report::SUBJECT }),
        RejectedReport::HotKeys(ReportError::Mismatch(SECRET_MISMATCH)),
        RejectedReport::Split(ReportError::Mismatch(DEFINITION_MISMATCH)),
        RejectedReport::Split(ReportError::Mismatch(DEFINITION_MISMATCH)),
        RejectedReport::SubsystemDisabled,
    ] {
        metrics.count_rejected_report(report);
    }

    let expected = [
        "birchreach_reports_refused_total{kind=\"hot\",end=\"form\"} 1",
        "birchreach_reports_refused_total{kind=\"hot\",end=\"other-secret\"} 1",
        "birchreach_reports_refused_total{kind=\"other\",end=\"off\"} 1",
        "birchreach_reports_refused_total{kind=\"split\",end=\"other-definition\"} 2",
    ];
    assert_eq!(samples(&metrics, "birchreach_reports"), expected);
}

#[test]
fn copy_reads_are_counted_as_hits_and_misses() {
    let metrics = BackgroundMetrics::new();
    metrics.set_hot_keys(&tracker(), CopyReadCounts { hits: 2, misses: 1 });

    let expected = [
        "birchreach_hot_reads_total{kind=\"guest\",end=\"missed\"} 1",
        "birchreach_hot_reads_total{kind=\"guest\",end=\"served\"} 2",
    ];
    assert_eq!(samples(&metrics, "birchreach_hot_reads"), expected);
}

#[test]
fn every_metric_has_its_name_type_and_help() {
    let metrics = BackgroundMetrics::new();
    metrics.set_task_counts(TaskKind::CopyWrite, TaskCounts::default());
    metrics.count_rejected_report(RejectedReport::SubsystemDisabled);
    metrics.count_copy(CopyOutcome::Written);
    metrics.set_hot_keys(&tracker(), CopyReadCounts { hits: 0, misses: 0 });
    metrics.set_split(&VerificationStatus::Clean, ComparisonCounts::default());

    let text = metrics.text();

    let expected = [
        "# HELP birchreach_background_tasks Tasks of the scheduler, by kind and what became of them.",
        "# TYPE birchreach_background_tasks counter",
        "# HELP birchreach_reports_refused Reports of members that were not taken, by subsystem and reason.",
        "# TYPE birchreach_reports_refused counter",
        "# HELP birchreach_hot_copies Copies, by what became of them.",
        "# TYPE birchreach_hot_copies counter",
        "# HELP birchreach_hot_keys Keys that are hot now.",
        "# TYPE birchreach_hot_keys gauge",
        "# HELP birchreach_hot_changes Times that a key became hot, or was no more.",
        "# TYPE birchreach_hot_changes counter",
        "# HELP birchreach_hot_reads Reads that were sent to guests, by whether they had a copy.",
        "# TYPE birchreach_hot_reads counter",
        "# HELP birchreach_split_comparisons Reads that were compared, by what came of it.",
        "# TYPE birchreach_split_comparisons counter",
        "# HELP birchreach_split_ranges_lacking Ranges with too few comparisons, by this process's knowledge.",
        "# TYPE birchreach_split_ranges_lacking gauge",
        "# HELP birchreach_split_clean 1: clean, 0: not yet, -1: dirty.",
        "# TYPE birchreach_split_clean gauge",
        "# HELP birchreach_hot_members_differ Members whose newest report has another set.",
        "# TYPE birchreach_hot_members_differ gauge",
    ];
    let descriptions: Vec<&str> = text.lines().filter(|line| line.starts_with('#')).collect();
    assert_eq!(descriptions, expected);
}
