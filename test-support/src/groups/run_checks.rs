//! The checks of a finished run, on its histories, logs and replies.

use super::history_checks::{
    ServedRead, check_copies, check_freshness, check_none_during_slow_start, check_rate_limit,
    check_single_execution,
};
use super::seeded_schedule::{COPIES_PER_SECOND, DUAL_READS_PER_SECOND, MAX_DELAYED_STATEMENTS, Summary};
use super::traffic::TrafficResult;
use super::{Group, GroupHistory, LogEntry, StatementKind, StatementRecord};
use std::collections::BTreeSet;

/// Window of the background budgets in the run's options.
const BUDGET_WINDOW_MS: i64 = 1_000;

/// Number of reads for each comparison and for each copy.
const READS_PER_BACKGROUND_TASK: usize = 2;

/// The index of the group that is split and whose rows are copied.
const HOME_GROUP: usize = 0;

/// The recorded results of a run.
pub(super) struct FinishedRun<'a> {
    pub groups: &'a [Group],
    /// The replies that the clients of each process received.
    pub traffic: &'a [TrafficResult],
    /// For each process, whether it was killed or restarted.
    pub killed: &'a [bool],
    /// The log lines of all processes.
    pub log_lines: &'a [String],
    /// The injected differences, as logs report them.
    pub injected: &'a BTreeSet<String>,
    /// Whether a former primary of the home group was not notified of a failover.
    pub stale_primary: bool,
}

impl FinishedRun<'_> {
    /// Runs all checks.
    pub(super) fn check(&self) -> Result<Summary, String> {
        let mut summary = Summary { injected_differences: self.injected.len(), ..Summary::default() };
        self.check_connections(&mut summary)?;
        let histories: Vec<GroupHistory> = self.groups.iter().map(Group::history).collect();
        for (group, history) in histories.iter().enumerate() {
            self.check_reads(group, history, &mut summary)?;
            let home = &histories[HOME_GROUP];
            summary.checked_copies +=
                check_copies(&history.log, HOME_GROUP as u32, &home.log, &home.lost_commits)?;
            check_background_statements(group, &history.records, &mut summary)?;
        }
        let records: Vec<&[StatementRecord]> =
            histories.iter().map(|history| history.records.as_slice()).collect();
        let logs: Vec<&[LogEntry]> =
            histories.iter().flat_map(|history| [&history.log[..], &history.lost_commits[..]]).collect();
        check_single_execution(&records, &logs)?;
        self.check_log_lines(&mut summary)?;
        Ok(summary)
    }

    /// Checks that connections broke only at processes that were killed or restarted.
    fn check_connections(&self, summary: &mut Summary) -> Result<(), String> {
        for (result, killed) in self.traffic.iter().zip(self.killed) {
            summary.served += result.served;
            summary.rejected += result.rejected;
            summary.failed += result.failed;
            summary.disconnected += result.disconnected;
            if result.disconnected > 0 && !killed {
                return Err(format!(
                    "{} connections broke at a proxy that was neither killed nor restarted",
                    result.disconnected
                ));
            }
        }
        Ok(())
    }

    /// Checks that reads of a group were fresh enough.
    fn check_reads(&self, group: usize, history: &GroupHistory, summary: &mut Summary) -> Result<(), String> {
        // A former primary that was not notified of a failover reports the current position, so proxies cannot know
        // that its rows are old. Copies of such rows are checked nevertheless.
        if self.stale_primary {
            return Ok(());
        }
        let all_reads = self.traffic.iter().flat_map(|result| &result.reads);
        let of_group = all_reads.filter(|served| served.group as usize == group);
        let reads: Vec<ServedRead> = of_group.map(|served| served.read.clone()).collect();
        summary.checked_reads += check_freshness(&reads, &history.log, &history.lost_commits)?;
        Ok(())
    }

    /// Checks that every reported difference was injected and that no process panicked.
    fn check_log_lines(&self, summary: &mut Summary) -> Result<(), String> {
        for line in self.log_lines.iter().filter(|line| line.contains("event=split-flag")) {
            let reported = format!("{} {}", log_value(line, "sort="), log_value(line, "hash="));
            if !self.injected.contains(&reported) {
                return Err(format!("a process reported a difference that was not injected: {line}"));
            }
            summary.reported_differences += 1;
        }
        match self.log_lines.iter().find(|line| line.contains("panicked")) {
            Some(panic) => Err(panic.clone()),
            None => Ok(()),
        }
    }
}

/// Checks that background statements stayed within their budgets and were not sent to members in slow start.
fn check_background_statements(
    group: usize,
    records: &[StatementRecord],
    summary: &mut Summary,
) -> Result<(), String> {
    let is_copy = |statement: &StatementKind| *statement == StatementKind::CopyWrite;
    let is_dual_read = |statement: &StatementKind| {
        matches!(statement, StatementKind::Read { background: true } | StatementKind::PositionRead)
    };
    check_rate_limit(records, BUDGET_WINDOW_MS, COPIES_PER_SECOND + MAX_DELAYED_STATEMENTS, is_copy)?;
    // Reads for copies go only to the home group.
    let copies = if group == HOME_GROUP { COPIES_PER_SECOND } else { 0 };
    let tasks = copies + DUAL_READS_PER_SECOND + MAX_DELAYED_STATEMENTS;
    check_rate_limit(records, BUDGET_WINDOW_MS, READS_PER_BACKGROUND_TASK * tasks, is_dual_read)?;
    check_none_during_slow_start(records, |statement| is_copy(statement) || is_dual_read(statement))?;
    let count = |is_counted: &dyn Fn(&StatementKind) -> bool| {
        records.iter().filter(|record| is_counted(&record.statement)).count()
    };
    summary.copy_reads += count(&|statement| *statement == StatementKind::CopyRead { served: true });
    summary.copy_writes += count(&is_copy);
    summary.dual_reads += count(&is_dual_read);
    Ok(())
}

/// The value after `key` (which includes the `=`) in a log line; empty if the key is missing.
fn log_value(line: &str, key: &str) -> String {
    line.split([' ', '"']).find_map(|word| word.strip_prefix(key)).unwrap_or_default().to_string()
}
