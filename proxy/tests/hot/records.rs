//! Checks of the records of databases and clients: no stale read, no copy with a false log position, no budget window above the limit,
//! no background load on databases in slow start, no write executed twice.

use crate::rig::{HOME_GROUP, HotRig};
use birchreach_test_support::groups::history_checks::{
    ServedRead, check_copies, check_freshness, check_none_during_slow_start, check_rate_limit,
    check_single_execution,
};
use birchreach_test_support::groups::traffic::TrafficResult;
use birchreach_test_support::groups::{GroupHistory, LogEntry, StatementKind, StatementRecord};

const BUDGET_WINDOW_MS: i64 = 2_000;

/// The budget of 10 copies per second for all processes in any 2 s, and 5 copies that a suspended process can have had in flight.
const MAX_COPIES_IN_A_WINDOW: usize = 20 + 5;

/// Each copy reads its row twice.
const READS_PER_COPY: usize = 2;

impl HotRig {
    /// Runs all checks, and checks that the records have enough reads and copies for the checks to be meaningful.
    pub(crate) fn check_records(&self, result: &TrafficResult) {
        let histories: Vec<GroupHistory> = self.cluster.groups.iter().map(|group| group.history()).collect();
        let home = &histories[HOME_GROUP];
        let (mut checked_reads, mut highest_copies, mut checked_copies) = (0, 0, 0);
        for (group, history) in histories.iter().enumerate() {
            let reads = reads_of_group(result, group as u32);
            checked_reads += check_freshness(&reads, &history.log, &history.lost_commits).unwrap();
            checked_copies +=
                check_copies(&history.log, HOME_GROUP as u32, &home.log, &home.lost_commits).unwrap();
            highest_copies = highest_copies.max(check_copy_budget(&history.records));
        }
        check_no_write_twice(&histories);
        assert!(
            checked_reads > 200 && highest_copies > 0 && checked_copies > 0,
            "{checked_reads} reads, at most {highest_copies} copies in a window, {checked_copies} checked copies: \
             too few for the checks to be meaningful"
        );
    }
}

fn reads_of_group(result: &TrafficResult, group: u32) -> Vec<ServedRead> {
    let of_group = result.reads.iter().filter(|served| served.group == group);
    of_group.map(|served| served.read.clone()).collect()
}

/// Checks that copies and their reads stayed within the budget and avoided databases in slow start. Returns the highest number
/// of copies in a window.
fn check_copy_budget(records: &[StatementRecord]) -> usize {
    let is_copy_write = |statement: &StatementKind| *statement == StatementKind::CopyWrite;
    let is_background_read =
        |statement: &StatementKind| *statement == StatementKind::Read { background: true };
    let highest = check_rate_limit(records, BUDGET_WINDOW_MS, MAX_COPIES_IN_A_WINDOW, is_copy_write).unwrap();
    let max_reads = READS_PER_COPY * MAX_COPIES_IN_A_WINDOW;
    check_rate_limit(records, BUDGET_WINDOW_MS, max_reads, is_background_read).unwrap();
    check_none_during_slow_start(records, |statement| {
        is_copy_write(statement) || is_background_read(statement)
    })
    .unwrap();
    highest
}

fn check_no_write_twice(histories: &[GroupHistory]) {
    let records: Vec<&[StatementRecord]> =
        histories.iter().map(|history| history.records.as_slice()).collect();
    let logs: Vec<&[LogEntry]> =
        histories.iter().flat_map(|history| [&history.log[..], &history.lost_commits[..]]).collect();
    check_single_execution(&records, &logs).unwrap();
}
