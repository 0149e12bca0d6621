//! Checks of the selection of copy holders and of the owners of refresh slots.

use crate::CheckResult;
use crate::common::{Fleet, REPLICAS, SECOND, databases, key, tracker_with_reports};
use birchreach_fault_injection::ensure;
use birchreach_hot_keys::{Database, HotKeyTracker, Key, ReportEntry};
use std::collections::{BTreeMap, BTreeSet};

/// Returns reports of twelve origins that make one key hot.
fn reports_of_hot_key(key: Key) -> Vec<(u64, Vec<ReportEntry>)> {
    let entry = ReportEntry { key, reads_per_1000_s: 450_000, is_hot: false };
    (1..=12).map(|origin| (origin, vec![entry])).collect()
}

/// Checks that copies are held outside the key's group, in different groups, and about equally often by all databases.
pub(crate) fn check_copy_holders() -> CheckResult {
    let mut copies_by_server = BTreeMap::<u32, usize>::new();

    for number in 0..300 {
        let key = key((number % 6) as u32, number);
        let tracker = tracker_with_reports(1, 6, &reports_of_hot_key(key), false);

        let hot_key = tracker.hot_keys().next().ok_or("the key is not hot")?;
        let groups: BTreeSet<u32> = hot_key.copy_holders.iter().map(|holder| holder.group).collect();
        ensure!(hot_key.copy_holders.len() == 3 && groups.len() == 3, "{:?}", hot_key.copy_holders);
        ensure!(
            !groups.contains(&key.group),
            "{key:?} is copied to its own group: {:?}",
            hot_key.copy_holders
        );
        for holder in &hot_key.copy_holders {
            *copies_by_server.entry(holder.server).or_default() += 1;
        }
    }

    let fewest = copies_by_server.values().min().copied().unwrap_or(0);
    let most = copies_by_server.values().max().copied().unwrap_or(0);
    ensure!(copies_by_server.len() == databases(6).len() && most < 4 * fewest, "{copies_by_server:?}");
    check_removed_copy_holder()
}

/// Checks that a database loses its copies when it leaves the endpoint list, and that all other holders remain.
fn check_removed_copy_holder() -> CheckResult {
    let holders = |tracker: &HotKeyTracker| -> Vec<Database> {
        tracker.hot_keys().flat_map(|hot_key| hot_key.copy_holders.clone()).collect()
    };
    let mut tracker = tracker_with_reports(1, 6, &reports_of_hot_key(key(0, 1)), false);
    let before = holders(&tracker);

    let listed = databases(6).into_iter().filter(|database| *database != before[0]).collect();
    tracker.update_databases(listed, (0..6).map(|group| (group, REPLICAS)).collect());
    let after = holders(&tracker);

    ensure!(
        !after.contains(&before[0]) && before[1..].iter().all(|holder| after.contains(holder)),
        "{before:?}, {after:?}"
    );
    Ok(())
}

/// Checks that of 50 refresh slots of 0.4 s nearly all have an owner and almost none has two.
pub(crate) fn check_refresh_slots() -> CheckResult {
    let mut fleet = Fleet::new(5, 5);
    let hot_key = key(0, 1);
    fleet.reads_per_s = vec![(hot_key, 400.0)];
    fleet.advance_until(hot_key, true, 20 * SECOND).ok_or("the key did not become hot")?;
    fleet.advance(5 * SECOND);

    fleet.refreshes.clear();
    fleet.advance(20 * SECOND);
    let refreshes = fleet.refreshes.get(&hot_key).cloned().unwrap_or_default();

    let owners: BTreeSet<usize> = refreshes.iter().map(|(_, owner)| *owner).collect();
    let count = refreshes.len();
    ensure!((46..=54).contains(&count) && owners.len() == 5, "{count} refreshes by the processes {owners:?}");
    Ok(())
}
